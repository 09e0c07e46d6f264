package entry

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"parsleyramp/internal/admission"
	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wire"
)

const (
	// chunkBytes is the maximum size of the chunks in which responses are forwarded.
	chunkBytes = 16 << 10
	// cancelTimeout bounds the notification of an engine that a request was canceled.
	cancelTimeout = time.Second
	// bodyBytesPerSizeUnit is the number of bytes of a request body that count as
	// one unit of admission.Request.RequestSize, the measure of the prompt's length.
	bodyBytesPerSizeUnit = 1024
)

// eventSink receives the events of one response. An error ends the attempt.
type eventSink func(*wire.ForwardEvent) error

// engineClient is the owner's client of endpoints.
type engineClient interface {
	endpoint.Runner
	State(ctx context.Context, address string) (*endpoint.EngineState, error)
	Cancel(ctx context.Context, address, requestID string) error
}

// owner runs attempts on the endpoints that this entry owns.
type owner struct {
	session       *session
	engines       engineClient
	crashDetector *crashDetector
	serviceSlots  int
	clock         func() time.Duration

	mu        sync.Mutex
	lastID    uint64
	endpoints map[string]*ownedEndpoint
	// arrivals counts the attempts since the last heartbeat, for placement.
	arrivals map[residentName]uint32
	// tracker holds the fingerprints of the requests in flight.
	tracker *quarantine.Tracker
	limits  endpointLimits
}

// ownedEndpoint is the admission controller of one endpoint with its waiting and
// running attempts.
type ownedEndpoint struct {
	admission *admission.Controller
	waiting   map[uint64]*waiter
	// attempts counts the attempts at each resident that wait or run.
	attempts map[residentName]int
}

// waiter is one attempt that waits for admission.
type waiter struct {
	started chan struct{}
	// evicted is closed if the admission controller evicts the attempt in favor of
	// another one.
	evicted chan struct{}
}

// residentName identifies a version of a model or adapter on an engine.
type residentName struct {
	model, version, adapter string
}

func newOwner(s *session, e engineClient, r crashReporter, serviceSlots int) *owner {
	o := &owner{session: s, engines: e, serviceSlots: serviceSlots, clock: s.clock, endpoints: map[string]*ownedEndpoint{}, tracker: quarantine.NewTracker(), arrivals: map[residentName]uint32{}}
	o.crashDetector = newCrashDetector(e, r, o.inFlight)
	return o
}

// inFlight returns the fingerprints of the requests in flight at an incarnation of
// an endpoint.
func (o *owner) inFlight(endpointID, incarnation string) []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.InFlight(endpointID, incarnation)
}

// ownedAttempt is an attempt on an owned endpoint that waits for a slot or has
// been admitted to one.
type ownedAttempt struct {
	id       uint64
	vm       *wire.Endpoint
	resident residentName
	// sentAt is when it was sent.
	sentAt time.Duration
}

// run admits one attempt, runs it and forwards the response to the sink.
func (o *owner) run(ctx context.Context, r *wire.ForwardRequest, out eventSink) error {
	ctx, span := telemetry.StartSpan(ctx, "owner", attribute.String("endpoint", r.Endpoint), attribute.String("request", r.RequestId))
	defer span.End()
	if r.DeadlineMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.DeadlineMs)*time.Millisecond)
		defer cancel()
	}
	vm, err := o.validate(r)
	if err != nil {
		return err
	}
	admitted, err := o.admit(ctx, vm, r)
	if err != nil {
		return err
	}
	defer o.release(admitted)
	if ending(ctx) {
		return errStopping
	}
	// The view can change while the attempt waits.
	if vm, err = o.validate(r); err != nil {
		return err
	}
	admitted.vm = vm
	err = o.runOnEndpoint(ctx, admitted, r, out)
	if err == nil || fail.From(err).Ran == fail.RanNo || ctx.Err() != nil {
		return err
	}
	if o.crashDetector.crashed(ctx, admitted.vm) {
		return fail.Wrap(err, fail.EndpointCrashed, "the endpoint crashed while the request was in flight").WithRan(fail.RanUnknown)
	}
	return err
}

