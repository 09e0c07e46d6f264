// Package wait provides sleeps that end early when a context is canceled.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ends first or has already ended.
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

// Until waits until the time at. It returns false if ctx ends first or has
// already ended.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }
