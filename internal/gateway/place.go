package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// spreadUse is the use of the emptiest endpoint that holds an adapter from
	// which one more is asked to hold it.
	spreadUse = 0.6
	// reserveTimeout bounds the wait for a reservation, and reserveKeep is how
	// long the place is kept for the request, which follows at once.
	reserveTimeout = 300 * time.Millisecond
	reserveKeep    = 500 * time.Millisecond
	// placePoll is the time between two looks for a free place.
	placePoll = 50 * time.Millisecond
	// fullRetry and its spread say when to come back to a full service.
	fullRetry       = 400 * time.Millisecond
	fullRetrySpread = 600 * time.Millisecond
	// askInterval is the time between two questions to control for one request.
	askInterval = 400 * time.Millisecond
	// modelRetry is when to come back for a model of which it is not known when
	// it will be ready.
	modelRetry = 1500 * time.Millisecond
	// absentRetry is when to come back to a service without endpoints.
	absentRetry = 400 * time.Millisecond
	// wantTimeout bounds one question to control for a model or adapter.
	wantTimeout = 800 * time.Millisecond
)

// search is the way of one request to an endpoint.
type search struct {
	tried map[string]bool
	began time.Duration
	// limit is how long the caller would have waited at its beginning.
	limit time.Duration
	// askAt is when control may be asked for the model again, and readyAt when
	// the model is expected to be ready; zero where that is not known.
	askAt   time.Duration
	readyAt time.Duration
	// silent counts the endpoints that did not answer when asked for a place.
	silent int
}

// maxSilent bounds the endpoints that are asked for a place in vain.
const maxSilent = 3

// place returns the endpoint that the request goes to. It waits for a place, or
// for a model that is being loaded, where that comes in time, and refuses at
// once what cannot be served.
func (q *request) place(tried map[string]bool) (*fleet.Endpoint, error) {
	g := q.g
	now := g.clock()
	s := search{tried: tried, began: now, limit: q.patience(), askAt: now}
	q.countDemand(len(tried))
	q.reservation = ""
	for first := true; ; first = false {
		changed := g.changed.wait()
		now = g.clock()
		waited := now - s.began
		if first {
			waited = 0
		}
		c := g.loads.Choose(g.view.Load(), q.need, tried, now)
		var e *fleet.Endpoint
		var err error
		switch {
		case c.Endpoint != nil:
			e, err = q.placeAt(c, waited, &s)
		case q.need.Model == "":
			err = fail.New(fail.Unavailable, "the service has no endpoint").WithRetryAfter(absentRetry)
		default:
			e, err = q.placeAbsent(changed, &s)
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
func (q *request) patience() time.Duration {
	if q.route.Patience == 0 {
		return q.timeLeft()
	}
	return min(q.timeLeft(), q.route.Patience)
}

// placeAt takes the place, or waits a little for one; it returns neither
// endpoint nor failure where it is to look again.
func (q *request) placeAt(c fleet.Choice, waited time.Duration, s *search) (*fleet.Endpoint, error) {
	if q.need.Adapter != "" && c.Use > spreadUse {
		if e := q.spread(c, s); e != nil {
			return e, nil
		}
	}
	turn := fleet.Place(c.Use, waited, s.limit)
	if turn == fleet.Wait && waited == 0 && !q.g.waits.Worth(q.need.Model, q.g.clock()) {
		turn = fleet.Refuse
	}
	switch turn {
	case fleet.Go:
		e, err := q.reserve(c, s)
		if e != nil && waited > 0 {
			q.g.waits.Note(q.need.Model, true, q.g.clock())
		}
		return e, err
	case fleet.Wait:
		wait.For(q.ctx, placePoll)
		return nil, nil
	}
	if waited > 0 {
		q.g.waits.Note(q.need.Model, false, q.g.clock())
	}
	return nil, fail.New(fail.Overloaded, "every endpoint is full").WithRetryAfter(q.fullRetry())
}

// reserve takes a place at the endpoint where others may take the last ones
// meanwhile. It returns neither endpoint nor failure where there is none, or where
// the endpoint does not answer: then another look is due, for neither has run the
// request.
func (q *request) reserve(c fleet.Choice, s *search) (*fleet.Endpoint, error) {
	g := q.g
	q.reservation = ""
	if !c.Contended || q.keepPlace == 0 || g.adapter.Reserver == nil {
		return c.Endpoint, nil
	}
	ctx, cancel := context.WithTimeout(q.ctx, reserveTimeout)
	defer cancel()
	id, err := g.adapter.Reserver.Reserve(ctx, c.Endpoint.Address, c.Endpoint.ID, q.need.Tokens, min(reserveKeep, q.keepPlace))
	fields := logrus.Fields{"request": q.facts.ID, "endpoint": c.Endpoint.ID, "use": c.Use}
	switch {
	case err != nil:
		reservations.count("failed")
		g.loads.Note(c.Endpoint.ID, fleet.Unreachable, g.clock())
		g.log.WithError(err).WithFields(fields).Info("place not reserved")
		if s.silent++; s.silent >= maxSilent {
			return nil, fail.Wrap(err, fail.Unavailable, "no endpoint answers").WithRetryAfter(absentRetry)
		}
		return nil, nil
	case id == "":
		reservations.count("full")
		g.loads.Refused(c.Endpoint.ID)
		g.log.WithFields(fields).Debug("endpoint has no place")
		return nil, nil
	}
	reservations.count("taken")
	q.reservation = id
	return c.Endpoint, nil
}

// spread asks control to load the adapter on one more engine, for those that
// hold it are nearly full. It waits for that only where they are full, and
// returns the engine or nil.
func (q *request) spread(c fleet.Choice, s *search) *fleet.Endpoint {
	k := wantKey{demandKey{q.need.Model, q.need.Adapter}, true}
	if c.Use <= 1 {
		go q.g.wants.ask(context.Background(), q.g, k, q.need.Service)
		return nil
	}
	a := q.g.wants.ask(q.ctx, q.g, k, q.need.Service)
	e := q.endpoint(a.endpoint, s.tried)
	if e != nil && e.Serves(q.need.Model, q.need.Adapter) {
		// It was among those that are full.
		return nil
	}
	return e
}

// fullRetry returns when to come back to a service whose endpoints are full:
// once another replica of the model is ready, where one is being loaded.
func (q *request) fullRetry() time.Duration {
	spread := time.Duration(q.g.draw() * float64(fullRetrySpread))
	if q.need.Model == "" {
		return fullRetry + spread
	}
	a := q.g.wants.ask(q.ctx, q.g, wantKey{demandKey: demandKey{q.need.Model, ""}}, q.need.Service)
	return max(fullRetry, a.readyIn) + spread
}

// placeAbsent asks control for the model or adapter, which no endpoint holds,
// and waits for it where it comes in time.
func (q *request) placeAbsent(changed <-chan struct{}, s *search) (*fleet.Endpoint, error) {
	g := q.g
	if g.clock() >= s.askAt {
		s.askAt = g.clock() + askInterval
		e, readyIn := q.want(s.tried)
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
		readyIn = max(s.readyAt-g.clock(), askInterval/2)
	}
	if fleet.Model(readyIn, g.clock()-s.began, s.limit) == fleet.Wait {
		waitFor(q.ctx, changed, max(s.askAt-g.clock(), 0))
		return nil, nil
	}
	after := modelRetry
	if readyIn > 0 {
		after = readyIn + time.Duration(g.draw()*float64(fullRetrySpread))
	}
	return nil, fail.New(fail.NoReplica, "no engine holds the model yet").WithRetryAfter(after)
}

// countDemand tells control, with the next exchange, how long the request is
// expected to occupy a place.
func (q *request) countDemand(sends int) {
	if q.need.Model != "" && sends == 0 {
		q.g.demand.add(q.need.Model, q.need.Adapter, q.g.paces.Expect(q.need.Model, q.facts.expectedAnswer()))
	}
}

// waitFor waits for a change and returns false where the time or ctx ended first.
func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
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
func (q *request) want(tried map[string]bool) (*fleet.Endpoint, time.Duration) {
	k := wantKey{demandKey: demandKey{q.need.Model, q.need.Adapter}}
	a := q.g.wants.ask(q.ctx, q.g, k, q.need.Service)
	return q.endpoint(a.endpoint, tried), a.readyIn
}

// endpoint returns the endpoint of the id where a request may go there, or nil.
func (q *request) endpoint(id string, tried map[string]bool) *fleet.Endpoint {
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

// wants joins equal questions to control that are under way.
type wants struct {
	mu    sync.Mutex
	calls map[wantKey]*wantCall
	// answered are the last answers; they hold for answerKeeps.
	answered map[wantKey]wantAnswer
}

// answerKeeps is how long the answer to a question is given again without asking
// control: as long as a request waits before it asks again.
const answerKeeps = askInterval / 2

// maxAnswers bounds the answers kept; callers choose the names.
const maxAnswers = 4096

type wantCall struct {
	done   chan struct{}
	answer wantAnswer
}

// wantAnswer is what control says: the engine that holds what was asked for, or
// when one is expected to.
type wantAnswer struct {
	endpoint string
	readyIn  time.Duration
	// at is when it was given.
	at time.Duration
}

func (w *wants) ask(ctx context.Context, g *Gateway, k wantKey, service string) wantAnswer {
	w.mu.Lock()
	if a, ok := w.answered[k]; ok && g.clock()-a.at < answerKeeps {
		w.mu.Unlock()
		return a
	}
	c := w.calls[k]
	if c == nil {
		c = &wantCall{done: make(chan struct{})}
		if w.calls == nil {
			w.calls = map[wantKey]*wantCall{}
		}
		w.calls[k] = c
		go w.carryOut(g, k, service, c)
	}
	w.mu.Unlock()
	select {
	case <-c.done:
		return c.answer
	case <-ctx.Done():
		return wantAnswer{}
	}
}

func (w *wants) carryOut(g *Gateway, k wantKey, service string, c *wantCall) {
	ctx, cancel := context.WithTimeout(context.Background(), wantTimeout)
	defer cancel()
	err := g.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		r, err := conn.Fleet.Want(ctx, connect.NewRequest(&wire.WantRequest{Service: service, Model: k.model, Adapter: k.adapter, More: k.more}))
		if err == nil {
			c.answer = wantAnswer{endpoint: r.Msg.Endpoint, readyIn: time.Duration(r.Msg.ReadyInMs) * time.Millisecond}
		}
		return err
	})
	if err != nil {
		g.log.WithError(err).WithField("model", k.model).WithField("adapter", k.adapter).Warn("control did not answer a request for a model")
	}
	c.answer.at = g.clock()
	w.mu.Lock()
	if w.answered == nil || len(w.answered) >= maxAnswers {
		w.answered = map[wantKey]wantAnswer{}
	}
	w.answered[k] = c.answer
	delete(w.calls, k)
	w.mu.Unlock()
	close(c.done)
}
