package gateway

import (
	"context"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/quarantine"
)

const (
	// spreadUtilization is the utilization of the endpoint chosen for a request
	// with an adapter above which the adapter is requested on one more engine.
	spreadUtilization = 0.6
	// modelRetryJitter bounds the random part of the Retry-After of a request for a model
	// that is being loaded.
	modelRetryJitter = 600 * time.Millisecond
	// modelRequestInterval is the time between two model requests to the control
	// plane for one client request.
	modelRequestInterval = 400 * time.Millisecond
	// modelRetryAfter is the Retry-After if it is unknown when the model will be
	// ready.
	modelRetryAfter = 1500 * time.Millisecond
	// finishTimeMargin is the factor by which few responses exceed the time that is
	// estimated from the client's estimate of their length.
	finishTimeMargin = 1.5
	// noEndpointRetryAfter is the Retry-After if the service has no endpoint or
	// none responds.
	noEndpointRetryAfter = 400 * time.Millisecond
)

// search is the state of the selection of an endpoint for one request.
type search struct {
	tried     map[string]bool
	startedAt time.Duration
	// limit is how long the client waits, counted from startedAt.
	limit time.Duration
	// nextModelRequestAt is when the model may be requested again, and readyAt
	// when it is expected to be ready; zero if unknown.
	nextModelRequestAt time.Duration
	readyAt            time.Duration
	// unresponsive counts the slot reservations that failed without a response.
	unresponsive int
	// heldByShare is set if the request would have been sent but for the share of its workspace.
	heldByShare bool
	// woken is set if the request was woken for the current check, and eventsSeen is the state of
	// the queue for slots before the choice.
	woken      bool
	eventsSeen uint64
}

// maxUnresponsive bounds the failed slot reservations of one selection.
const maxUnresponsive = 3

// selectEndpoint returns the endpoint that the request is sent to. It waits for a
// free slot, or for a model that is being loaded, if that is expected in time,
// and rejects the request at once if it cannot be served or is quarantined. A request with an
// endpoint stays in the queue for slots until it is sent.
func (q *request) selectEndpoint(tried map[string]bool) (*fleet.Endpoint, error) {
	e, err := q.searchEndpoint(tried)
	if err != nil {
		q.leaveSlotQueue()
	}
	return e, err
}

func (q *request) searchEndpoint(tried map[string]bool) (*fleet.Endpoint, error) {
	g := q.g
	now := g.clock()
	s := search{tried: tried, startedAt: now, limit: q.maxWait(), nextModelRequestAt: now}
	q.recordDemand(len(tried))
	q.reservation = ""
	for first := true; ; first = false {
		changed := g.changed.wait()
		now = g.clock()
		waited := now - s.startedAt
		if first {
			waited = 0
		}
		if err := q.readmit(); err != nil {
			return nil, err
		}
		if q.quarantined() {
			return nil, quarantine.NewError()
		}
		if !q.finishesInTime(now) {
			return nil, errShutdown
		}
		if q.outOfReach() {
			return nil, errOutOfReach
		}
		s.eventsSeen = g.slots.events.Load()
		c := g.loads.Choose(g.view.Load(), q.requirements, tried, now)
		var e *fleet.Endpoint
		var err error
		switch {
		case c.Endpoint != nil:
			e, err = q.acquireSlot(c, waited, &s)
		case q.requirements.Model == "":
			err = fail.New(fail.Unavailable, "the service has no endpoint").WithRetryAfter(noEndpointRetryAfter)
		default:
			e, err = q.awaitModel(changed, &s)
		}
		if e != nil {
			var ok bool
			if ok, err = q.permitted(e, &s); ok {
				return e, nil
			}
		}
		if err != nil {
			return nil, err
		}
		if q.ctx.Err() != nil {
			return nil, fail.New(fail.Canceled, "the client has disconnected or the deadline has passed")
		}
	}
}

// errOutOfReach is the failure of a request to endpoints that this gateway does not reach.
var errOutOfReach = fail.New(fail.OutOfReach, "the endpoints are out of reach").WithRetryAfter(outOfReachRetryAfter)

// finishesInTime reports whether a request that is sent at the given time may be sent and is
// expected to end before a shutdown of the gateway cancels it. A response that the client has
// received a part of is continued in any case.
func (q *request) finishesInTime(start time.Duration) bool {
	return q.firstByte > 0 || q.g.drain.Load().finishes(start, q.maxResponseTime())
}

// maxResponseTime returns the time that few responses exceed, zero for a plain
// service.
func (q *request) maxResponseTime() time.Duration {
	if q.requirements.Model == "" {
		return 0
	}
	estimate := q.g.serviceTimes.Estimate(q.requirements.Model, q.info.expectedOutput())
	if q.info.ExpectedOutputTokens > 0 {
		return time.Duration(float64(estimate) * finishTimeMargin)
	}
	// The estimate is for the maximum number of tokens.
	return estimate
}

// maxWait returns how long the client waits for the response, or for the first
// event of a stream.
func (q *request) maxWait() time.Duration {
	if q.route.ClientEventTimeout == 0 {
		return q.timeLeft()
	}
	return min(q.timeLeft(), q.route.ClientEventTimeout)
}

