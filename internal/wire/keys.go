package wire

import "fmt"

// Key identifies one attempt at a deferred request in heartbeats, as id/attempt.
func (x *DeferredRequest) Key() string { return fmt.Sprintf("%s/%d", x.GetId(), x.GetAttempt()) }
