package program

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestUnresponsiveCollectorDoesNotDelayTheExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unresponsive := func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		start := time.Now()
		err := flushSpans(unresponsive)
		if elapsed := time.Since(start); err == nil || elapsed > logFlushTimeout {
			t.Errorf("error %v after %s, want an error within %s", err, elapsed, logFlushTimeout)
		}
	})
}
