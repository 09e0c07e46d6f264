package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/wire"
)

const (
	// maxUse is the use of the emptiest endpoint, 1 where it is full, beyond
	// which a request is refused rather than queued at it.
	maxUse = 1.0
	// fullRetry and its spread say when to come back to a full service.
	fullRetry       = 400 * time.Millisecond
	fullRetrySpread = 600 * time.Millisecond
	// modelWait bounds the wait for a model that no engine holds yet; it is at
	// most modelShare of the time left.
	modelWait  = 1700 * time.Millisecond
	modelShare = 0.4
	// askInterval is the time between two questions to control for one request.
	askInterval = 400 * time.Millisecond
	// modelRetry is when to come back for a model that was not loaded in time.
	modelRetry = 1500 * time.Millisecond
	// absentRetry is when to come back to a service without endpoints.
	absentRetry = 400 * time.Millisecond
	// wantTimeout bounds one question to control for a model or adapter.
	wantTimeout = 800 * time.Millisecond
)

// place returns the endpoint that the request goes to. It waits for a model
// that is being loaded, and refuses at once what cannot be served.
func (q *request) place(tried map[string]bool) (*fleet.Endpoint, error) {
	g := q.g
	giveUp := g.clock() + min(modelWait, time.Duration(float64(q.timeLeft())*modelShare))
	q.countDemand(len(tried))
	askAt := g.clock()
	for {
		changed := g.changed.wait()
		v := g.view.Load()
		c := g.loads.Choose(v, q.need, tried, g.clock())
		if c.Endpoint != nil {
			if c.Use > maxUse {
				return nil, fail.New(fail.Overloaded, "every endpoint is full").WithRetryAfter(fullRetry + time.Duration(g.draw()*float64(fullRetrySpread)))
			}
			return c.Endpoint, nil
		}
		if q.need.Model == "" {
			return nil, fail.New(fail.Unavailable, "the service has no endpoint").WithRetryAfter(absentRetry)
		}
		if g.clock() >= askAt {
			askAt = g.clock() + askInterval
			if e := q.want(tried); e != nil {
				return e, nil
			}
			continue
		}
		waitFor(q.ctx, changed, min(giveUp, askAt)-g.clock())
		if q.ctx.Err() != nil || g.clock() >= giveUp {
			return nil, fail.New(fail.NoReplica, "no engine holds the model yet").WithRetryAfter(modelRetry)
		}
	}
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

// want asks control for the model and adapter, and returns the engine that
// holds them now, or nil.
func (q *request) want(tried map[string]bool) *fleet.Endpoint {
	id := q.g.wants.ask(q.ctx, q.g, demandKey{q.need.Model, q.need.Adapter}, q.need.Service)
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
	calls map[demandKey]*wantCall
}

type wantCall struct {
	done     chan struct{}
	endpoint string
}

func (w *wants) ask(ctx context.Context, g *Gateway, k demandKey, service string) string {
	w.mu.Lock()
	c := w.calls[k]
	if c == nil {
		c = &wantCall{done: make(chan struct{})}
		if w.calls == nil {
			w.calls = map[demandKey]*wantCall{}
		}
		w.calls[k] = c
		go w.carryOut(g, k, service, c)
	}
	w.mu.Unlock()
	select {
	case <-c.done:
		return c.endpoint
	case <-ctx.Done():
		return ""
	}
}

func (w *wants) carryOut(g *Gateway, k demandKey, service string, c *wantCall) {
	ctx, cancel := context.WithTimeout(context.Background(), wantTimeout)
	defer cancel()
	err := g.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		r, err := conn.Fleet.Want(ctx, connect.NewRequest(&wire.WantRequest{Service: service, Model: k.model, Adapter: k.adapter}))
		if err == nil {
			c.endpoint = r.Msg.Endpoint
		}
		return err
	})
	if err != nil {
		g.log.WithError(err).WithField("model", k.model).WithField("adapter", k.adapter).Warn("control did not answer a request for a model")
	}
	w.mu.Lock()
	delete(w.calls, k)
	w.mu.Unlock()
	close(c.done)
}
