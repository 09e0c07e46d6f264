package gateway

import (
	"context"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/wait"
)

const (
	// spreadUse is the use of the emptiest endpoint that holds an adapter from
	// which one more is asked to hold it.
	spreadUtilization = 0.6
	// placePoll is the time between two looks for a free place.
	slotPollInterval = 50 * time.Millisecond
	// fullRetry and its spread say when to come back to a full service.
	overloadRetryAfter  = 400 * time.Millisecond
	overloadRetryJitter = 600 * time.Millisecond
	// askInterval is the time between two questions to control for one request.
	modelRequestInterval = 400 * time.Millisecond
	// modelRetry is when to come back for a model of which it is not known when
	// it will be ready.
	modelRetryAfter = 1500 * time.Millisecond
	// absentRetry is when to come back to a service without endpoints.
	noEndpointRetryAfter = 400 * time.Millisecond
)

// search is the way of one request to an endpoint.
type search struct {
	tried     map[string]bool
	startedAt time.Duration
	// limit is how long the caller would have waited at its beginning.
	limit time.Duration
	// askAt is when control may be asked for the model again, and readyAt when
	// the model is expected to be ready; zero where that is not known.
	nextModelRequestAt time.Duration
	readyAt            time.Duration
	// silent counts the endpoints that did not answer when asked for a place.
	unresponsive int
}

// maxSilent bounds the endpoints that are asked for a place in vain.
const maxUnresponsive = 3

// place returns the endpoint that the request goes to. It waits for a place, or
// for a model that is being loaded, where that comes in time, and refuses at
// once what cannot be served.
func (q *request) selectEndpoint(tried map[string]bool) (*fleet.Endpoint, error) {
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
		c := g.loads.Choose(g.view.Load(), q.need, tried, now)
		var e *fleet.Endpoint
		var err error
		switch {
		case c.Endpoint != nil:
			e, err = q.acquireSlot(c, waited, &s)
		case q.need.Model == "":
			err = fail.New(fail.Unavailable, "the service has no endpoint").WithRetryAfter(noEndpointRetryAfter)
		default:
			e, err = q.awaitModel(changed, &s)
		}
		if e != nil || err != nil {
			return e, err
		}
		if q.ctx.Err() != nil {
			return nil, fail.New(fail.Canceled, "the caller has left or its time is over")
		}
	}
}

// patience returns how long the caller will wait for something to come.
func (q *request) maxWait() time.Duration {
	if q.route.Patience == 0 {
		return q.timeLeft()
	}
	return min(q.timeLeft(), q.route.Patience)
}

// placeAt takes the place, or waits a little for one; it returns neither
// endpoint nor failure where it is to look again.
func (q *request) acquireSlot(c fleet.Choice, waited time.Duration, s *search) (*fleet.Endpoint, error) {
	if q.need.Adapter != "" && c.Use > spreadUtilization {
		if e := q.spreadAdapter(c, s); e != nil {
			return e, nil
		}
	}
	decision := fleet.Place(c.Use, waited, s.limit)
	if decision == fleet.Wait && waited == 0 && !q.g.waits.Worth(q.need.Model, q.g.clock()) {
		decision = fleet.Refuse
	}
	switch decision {
	case fleet.Go:
		e, err := q.reserve(c, s)
		if e != nil && waited > 0 {
			q.g.waits.Note(q.need.Model, true, q.g.clock())
		}
		return e, err
	case fleet.Wait:
		wait.For(q.ctx, slotPollInterval)
		return nil, nil
	}
	if waited > 0 {
		q.g.waits.Note(q.need.Model, false, q.g.clock())
	}
	return nil, fail.New(fail.Overloaded, "every endpoint is full").WithRetryAfter(q.overloadRetryDelay())
}

// spread asks control to load the adapter on one more engine, for those that
// hold it are nearly full. It waits for that only where they are full, and
// returns the engine or nil.
func (q *request) spreadAdapter(c fleet.Choice, s *search) *fleet.Endpoint {
	k := modelRequestKey{modelKey{q.need.Model, q.need.Adapter}, true}
	if c.Use <= 1 {
		go q.g.modelRequests.do(context.Background(), q.g, k, q.need.Service)
		return nil
	}
	a := q.g.modelRequests.do(q.ctx, q.g, k, q.need.Service)
	e := q.endpointByID(a.endpoint, s.tried)
	if e != nil && e.Serves(q.need.Model, q.need.Adapter) {
		// It was among those that are full.
		return nil
	}
	return e
}

// fullRetry returns when to come back to a service whose endpoints are full:
// once another replica of the model is ready, where one is being loaded.
func (q *request) overloadRetryDelay() time.Duration {
	jitter := time.Duration(q.g.randFloat() * float64(overloadRetryJitter))
	if q.need.Model == "" {
		return overloadRetryAfter + jitter
	}
	a := q.g.modelRequests.do(q.ctx, q.g, modelRequestKey{modelKey: modelKey{q.need.Model, ""}}, q.need.Service)
	return max(overloadRetryAfter, a.readyIn) + jitter
}

// placeAbsent asks control for the model or adapter, which no endpoint holds,
// and waits for it where it comes in time.
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
	if fleet.Model(readyIn, g.clock()-s.startedAt, s.limit) == fleet.Wait {
		waitForChange(q.ctx, changed, max(s.nextModelRequestAt-g.clock(), 0))
		return nil, nil
	}
	retryAfter := modelRetryAfter
	if readyIn > 0 {
		retryAfter = readyIn + time.Duration(g.randFloat()*float64(overloadRetryJitter))
	}
	return nil, fail.New(fail.NoReplica, "no engine holds the model yet").WithRetryAfter(retryAfter)
}

// countDemand tells control, with the next exchange, how long the request is
// expected to occupy a place.
func (q *request) recordDemand(sends int) {
	if q.need.Model != "" && sends == 0 {
		q.g.demand.add(q.need.Model, q.need.Adapter, q.g.serviceTimes.Expect(q.need.Model, q.info.expectedOutput()))
	}
}

// waitFor waits for a change and returns false where the time or ctx ended first.
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

// want asks control for the model and adapter. It returns the engine that holds
// them now, or nil and when one is expected to, zero where that is not known.
func (q *request) requestModel(tried map[string]bool) (*fleet.Endpoint, time.Duration) {
	k := modelRequestKey{modelKey: modelKey{q.need.Model, q.need.Adapter}}
	a := q.g.modelRequests.do(q.ctx, q.g, k, q.need.Service)
	return q.endpointByID(a.endpoint, tried), a.readyIn
}

// endpoint returns the endpoint of the id where a request may go there, or nil.
func (q *request) endpointByID(id string, tried map[string]bool) *fleet.Endpoint {
	if id == "" || tried[id] {
		return nil
	}
	for _, e := range q.g.view.Load().Service(q.need.Service) {
		if e.ID == id && !e.Leaving {
			return e
		}
	}
	return nil
}
