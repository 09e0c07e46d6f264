package wire

import "fmt"

// Key names one attempt of an overnight request in heartbeats.
func (x *DeferredRequest) Key() string { return fmt.Sprintf("%s/%d", x.GetId(), x.GetAttempt()) }
