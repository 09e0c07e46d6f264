package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
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
	// chunkBytes is the size of the pieces in which answers are passed on.
	chunkBytes = 16 << 10
	// cancelTimeout bounds telling an engine that a request was given up.
	cancelTimeout = time.Second
	// bytesPerWork is the prompt size that counts as one unit of work.
	bytesPerWork = 1024
)

// sink takes the events of one answer. An error ends the attempt.
type sink func(*wire.ForwardEvent) error

// engineClient is what an owner asks of endpoints.
type engineClient interface {
	endpoint.Runner
	State(ctx context.Context, address string) (*endpoint.EngineState, error)
	Cancel(ctx context.Context, address, requestID string) error
}

// owner runs attempts on the endpoints that this entry owns.
type owner struct {
	session *session
	engines engineClient
	crashes *crashDetector
	slots   int
	clock   func() time.Duration

	mu     sync.Mutex
	lastID uint64
	gates  map[string]*ownedEndpoint
	// arrived counts the attempts since the last report, for placement.
	arrived map[residentName]uint32
	// flights knows what was sent and is not answered yet.
	flights *quarantine.Tracker
}

// ownedEndpoint is the gate of one endpoint with those who wait at it.
type ownedEndpoint struct {
	gate    *admission.Gate
	waiting map[uint64]*waiter
	running map[residentName]int
}

// waiter is one attempt that waits at a gate.
type waiter struct {
	started chan struct{}
	// evicted is closed where a more urgent attempt took the place.
	evicted chan struct{}
}

// residentName names a model or adapter version on an engine.
type residentName struct {
	model, version, adapter string
}

func newOwner(s *session, e engineClient, r crashReporter, serviceSlots int) *owner {
	o := &owner{session: s, engines: e, slots: serviceSlots, clock: s.clock, gates: map[string]*ownedEndpoint{}, flights: quarantine.NewTracker(), arrived: map[residentName]uint32{}}
	o.crashes = newCrashDetector(e, r, o.inFlight)
	return o
}

// inFlight returns the fingerprints sent to an incarnation of an endpoint.
func (o *owner) inFlight(endpointID, incarnation string) []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.flights.InFlight(endpointID, incarnation)
}

// admitted is an attempt that holds a slot.
type admitted struct {
	id   uint64
	vm   *wire.Endpoint
	name residentName
}

// run admits one attempt, runs it and passes the answer to the sink.
func (o *owner) run(ctx context.Context, r *wire.ForwardRequest, out sink) error {
	ctx, span := telemetry.StartSpan(ctx, "owner", attribute.String("endpoint", r.Endpoint), attribute.String("request", r.RequestId))
	defer span.End()
	if r.DeadlineMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.DeadlineMs)*time.Millisecond)
		defer cancel()
	}
	vm, err := o.check(r)
	if err != nil {
		return err
	}
	a, err := o.admit(ctx, vm, r)
	if err != nil {
		return err
	}
	defer o.release(a)
	// The view may have changed while the attempt waited.
	if vm, err = o.check(r); err != nil {
		return err
	}
	a.vm = vm
	err = o.attempt(ctx, a, r, out)
	if err == nil || fail.From(err).Ran == fail.RanNo || ctx.Err() != nil {
		return err
	}
	if o.crashes.crashed(ctx, a.vm) {
		return fail.Wrap(err, fail.EndpointCrashed, "the endpoint crashed while the request was in flight").WithRan(fail.RanUnknown)
	}
	return err
}

// check refuses what this entry does not own or the endpoint does not serve
// by the view in force.
func (o *owner) check(r *wire.ForwardRequest) (*wire.Endpoint, error) {
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
		return nil, fail.New(fail.NoReplica, "the endpoint does not serve the model any more").WithRetryAfter(time.Second)
	}
	switch treatment := quarantine.Treat(c.suspects[r.Fingerprint], 0); {
	case treatment == quarantine.Refused:
		return nil, quarantined()
	case treatment == quarantine.Alone && !r.Isolated:
		return nil, fail.New(fail.MustRunAlone, "the request was in flight at a crash and must run alone").WithRetryAfter(time.Second)
	}
	return vm, nil
}

// serves reports whether the resident that the attempt names is ready.
func (c *catalog) serves(r *wire.ForwardRequest) bool {
	return c.ready[residentAt{r.Endpoint, residentName{r.Model, r.Version, r.Adapter}}]
}

// endpoint returns the gate, which the caller holds the lock for.
func (o *owner) endpoint(vm *wire.Endpoint) *ownedEndpoint {
	slots := int(vm.Slots)
	if vm.Kind == wire.EndpointKind_ENDPOINT_KIND_SERVICE {
		slots = o.slots
	}
	e := o.gates[vm.Id]
	if e == nil {
		e = &ownedEndpoint{gate: admission.NewGate(slots), waiting: map[uint64]*waiter{}, running: map[residentName]int{}}
		o.gates[vm.Id] = e
	}
	e.startAll(e.gate.SetSlots(o.clock(), slots))
	return e
}

func (e *ownedEndpoint) startAll(ids []uint64) {
	for _, id := range ids {
		close(e.waiting[id].started)
		delete(e.waiting, id)
	}
}

// admissionRequest returns what the gate decides by.
func (o *owner) admissionRequest(id uint64, now time.Duration, r *wire.ForwardRequest) admission.Request {
	q := admission.Request{
		ID: id, Team: r.Team, Priority: r.Priority, Isolated: r.Isolated,
		Class: r.Model + "/" + strconv.Itoa(int(r.Priority)), Work: float64(len(r.Body)) / bytesPerWork,
	}
	if r.FirstTokenDeadlineMs > 0 {
		q.FirstTokenBy = now + time.Duration(r.FirstTokenDeadlineMs)*time.Millisecond
	}
	if r.FinishInMs > 0 {
		q.FinishBy = now + time.Duration(r.FinishInMs)*time.Millisecond
	}
	return q
}

// admit waits until the attempt may start. The attempt counts as in progress
// on its resident from before it waits, so that nothing is unloaded under it.
func (o *owner) admit(ctx context.Context, vm *wire.Endpoint, r *wire.ForwardRequest) (*admitted, error) {
	o.mu.Lock()
	e := o.endpoint(vm)
	if r.RedirectIfQueued && e.gate.Busy() {
		o.mu.Unlock()
		return nil, fail.New(fail.Redirected, "the request would wait at this endpoint")
	}
	o.lastID++
	if r.Model != "" {
		// Demand is of the model, whichever version answers it.
		o.arrived[residentName{model: r.Model, adapter: adapterOnly(r.Adapter)}]++
	}
	a := &admitted{id: o.lastID, vm: vm, name: residentName{r.Model, r.Version, r.Adapter}}
	now := o.clock()
	verdict := e.gate.Offer(now, o.admissionRequest(a.id, now, r))
	if verdict.Refuse {
		o.mu.Unlock()
		return nil, overloaded(verdict.RetryAfter)
	}
	if w := e.waiting[verdict.Evicted]; w != nil {
		close(w.evicted)
		delete(e.waiting, verdict.Evicted)
	}
	e.running[a.name]++
	if verdict.Start {
		o.mu.Unlock()
		return a, nil
	}
	w := &waiter{started: make(chan struct{}), evicted: make(chan struct{})}
	e.waiting[a.id] = w
	o.mu.Unlock()
	if err := w.wait(ctx, verdict.StartBy-now, verdict.StartBy > 0); err != nil {
		o.release(a)
		return nil, err
	}
	return a, nil
}

// adapterOnly returns an adapter's name without its version.
func adapterOnly(adapter string) string {
	name, _, _ := strings.Cut(adapter, "@")
	return name
}

func overloaded(retryAfter time.Duration) *fail.Error {
	return fail.New(fail.Overloaded, "the request cannot meet its target now").WithRetryAfter(max(retryAfter, time.Millisecond))
}

// wait ends when the attempt may start, and with an error once it is given up.
func (w *waiter) wait(ctx context.Context, patience time.Duration, limited bool) error {
	var late <-chan time.Time
	if limited {
		t := time.NewTimer(patience)
		defer t.Stop()
		late = t.C
	}
	select {
	case <-w.started:
		return nil
	case <-w.evicted:
		return overloaded(time.Second)
	case <-late:
		return overloaded(patience)
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fail.Wrap(ctx.Err(), fail.DeadlinePassed, "the request waited too long").WithRetryAfter(time.Second)
	}
	return fail.Wrap(ctx.Err(), fail.Canceled, "the caller went away")
}

func (o *owner) release(a *admitted) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.gates[a.vm.Id]
	delete(e.waiting, a.id)
	if e.running[a.name]--; e.running[a.name] == 0 {
		delete(e.running, a.name)
	}
	o.flights.End(a.vm.Id, a.id)
	e.startAll(e.gate.Done(o.clock(), a.id))
}

// beforeSend checks the lease and the view when a connection is ready, and
// notes the attempt as in flight.
func (o *owner) beforeSend(a *admitted, r *wire.ForwardRequest) error {
	if _, err := o.check(r); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.flights.Begin(a.vm.Id, a.vm.Incarnation, a.id, r.Fingerprint)
	return nil
}

