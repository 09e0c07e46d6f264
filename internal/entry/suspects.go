package entry

import (
	"context"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

// suspectPollInterval is the time between two checks whether a suspect may run.
const suspectPollInterval = 50 * time.Millisecond

// awaitIsolation waits until every entry treats the request as a suspect. From
// then on each entry checks with the control plane before it runs the request, so
// that a request that is quarantined by its second crash is rejected at once at
// every entry to which it is resent.
func (d *dispatcher) awaitIsolation(ctx context.Context, fingerprint uint64) error {
	for {
		r, err := d.reporter.CheckSuspect(ctx, fingerprint)
		switch {
		case err != nil:
			return fail.Wrap(err, fail.Unavailable, "the control plane did not confirm that the request may run again").WithRetryAfter(defaultRetryAfter)
		case r.State == wire.SuspectState_SUSPECT_STATE_CONVICTED:
			return quarantine.NewError()
		case r.KnownEverywhere:
			return nil
		case ctx.Err() != nil:
			return fail.Wrap(ctx.Err(), fail.DeadlinePassed, "the deadline passed before the request could run isolated")
		}
		wait.For(ctx, suspectPollInterval)
	}
}

// clearSuspicion removes a request with a complete response from the suspects.
func (d *dispatcher) clearSuspicion(j *job, p *progress) {
	if !p.isolated && p.crashes == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), clearTimeout)
		defer cancel()
		_ = d.reporter.ClearSuspect(ctx, j.template.Fingerprint)
	}()
}
