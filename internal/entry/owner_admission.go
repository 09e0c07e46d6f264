package entry

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"parsleyramp/internal/admission"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

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