// attempt runs on the endpoint and passes the answer on. A broken answer ends
// with an error and never with an end event.
func (o *owner) attempt(ctx context.Context, a *admitted, r *wire.ForwardRequest, out sink) error {
	ctx, span := telemetry.StartSpan(ctx, "endpoint", attribute.String("address", a.vm.Address))
	defer span.End()
	isEngine := a.vm.Kind == wire.EndpointKind_ENDPOINT_KIND_ENGINE
	answer, err := o.engines.Run(ctx, a.vm.Address, endpoint.Request{
		ID: r.RequestId, Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body, Incarnation: a.vm.Incarnation,
		NamedAnswer: isEngine, AnswerID: r.AnswerId, BeforeSend: func() error { return o.beforeSend(a, r) },
	})
	if err != nil {
		if isEngine && fail.From(err).Ran != fail.RanNo {
			o.cancel(ctx, a.vm, r)
		}
		return err
	}
	defer answer.Body.Close()
	if isEngine {
		if err := engineRefusal(answer); err != nil {
			return err
		}
	}
	err = o.passOn(a, answer, out)
	if err != nil && isEngine {
		o.cancel(ctx, a.vm, r)
	}
	return err
}

// engineRefusal returns the failure that an engine's status stands for, or nil
// for an answer that the caller is to see.
func engineRefusal(answer *endpoint.Answer) error {
	switch {
	case answer.Status == http.StatusNotFound && answer.Named:
		return fail.New(fail.NoReplica, "the engine does not have the model").WithRetryAfter(time.Second)
	case answer.Status >= http.StatusInternalServerError, answer.Status == http.StatusNotFound, answer.Status == http.StatusTooManyRequests:
		return fail.New(fail.EndpointFailed, "the engine answered with status "+strconv.Itoa(answer.Status)).
			WithRan(fail.RanUnknown).WithRetryAfter(time.Second)
	}
	return nil
}

// passOn sends the answer to the sink, chunk by chunk as it comes.
func (o *owner) passOn(a *admitted, answer *endpoint.Answer, out sink) error {
	head := &wire.ForwardHead{Status: uint32(answer.Status), ContentType: answer.ContentType, Load: o.load(a.vm.Id)}
	if err := out(&wire.ForwardEvent{Body: &wire.ForwardEvent_Head{Head: head}}); err != nil {
		return err
	}
	first := strings.HasPrefix(answer.ContentType, "text/event-stream")
	buf := make([]byte, chunkBytes)
	for {
		n, readErr := answer.Body.Read(buf)
		if n > 0 {
			if first {
				o.firstToken(a)
				first = false
			}
			chunk := append([]byte(nil), buf[:n]...)
			if err := out(&wire.ForwardEvent{Body: &wire.ForwardEvent_Chunk{Chunk: chunk}}); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return out(&wire.ForwardEvent{Body: &wire.ForwardEvent_End{End: &wire.ForwardEnd{Load: o.load(a.vm.Id)}}})
		}
		if readErr != nil {
			f := fail.From(readErr)
			return fail.Wrap(readErr, brokenCode(f.Code), "the answer broke off").WithRan(fail.RanUnknown)
		}
	}
}

// brokenCode is the code of an answer that broke while it was read.
func brokenCode(c fail.Code) fail.Code {
	if c == fail.ForeignAnswer {
		return c
	}
	return fail.TruncatedAnswer
}

func (o *owner) firstToken(a *admitted) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gates[a.vm.Id].gate.FirstToken(o.clock(), a.id)
}

// cancel tells an engine that nobody waits for the answer any more. Closing
// the connection says so too; some engines only notice when told.
func (o *owner) cancel(ctx context.Context, vm *wire.Endpoint, r *wire.ForwardRequest) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer stop()
		_ = o.engines.Cancel(ctx, vm.Address, r.RequestId)
	}()
}

// load returns the exact load of an endpoint that this entry owns.
func (o *owner) load(endpointID string) *wire.EndpointLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.gates[endpointID]
	if e == nil {
		return nil
	}
	l := e.gate.Load()
	return &wire.EndpointLoad{InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Slots: uint32(l.Slots), FirstTokenMs: uint32(l.FirstToken.Milliseconds())}
}

// report fills in what runs on each endpoint, for the control leader. It holds
// endpoints that were handed over for as long as work is in progress there.
func (o *owner) report(req *wire.HeartbeatRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, n := range o.arrived {
		req.Demand = append(req.Demand, &wire.DemandReport{Model: name.model, Adapter: name.adapter, Requests: n})
	}
	clear(o.arrived)
	for id, e := range o.gates {
		if len(e.running) == 0 {
			continue
		}
		rep := &wire.EndpointReport{Endpoint: id, Reachable: true, InFlight: uint32(e.gate.Load().InFlight)}
		for name, n := range e.running {
			rep.Residents = append(rep.Residents, &wire.ResidentReport{Model: name.model, Version: name.version, Adapter: name.adapter, InFlight: uint32(n)})
		}
		req.Endpoints = append(req.Endpoints, rep)
	}
}

// busy reports whether any attempt is in progress.
func (o *owner) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range o.gates {
		if len(e.running) > 0 {
			return true
		}
	}
	return false
}
