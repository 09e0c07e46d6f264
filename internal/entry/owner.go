package entry

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"parsleyramp/internal/admission"
	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wire"
)

// chunkBytes is the size of the pieces in which answers are passed on.
const chunkBytes = 16 << 10

// sink takes the events of one answer. An error ends the attempt.
type sink func(*wire.ForwardEvent) error

// owner runs attempts on the endpoints that this entry owns.
type owner struct {
	session *session
	runner  endpoint.Runner
	slots   int
	clock   func() time.Duration

	mu     sync.Mutex
	lastID uint64
	gates  map[string]*ownedEndpoint
	// arrived counts the attempts since the last report, for placement.
	arrived map[residentName]uint32
}

// ownedEndpoint is the gate of one endpoint with those who wait at it.
type ownedEndpoint struct {
	gate    *admission.Gate
	waiting map[uint64]chan struct{}
	running map[residentName]int
}

// residentName names a model or adapter version on an engine.
type residentName struct {
	model, version, adapter string
}

func newOwner(s *session, r endpoint.Runner, serviceSlots int) *owner {
	return &owner{session: s, runner: r, slots: serviceSlots, clock: s.clock, gates: map[string]*ownedEndpoint{}, arrived: map[residentName]uint32{}}
}

// run admits one attempt, runs it and passes the answer to the sink.
func (o *owner) run(ctx context.Context, r *wire.ForwardRequest, out sink) error {
	ctx, span := telemetry.StartSpan(ctx, "owner", attribute.String("endpoint", r.Endpoint), attribute.String("request", r.RequestId))
	defer span.End()
	vm, err := o.check(r)
	if err != nil {
		return err
	}
	name := residentName{r.Model, r.Version, r.Adapter}
	id, err := o.admit(ctx, vm, name, r)
	if err != nil {
		return err
	}
	defer o.release(vm.Id, name, id)
	// The view may have changed while the attempt waited.
	if vm, err = o.check(r); err != nil {
		return err
	}
	return o.attempt(ctx, vm, r, out)
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
		return nil, fail.New(fail.NotOwner, "this entry does not own the endpoint")
	case vm.Leaving:
		return nil, fail.New(fail.NoReplica, "the endpoint is leaving")
	case r.Model != "" && !c.serves(r):
		return nil, fail.New(fail.NoReplica, "the endpoint does not serve the model any more")
	}
	return vm, nil
}

// serves reports whether the resident that the attempt names is ready.
func (c *catalog) serves(r *wire.ForwardRequest) bool {
	return c.ready[residentAt{r.Endpoint, residentName{r.Model, r.Version, r.Adapter}}]
}

func (o *owner) endpoint(vm *wire.Endpoint) *ownedEndpoint {
	slots := int(vm.Slots)
	if vm.Kind == wire.EndpointKind_ENDPOINT_KIND_SERVICE {
		slots = o.slots
	}
	e := o.gates[vm.Id]
	if e == nil {
		e = &ownedEndpoint{gate: admission.NewGate(slots), waiting: map[uint64]chan struct{}{}, running: map[residentName]int{}}
		o.gates[vm.Id] = e
	}
	e.gate.SetSlots(slots)
	return e
}

// admit waits until the attempt may start. The attempt counts as in progress
// on its resident from before it waits, so that nothing is unloaded under it.
func (o *owner) admit(ctx context.Context, vm *wire.Endpoint, name residentName, r *wire.ForwardRequest) (uint64, error) {
	o.mu.Lock()
	o.lastID++
	if r.Model != "" {
		// Demand is of the model, whichever version answers it.
		o.arrived[residentName{model: r.Model, adapter: adapterOnly(r.Adapter)}]++
	}
	id := o.lastID
	e := o.endpoint(vm)
	now := o.clock()
	q := admission.Request{ID: id, Priority: r.Priority}
	if r.FirstTokenDeadlineMs > 0 {
		q.StartBy = now + time.Duration(r.FirstTokenDeadlineMs)*time.Millisecond
	}
	verdict := e.gate.Offer(now, q)
	if verdict.Refuse {
		o.mu.Unlock()
		return 0, fail.New(fail.Overloaded, "the request cannot meet its target now").WithRetryAfter(verdict.RetryAfter)
	}
	e.running[name]++
	started := make(chan struct{})
	if verdict.Start {
		close(started)
	} else {
		e.waiting[id] = started
	}
	o.mu.Unlock()
	select {
	case <-started:
		return id, nil
	case <-ctx.Done():
		o.release(vm.Id, name, id)
		return 0, fail.Wrap(ctx.Err(), fail.DeadlinePassed, "the request waited too long")
	}
}

// adapterOnly returns an adapter's name without its version.
func adapterOnly(adapter string) string {
	name, _, _ := strings.Cut(adapter, "@")
	return name
}

func (o *owner) release(endpointID string, name residentName, id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.gates[endpointID]
	delete(e.waiting, id)
	if e.running[name]--; e.running[name] == 0 {
		delete(e.running, name)
	}
	for _, next := range e.gate.Done(o.clock(), id) {
		close(e.waiting[next])
		delete(e.waiting, next)
	}
}

// attempt runs on the endpoint and passes the answer on. A broken answer ends
// with an error and never with an end event.
func (o *owner) attempt(ctx context.Context, vm *wire.Endpoint, r *wire.ForwardRequest, out sink) error {
	ctx, span := telemetry.StartSpan(ctx, "endpoint", attribute.String("address", vm.Address))
	defer span.End()
	answer, err := o.runner.Run(ctx, vm.Address, endpoint.Request{
		ID: r.RequestId, Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body, Incarnation: vm.Incarnation,
	})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	head := &wire.ForwardHead{Status: uint32(answer.Status), ContentType: answer.ContentType}
	if err := out(&wire.ForwardEvent{Body: &wire.ForwardEvent_Head{Head: head}}); err != nil {
		return err
	}
	buf := make([]byte, chunkBytes)
	for {
		n, readErr := answer.Body.Read(buf)
		if n > 0 {
			chunk := append([]byte(nil), buf[:n]...)
			if err := out(&wire.ForwardEvent{Body: &wire.ForwardEvent_Chunk{Chunk: chunk}}); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return out(&wire.ForwardEvent{Body: &wire.ForwardEvent_End{End: &wire.ForwardEnd{Load: o.load(vm.Id)}}})
		}
		if readErr != nil {
			return fail.Wrap(readErr, fail.TruncatedAnswer, "the answer broke off").WithRan(fail.RanUnknown)
		}
	}
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
	return &wire.EndpointLoad{InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Slots: uint32(l.Slots), FirstTokenMs: uint32(l.Wait.Milliseconds())}
}

// report fills in what runs on each endpoint, for the control leader.
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
