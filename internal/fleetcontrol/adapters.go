package fleetcontrol

import (
	"context"
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

// ensureAdapter returns the engine that holds the adapter, loading it where no
// engine does, or "" where that is not possible now.
func (l *leadState) ensureAdapter(ctx context.Context, service, model, adapter string) string {
	l.mu.Lock()
	key := service + "/" + model + "/" + adapter
	job := l.jobs[key]
	if job == nil {
		if e := l.holderOf(service, model, adapter); e != nil {
			l.mu.Unlock()
			return e.listed.ID
		}
		job = &adapterJob{done: make(chan struct{})}
		l.jobs[key] = job
		go l.runAdapterJob(key, job, service, model, adapter)
	}
	l.mu.Unlock()
	select {
	case <-job.done:
		return job.endpoint
	case <-ctx.Done():
		return ""
	}
}

func (l *leadState) runAdapterJob(key string, job *adapterJob, service, model, adapter string) {
	tried := map[string]bool{}
	for range adapterTries {
		e, d := l.chooseForAdapter(service, model, adapter, tried)
		if e == nil {
			break
		}
		tried[e.listed.ID] = true
		if e.loadAdapter(l.ctx, d, model, adapter) {
			job.endpoint = e.listed.ID
			break
		}
	}
	l.mu.Lock()
	delete(l.jobs, key)
	if e := l.engines[job.endpoint]; e != nil {
		l.publishEngine(e)
	}
	l.mu.Unlock()
	close(job.done)
}

// holderOf returns an engine that holds the adapter. The caller holds the lock.
func (l *leadState) holderOf(service, model, adapter string) *engineState {
	for _, e := range l.enginesOf(service) {
		if !e.listed.Leaving && !e.leaving[model] && e.held[model][adapter] {
			return e
		}
	}
	return nil
}

// chooseForAdapter returns the engine that is to hold the adapter: the highest
// rendezvous hash among those that hold the model and have a place or an
// adapter that nobody asked for lately.
func (l *leadState) chooseForAdapter(service, model, adapter string, tried map[string]bool) (*engineState, *document.Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doc == nil {
		return nil, nil
	}
	s := l.doc.Service(service)
	if s == nil || s.Engine == nil {
		return nil, nil
	}
	var best *engineState
	var highest uint64
	for _, e := range l.enginesOf(service) {
		if tried[e.listed.ID] || l.blocked(e.listed.ID, l.s.clock()) || e.listed.Leaving || e.ordering || e.elsewhere || e.held[model] == nil {
			continue
		}
		full := e.adapterCount() >= s.Engine.AdapterPlaces
		if _, _, found := e.idleAdapter(); full && !found {
			continue
		}
		h := xxhash.Sum64String(e.listed.ID + "|" + model + "|" + adapter)
		if full {
			// An engine with a free place is preferred.
			h >>= 1
		} else {
			h |= 1 << 63
		}
		if best == nil || h > highest {
			best, highest = e, h
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
	case OrderAccepted, OrderHolds:
		if m := d.Model(model); m != nil {
			wait.For(ctx, adapterBase+time.Duration(m.AdapterMB)*adapterPerMB)
		}
	}
	e.l.mu.Lock()
	defer e.l.mu.Unlock()
	delete(e.arriving, name)
	if answer != OrderAccepted && answer != OrderHolds || e.held[model] == nil {
		return false
	}
	e.held[model][adapter] = true
	return true
}

// orderAdapter takes a place for the adapter and gives the order.
func (e *engineState) orderAdapter(ctx context.Context, d *document.Engine, name adapterName) OrderAnswer {
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
	if answer == OrderHolds || answer == OrderAccepted {
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
