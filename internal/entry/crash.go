package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// probeTimeout bounds one read of an engine's state after a failed attempt.
	probeTimeout = 500 * time.Millisecond
	// maxProbes is how often an unreachable engine is probed before it is
	// considered crashed.
	maxProbes     = 3
	probeInterval = 200 * time.Millisecond
	// reportTimeout bounds the recording of a crash, and one query about a suspect.
	reportTimeout = 3 * time.Second
)

// crashReporter records crashes in the state that all entries share.
type crashReporter interface {
	ReportCrash(ctx context.Context, r *wire.ReportCrash) error
	ClearSuspect(ctx context.Context, fingerprint uint64) error
	// CheckSuspect returns the shared state of a request, and whether all entries
	// have received it.
	CheckSuspect(ctx context.Context, fingerprint uint64) (*wire.CheckSuspectResponse, error)
}

// stateReader reads the state of an engine.
type stateReader interface {
	State(ctx context.Context, address string) (*endpoint.EngineState, error)
}

// crashDetector distinguishes a crash of an engine from a broken connection: after
// a crash the engine has another incarnation or cannot be reached.
type crashDetector struct {
	engines  stateReader
	reporter crashReporter
	inFlight func(endpointID, incarnation string) []uint64

	mu     sync.Mutex
	checks map[string]*crashCheck
}

// crashCheck is one check, shared by all attempts that fail while it runs.
type crashCheck struct {
	done    chan struct{}
	crashed bool
}

func newCrashDetector(s stateReader, r crashReporter, inFlight func(string, string) []uint64) *crashDetector {
	return &crashDetector{engines: s, reporter: r, inFlight: inFlight, checks: map[string]*crashCheck{}}
}

// crashed reports whether the engine crashed. If so, the requests that were in
// flight there have been reported by the time it returns, unless the report
// failed. An attempt stays in flight until its own call returns, so that the
// report contains all of them.
func (d *crashDetector) crashed(ctx context.Context, vm *wire.Endpoint) bool {
	if vm.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE {
		return false
	}
	key := vm.Id + "/" + vm.Incarnation
	d.mu.Lock()
	check := d.checks[key]
	first := check == nil
	if first {
		check = &crashCheck{done: make(chan struct{})}
		d.checks[key] = check
	}
	d.mu.Unlock()
	if first {
		// Other attempts wait for the check too, so it continues when this attempt's
		// context ends.
		go d.check(context.WithoutCancel(ctx), key, vm, check)
	}
	select {
	case <-check.done:
		return check.crashed
	case <-ctx.Done():
		return false
	}
}

func (d *crashDetector) check(ctx context.Context, key string, vm *wire.Endpoint, check *crashCheck) {
	defer func() {
		d.mu.Lock()
		delete(d.checks, key)
		d.mu.Unlock()
		close(check.done)
	}()
	if !d.incarnationGone(ctx, vm) {
		return
	}
	check.crashed = true
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	suspects := d.inFlight(vm.Id, vm.Incarnation)
	_ = d.reporter.ReportCrash(ctx, &wire.ReportCrash{Endpoint: vm.Id, Incarnation: vm.Incarnation, Fingerprints: suspects})
}

// incarnationGone reports whether the engine has another incarnation or answers
// none of the probes. One response of the same incarnation proves the opposite.
func (d *crashDetector) incarnationGone(ctx context.Context, vm *wire.Endpoint) bool {
	for i := range maxProbes {
		if i > 0 {
			wait.For(ctx, probeInterval)
		}
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		s, err := d.engines.State(probe, vm.Address)
		cancel()
		if err == nil {
			return s.Incarnation != vm.Incarnation
		}
	}
	return true
}

// controlReporter is a crashReporter that calls the control leader.
type controlReporter struct{ control *controlclient.Client }

// ReportCrash records the fingerprints of the requests that were in flight at a
// crash.
func (c controlReporter) ReportCrash(ctx context.Context, r *wire.ReportCrash) error {
	return c.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		_, err := conn.Control.ReportCrash(ctx, connect.NewRequest(r))
		return err
	})
}

// ClearSuspect removes a request that completed from the suspects.
func (c controlReporter) ClearSuspect(ctx context.Context, fingerprint uint64) error {
	return c.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		_, err := conn.Control.ClearSuspect(ctx, connect.NewRequest(&wire.ClearSuspect{Fingerprint: fingerprint}))
		return err
	})
}

// CheckSuspect returns the shared state of a request.
func (c controlReporter) CheckSuspect(ctx context.Context, fingerprint uint64) (*wire.CheckSuspectResponse, error) {
	var out *wire.CheckSuspectResponse
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := c.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		r, err := conn.Control.CheckSuspect(ctx, connect.NewRequest(&wire.CheckSuspectRequest{Fingerprint: fingerprint}))
		if err == nil {
			out = r.Msg
		}
		return err
	})
	return out, err
}
