package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// probeTimeout bounds one reading of an engine's state after a break.
	probeTimeout = 500 * time.Millisecond
	// probes is how often an engine is asked before it counts as crashed.
	maxProbes     = 3
	probeInterval = 200 * time.Millisecond
	// reportTimeout bounds the recording of a crash.
	reportTimeout = 3 * time.Second
)

// crashReporter records crashes where every entry learns of them.
type crashReporter interface {
	ReportCrash(ctx context.Context, r *wire.ReportCrash) error
	ClearSuspect(ctx context.Context, fingerprint uint64) error
	// CheckSuspect returns what all entries are to know of a request, and
	// whether they know by now that it is a suspect.
	CheckSuspect(ctx context.Context, fingerprint uint64) (*wire.CheckSuspectResponse, error)
}

// stateReader reads an engine's exact state.
type stateReader interface {
	State(ctx context.Context, address string) (*endpoint.EngineState, error)
}

// crashDetector tells a crash from a connection that merely broke: after a
// crash the engine has another incarnation or cannot be reached.
type crashDetector struct {
	engines  stateReader
	reporter crashReporter
	inFlight func(endpointID, incarnation string) []uint64

	mu     sync.Mutex
	checks map[string]*crashCheck
}

// crashCheck is one check that every attempt broken at that time shares.
type crashCheck struct {
	done    chan struct{}
	crashed bool
}

func newCrashDetector(s stateReader, r crashReporter, inFlight func(string, string) []uint64) *crashDetector {
	return &crashDetector{engines: s, reporter: r, inFlight: inFlight, checks: map[string]*crashCheck{}}
}

// crashed reports whether the engine crashed, and has recorded what was in
// flight by then. Attempts stay in flight until their own call returns, so
// that the record holds all of them.
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
		// The check goes on for the others when this caller goes away.
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

// gone reports whether the incarnation is gone. One answer of the same
// incarnation proves that it is not.
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

// controlReporter records crashes with the control leader.
type controlReporter struct{ control *controlclient.Client }

// ReportCrash records the fingerprints that were in flight at a crash.
func (c controlReporter) ReportCrash(ctx context.Context, r *wire.ReportCrash) error {
	return c.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		_, err := conn.Control.ReportCrash(ctx, connect.NewRequest(r))
		return err
	})
}

// ClearSuspect ends the suspicion of a request that completed.
func (c controlReporter) ClearSuspect(ctx context.Context, fingerprint uint64) error {
	return c.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		_, err := conn.Control.ClearSuspect(ctx, connect.NewRequest(&wire.ClearSuspect{Fingerprint: fingerprint}))
		return err
	})
}

// CheckSuspect asks what all entries are to know of a request.
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

// quarantined is the final answer to a request that crashes endpoints.
func quarantinedError() *fail.Error {
	return fail.New(fail.Quarantined, "this request crashed two endpoints and is not run again")
}