// validate returns the endpoint of an attempt. It rejects the attempt if, according
// to the current view, this entry does not own the endpoint, the endpoint does not
// serve the request, or the request is quarantined or must run isolated.
func (o *owner) validate(r *wire.ForwardRequest) (*wire.Endpoint, error) {
	c, err := o.session.catalog()
	if err != nil {
		return nil, err
	}
	vm := c.endpoints[r.Endpoint]
	switch {
	case vm == nil || vm.Owner != o.session.cfg.ID:
		return nil, fail.New(fail.NotOwner, "this entry does not own the endpoint").WithRetryAfter(time.Second)
	case vm.Leaving:
		return nil, fail.New(fail.NoReplica, "the endpoint is leaving").WithRetryAfter(time.Second)
	case r.Model != "" && !c.serves(r):
		return nil, fail.New(fail.NoReplica, "the endpoint no longer serves the model").WithRetryAfter(time.Second)
	}
	switch decision := quarantine.Decide(c.suspects[r.Fingerprint], 0); {
	case decision == quarantine.Reject:
		return nil, quarantine.NewError()
	case decision == quarantine.RunIsolated && !r.Isolated:
		return nil, fail.New(fail.MustRunAlone, "the request was in flight when an endpoint crashed and must run isolated").WithRetryAfter(time.Second)
	}
	return vm, nil
}

// serves reports whether the resident that the attempt requires is ready.
func (c *catalog) serves(r *wire.ForwardRequest) bool {
	return c.ready[endpointResident{r.Endpoint, residentName{r.Model, r.Version, r.Adapter}}]
}

// endpointLocked returns the state of an owned endpoint, and applies its current
// number of slots. The caller holds o.mu.
func (o *owner) endpointLocked(vm *wire.Endpoint) *ownedEndpoint {
	slots := int(vm.Slots)
	if vm.Kind == wire.EndpointKind_ENDPOINT_KIND_SERVICE {
		slots = o.serviceSlots
	}
	e := o.endpoints[vm.Id]
	if e == nil {
		e = &ownedEndpoint{admission: admission.NewController(slots), waiting: map[uint64]*waiter{}, attempts: map[residentName]int{}}
		o.endpoints[vm.Id] = e
	}
	e.startWaiters(e.admission.SetSlots(o.clock(), slots))
	return e
}

func (e *ownedEndpoint) startWaiters(ids []uint64) {
	for _, id := range ids {
		close(e.waiting[id].started)
		delete(e.waiting, id)
	}
}

// load returns the exact load of an endpoint that this entry owns, or nil if it
// has received no attempt for it.
func (o *owner) load(endpointID string) *wire.EndpointLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.endpoints[endpointID]
	if e == nil {
		return nil
	}
	l := e.admission.Load()
	return &wire.EndpointLoad{InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Slots: uint32(l.Slots), FirstTokenMs: uint32(l.TimeToFirstToken.Milliseconds())}
}

// report adds the demand and the attempts on each endpoint to a heartbeat.
// Endpoints that were handed over are included as long as attempts are in flight
// there.
func (o *owner) report(req *wire.HeartbeatRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, n := range o.arrivals {
		req.Demand = append(req.Demand, &wire.DemandReport{Model: name.model, Adapter: name.adapter, Requests: n})
	}
	clear(o.arrivals)
	for id, e := range o.endpoints {
		if len(e.attempts) == 0 {
			continue
		}
		report := &wire.EndpointReport{Endpoint: id, Reachable: true, InFlight: uint32(e.admission.Load().InFlight)}
		for name, n := range e.attempts {
			report.Residents = append(report.Residents, &wire.ResidentReport{Model: name.model, Version: name.version, Adapter: name.adapter, InFlight: uint32(n)})
		}
		req.Endpoints = append(req.Endpoints, report)
	}
}

// busy reports whether any attempt is in flight or waits for admission.
func (o *owner) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range o.endpoints {
		if len(e.attempts) > 0 {
			return true
		}
	}
	return false
}
