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

// admissionRequest returns the properties of the request on which the admission
// controller bases its decision.
func (o *owner) admissionRequest(id uint64, now time.Duration, r *wire.ForwardRequest) admission.Request {
	q := admission.Request{
		ID: id, Team: r.Team, Priority: r.Priority, Isolated: r.Isolated,
		Class: r.Model + "/" + strconv.Itoa(int(r.Priority)), RequestSize: float64(len(r.Body)) / bodyBytesPerSizeUnit,
	}
	if r.FirstTokenDeadlineMs > 0 {
		q.FirstTokenBy = now + time.Duration(r.FirstTokenDeadlineMs)*time.Millisecond
	}
	if r.FinishInMs > 0 {
		q.FinishBy = now + time.Duration(r.FinishInMs)*time.Millisecond
	}
	return q
}

// admit waits until the attempt may start. The attempt counts as in flight on its
// resident from before it waits, so that the resident is not unloaded meanwhile.
func (o *owner) admit(ctx context.Context, vm *wire.Endpoint, r *wire.ForwardRequest) (*ownedAttempt, error) {
	o.mu.Lock()
	e := o.endpointLocked(vm)
	if r.RedirectIfQueued && e.admission.Busy() {
		o.mu.Unlock()
		return nil, fail.New(fail.Redirected, "the request would have to wait at this endpoint")
	}
	if err := o.checkLimitLocked(vm); err != nil {
		o.mu.Unlock()
		return nil, err
	}
	o.lastID++
	if r.Model != "" {
		// Demand is counted per model, regardless of the version that serves it.
		o.arrivals[residentName{model: r.Model, adapter: adapterName(r.Adapter)}]++
	}
	a := &ownedAttempt{id: o.lastID, vm: vm, resident: residentName{r.Model, r.Version, r.Adapter}}
	now := o.clock()
	decision := e.admission.Admit(now, o.admissionRequest(a.id, now, r))
	if decision.Reject {
		o.mu.Unlock()
		return nil, overloadedError(decision.RetryAfter)
	}
	if w := e.waiting[decision.Evicted]; w != nil {
		close(w.evicted)
		delete(e.waiting, decision.Evicted)
	}
	e.attempts[a.resident]++
	if decision.Start {
		o.mu.Unlock()
		return a, nil
	}
	w := &waiter{started: make(chan struct{}), evicted: make(chan struct{})}
	e.waiting[a.id] = w
	o.mu.Unlock()
	if err := w.wait(ctx, decision.StartBy-now, decision.StartBy > 0); err != nil {
		o.release(a)
		return nil, err
	}
	return a, nil
}

// adapterName returns an adapter's name without its version.
func adapterName(adapter string) string {
	name, _, _ := strings.Cut(adapter, "@")
	return name
}

func overloadedError(retryAfter time.Duration) *fail.Error {
	return fail.New(fail.Overloaded, "the request cannot currently meet its target").WithRetryAfter(max(retryAfter, time.Millisecond))
}

// wait returns nil when the attempt may start, and an error if it is evicted, the
// limited wait ends, or ctx ends.
func (w *waiter) wait(ctx context.Context, maxWait time.Duration, limited bool) error {
	var timeout <-chan time.Time
	if limited {
		t := time.NewTimer(maxWait)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-w.started:
		return nil
	case <-w.evicted:
		return overloadedError(time.Second)
	case <-timeout:
		return overloadedError(maxWait)
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fail.Wrap(ctx.Err(), fail.DeadlinePassed, "the deadline passed before the request could start").WithRetryAfter(time.Second)
	}
	return fail.Wrap(ctx.Err(), fail.Canceled, "the client has disconnected")
}

func (o *owner) release(a *ownedAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.endpoints[a.vm.Id]
	delete(e.waiting, a.id)
	if e.attempts[a.resident]--; e.attempts[a.resident] == 0 {
		delete(e.attempts, a.resident)
	}
	o.tracker.End(a.vm.Id, a.id)
	e.startWaiters(e.admission.Done(o.clock(), a.id))
}