// acquireSlot returns the chosen endpoint if it has a free slot, and reserves the
// slot if needed. It returns neither an endpoint nor an error after a wait
// or a failed reservation: then selectEndpoint chooses again.
func (q *request) acquireSlot(c fleet.Choice, waited time.Duration, s *search) (*fleet.Endpoint, error) {
	if q.requirements.Adapter != "" && c.Utilization > spreadUtilization {
		if e := q.spreadAdapter(c, s); e != nil {
			return e, nil
		}
	}
	r := q.waiting(waited, c.ReadAhead, s)
	decision := r.DecideOnSlot(c.Utilization)
	if decision == fleet.Wait && waited == 0 && !q.g.waits.Worthwhile(q.waitKey(r), q.g.clock()) {
		decision = fleet.Reject
	}
	if decision == fleet.Wait && c.HeldOffUntil-q.g.clock() > r.SlotWaitLeft() {
		decision = fleet.Reject
	}
	s.heldByShare = s.heldByShare || decision != fleet.Dispatch && c.Utilization <= r.LimitWithinShare()
	switch decision {
	case fleet.Dispatch:
		e, err := q.reserve(c, s)
		if e != nil {
			q.recordWait(r, waitServed)
		}
		return e, err
	case fleet.Wait:
		q.waitForSlot(c, r, s)
		return nil, nil
	}
	return nil, q.refuseForSlots(c, r, s)
}

// spreadAdapter requests the adapter on one more engine, because those that hold
// it are highly utilized. It waits for the response only if they are full, and
// returns the engine or nil.
func (q *request) spreadAdapter(c fleet.Choice, s *search) *fleet.Endpoint {
	k := modelRequestKey{modelKey{q.requirements.Model, q.requirements.Adapter}, true, q.requirements.Version}
	if c.Utilization <= 1 {
		go q.g.modelRequests.do(context.Background(), q.g, k, q.requirements.Service)
		return nil
	}
	a := q.g.modelRequests.do(q.ctx, q.g, k, q.requirements.Service)
	e := q.endpointByID(a.endpoint, s.tried)
	if e != nil && e.Serves(q.requirements.Model, q.requirements.Adapter) {
		// The view already lists the engine with the adapter, so it is one of those
		// that are full.
		return nil
	}
	return e
}

// overloadRetryDelay returns the Retry-After for a service whose endpoints are
// full: at the earliest when another replica of the model is ready, if one is
// being loaded.
func (q *request) overloadRetryDelay(k fleet.WaitKey) time.Duration {
	sustained := !q.g.waits.Worthwhile(k, q.g.clock())
	if q.requirements.Model == "" {
		return fleet.RetryAfter(sustained, q.timeLeft(), 0, q.g.randFloat())
	}
	a := q.g.modelRequests.do(q.ctx, q.g, modelRequestKey{modelKey: modelKey{q.requirements.Model, ""}, version: q.requirements.Version}, q.requirements.Service)
	return fleet.RetryAfter(sustained, q.timeLeft(), a.readyIn, q.g.randFloat())
}

// awaitModel requests the model or adapter, which no endpoint holds, from the
// control plane, and waits for it if it is expected in time.
func (q *request) awaitModel(changed <-chan struct{}, s *search) (*fleet.Endpoint, error) {
	g := q.g
	if g.clock() >= s.nextModelRequestAt {
		s.nextModelRequestAt = g.clock() + modelRequestInterval
		e, readyIn := q.requestModel(s.tried)
		if e != nil {
			return e, nil
		}
		s.readyAt = 0
		if readyIn > 0 {
			s.readyAt = g.clock() + readyIn
		}
		return nil, nil
	}
	readyIn := time.Duration(0)
	if s.readyAt > 0 {
		readyIn = max(s.readyAt-g.clock(), modelRequestInterval/2)
	}
	if !q.finishesInTime(g.clock() + readyIn) {
		return nil, errShutdown
	}
	if q.waiting(g.clock()-s.startedAt, 0, s).DecideOnModel(readyIn) == fleet.Wait {
		waitForChange(q.ctx, changed, max(s.nextModelRequestAt-g.clock(), 0))
		return nil, nil
	}
	retryAfter := modelRetryAfter
	if readyIn > 0 {
		retryAfter = readyIn + time.Duration(g.randFloat()*float64(modelRetryJitter))
	}
	return nil, fail.New(fail.NoReplica, "the model is not loaded on any engine yet").WithRetryAfter(retryAfter)
}

// recordDemand records how long the request is expected to occupy a slot. The
// next exchange reports it to the control plane.
func (q *request) recordDemand(sends int) {
	if q.requirements.Model != "" && sends == 0 {
		slotTime := q.g.serviceTimes.Estimate(q.requirements.Model, q.info.expectedOutput())
		q.g.demand.add(q.requirements.Model, q.requirements.Adapter, slotTime, q.route.TargetLatency)
	}
}

// waitForChange waits for a change. It returns false if d passed or ctx ended
// first.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// requestModel requests the model and adapter from the control plane. It returns
// the engine that holds them now, or nil and the time until one is expected to;
// zero if unknown.
func (q *request) requestModel(tried map[string]bool) (*fleet.Endpoint, time.Duration) {
	k := modelRequestKey{modelKey: modelKey{q.requirements.Model, q.requirements.Adapter}, version: q.requirements.Version}
	a := q.g.modelRequests.do(q.ctx, q.g, k, q.requirements.Service)
	return q.endpointByID(a.endpoint, tried), a.readyIn
}

// endpointByID returns the endpoint of the service with the id, or nil if there
// is none, it was tried before or it is leaving.
func (q *request) endpointByID(id string, tried map[string]bool) *fleet.Endpoint {
	if id == "" || tried[id] {
		return nil
	}
	for _, e := range q.g.view.Load().Service(q.requirements.Service) {
		if e.ID == id && !q.g.loads.Closed(e, q.g.clock()) && q.runsRequiredVersion(e) {
			return e
		}
	}
	return nil
}

// runsRequiredVersion reports whether the endpoint surely runs the software that the request
// requires.
func (q *request) runsRequiredVersion(e *fleet.Endpoint) bool {
	v := q.requirements.Version
	return v == "" || q.g.loads.VersionOf(e, q.g.clock()) == v
}
