// Package wait waits for a time that a context may cut short.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns false where ctx ended first or is over already.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until is For up to a moment.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }
