package fleetcontrol

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/wait"
)

const (
	// adapterBase and adapterPerMB estimate how long an adapter is on its way.
	adapterBase  = 8 * time.Millisecond
	adapterPerMB = 150 * time.Microsecond
	// adapterIdle is how long nobody must have asked for an adapter before it
	// may make room for another one.
	adapterIdle = 1200 * time.Millisecond
	// adapterTries bounds the orders given for one adapter.
	adapterTries = 3
)

// adapterJob is the loading of one adapter that several callers may wait for.
type adapterJob struct {
	done     chan struct{}
	endpoint string
}

// wantedAdapter names an adapter of a service's model that gateways ask for.
type wantedAdapter struct {
	service string
	adapterName
	// more is set where the engines that hold it are nearly full.
	more bool
}

// ensureAdapter returns the engine that holds the adapter, loading it where no
// engine does or one more is wanted, or "" where that is not possible now.
func (l *leadState) ensureAdapter(ctx context.Context, w wantedAdapter) string {
	l.mu.Lock()
	job := l.jobs[w]
	if job == nil {
		holders := l.holdersOf(w)
		if len(holders) > 0 && !w.more {
			l.mu.Unlock()
			return holders[0].listed.ID
		}
		job = &adapterJob{done: make(chan struct{})}
		l.jobs[w] = job
		go l.runAdapterJob(w, job, holders)
	}
	l.mu.Unlock()
	select {
	case <-job.done:
		return job.endpoint
	case <-ctx.Done():
		return ""
	}
}

// runAdapterJob loads the adapter on an engine other than those that hold it.
func (l *leadState) runAdapterJob(w wantedAdapter, job *adapterJob, holders []*engineState) {
	tried := map[string]bool{}
	for _, e := range holders {
		tried[e.listed.ID] = true
	}
	for range adapterTries {
		e, d := l.chooseForAdapter(w, tried)
		if e == nil {
			break
		}
		tried[e.listed.ID] = true
		if e.loadAdapter(l.ctx, d, w.model, w.adapter) {
			job.endpoint = e.listed.ID
			break
		}
	}
	l.mu.Lock()
	delete(l.jobs, w)
	if e := l.engines[job.endpoint]; e != nil {
		l.publishEngine(e)
	}
	l.mu.Unlock()
	close(job.done)
}

// holdersOf returns the engines that hold the adapter. The caller holds the lock.
func (l *leadState) holdersOf(w wantedAdapter) []*engineState {
	var out []*engineState
	for _, e := range l.enginesOf(w.service) {
		if !e.listed.Leaving && !e.leaving[w.model] && e.held[w.model][w.adapter] {
			out = append(out, e)
		}
	}
	return out
}

// fullPlacesCost is what it costs, in shares of an engine's places for requests,
// that another adapter must go first, and hashSpread how far a hash tells apart
// engines that are in use alike, so that an adapter comes back to where it was.
const (
	fullPlacesCost = 0.5
	hashSpread     = 0.2
	// moreUse is the use up to which an engine takes over part of the requests
	// for an adapter.
	moreUse = 0.8
)

// chooseForAdapter returns the engine that is to hold the adapter: the one least
// in use among those that hold the model and have a place for it, or an adapter
// that nobody asked for lately.
func (l *leadState) chooseForAdapter(w wantedAdapter, tried map[string]bool) (*engineState, *document.Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doc == nil {
		return nil, nil
	}
	s := l.doc.Service(w.service)
	if s == nil || s.Engine == nil {
		return nil, nil
	}
	var best *engineState
	least := 0.0
	for _, e := range l.enginesOf(w.service) {
		if tried[e.listed.ID] || l.blocked(e.listed.ID, l.s.clock()) || e.listed.Leaving || e.ordering || e.foreignOrder || e.held[w.model] == nil {
			continue
		}
		cost := float64(l.loads[e.listed.ID].GetRunning()) / float64(max(s.Engine.Slots, 1))
		if w.more && cost > moreUse {
			continue
		}
		if e.adapterCount() >= s.Engine.AdapterPlaces {
			if _, _, found := e.idleAdapter(); !found {
				continue
			}
			cost += fullPlacesCost
		}
		h := xxhash.Sum64String(e.listed.ID + "|" + w.model + "|" + w.adapter)
		cost += hashSpread * float64(h) / math.MaxUint64
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best, s.Engine
}

// idleAdapter returns the adapter that was asked for least recently, where
// that is long enough ago. The lead's lock is held.
func (e *engineState) idleAdapter() (model, adapter string, found bool) {
	oldest := e.l.s.clock() - adapterIdle
	for m, adapters := range e.held {
		for a := range adapters {
			at, asked := e.l.demand.AdapterAsked(m, a)
			if !asked {
				at = 0
			}
			if at < oldest {
				model, adapter, found, oldest = m, a, true, at
			}
		}
	}
	return model, adapter, found
}

// loadAdapter makes room where needed, loads the adapter and waits until it is
// ready.
func (e *engineState) loadAdapter(ctx context.Context, d *document.Engine, model, adapter string) bool {
	name := adapterName{model, adapter}
	answer := e.orderAdapter(ctx, d, name)
	e.l.s.log.WithFields(logrus.Fields{
		"endpoint": e.listed.ID, "model": model, "adapter": adapter, "answer": answer.String(), "term": e.l.term,
	}).Info("adapter order given")
	switch answer {
	case OrderAccepted, OrderSatisfied:
		if m := d.Model(model); m != nil {
			wait.For(ctx, adapterBase+time.Duration(m.AdapterMB)*adapterPerMB)
		}
	}
	e.l.mu.Lock()
	defer e.l.mu.Unlock()
	delete(e.arriving, name)
	if answer != OrderAccepted && answer != OrderSatisfied || e.held[model] == nil {
		return false
	}
	e.held[model][adapter] = true
	return true
}

// orderAdapter takes a place for the adapter and gives the order.
func (e *engineState) orderAdapter(ctx context.Context, d *document.Engine, name adapterName) OrderResult {
	e.adapterTurn.Lock()
	defer e.adapterTurn.Unlock()
	if !e.knowSequence(ctx) || !e.makePlace(ctx, d) {
		return OrderNotSent
	}
	e.l.mu.Lock()
	if e.arriving == nil {
		e.arriving = map[adapterName]bool{}
	}
	e.arriving[name] = true
	e.l.mu.Unlock()
	return e.order(ctx, Order{Load: true, Model: name.model, Adapter: name.adapter})
}

// makePlace unloads the least recently used adapter of a full engine.
func (e *engineState) makePlace(ctx context.Context, d *document.Engine) bool {
	e.l.mu.Lock()
	full := e.adapterCount() >= d.AdapterPlaces
	model, adapter, found := e.idleAdapter()
	e.l.mu.Unlock()
	if !full {
		return true
	}
	if !found {
		return false
	}
	// Gateways stop sending requests for it before it goes.
	e.setAdapter(model, adapter, false)
	answer := e.order(ctx, Order{Model: model, Adapter: adapter})
	if answer == OrderSatisfied || answer == OrderAccepted {
		return true
	}
	e.setAdapter(model, adapter, true)
	e.l.s.log.WithFields(logrus.Fields{
		"endpoint": e.listed.ID, "model": model, "adapter": adapter, "answer": answer.String(),
	}).Info("adapter not unloaded")
	return false
}

// setAdapter notes whether the engine holds the adapter.
func (e *engineState) setAdapter(model, adapter string, holds bool) {
	e.l.mu.Lock()
	defer e.l.mu.Unlock()
	switch {
	case e.held[model] == nil:
	case holds:
		e.held[model][adapter] = true
	default:
		delete(e.held[model], adapter)
	}
	e.l.publishEngine(e)
}
