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
	// adapterLoadBase and adapterLoadPerMB estimate how long an engine takes to
	// load an adapter.
	adapterLoadBase  = 8 * time.Millisecond
	adapterLoadPerMB = 150 * time.Microsecond
	// minAdapterIdle is the time since the last request for an adapter after
	// which it may be evicted for another one.
	minAdapterIdle = 1200 * time.Millisecond
	// maxAdapterAttempts bounds the engines that are tried for one adapter.
	maxAdapterAttempts = 3
)

// adapterJob is the load of one adapter. Several goroutines may wait for it.
type adapterJob struct {
	done     chan struct{}
	endpoint string
}

// adapterRequest names an adapter of a service's model that a gateway requests.
type adapterRequest struct {
	service string
	adapterName
	// additional is set if the engines that hold the adapter are nearly full, so
	// that one more engine has to load it.
	additional bool
	// version is that of the software that the engine must run; empty for any.
	version string
}

// ensureAdapter returns the ID of an engine that holds the adapter. It loads the
// adapter if no engine holds it or if an additional engine is requested, and
// returns "" if that is not possible now.
func (l *leaderState) ensureAdapter(ctx context.Context, req adapterRequest) string {
	l.mu.Lock()
	l.demand.RequestAdapter(req.model, req.adapter, l.s.clock())
	job := l.jobs[req]
	if job == nil {
		holders := l.holdersOf(req)
		if len(holders) > 0 && !req.additional {
			l.mu.Unlock()
			return holders[0].listed.ID
		}
		job = &adapterJob{done: make(chan struct{})}
		l.jobs[req] = job
		go l.runAdapterJob(req, job, holders)
	}
	l.mu.Unlock()
	select {
	case <-job.done:
		return job.endpoint
	case <-ctx.Done():
		return ""
	}
}

// runAdapterJob loads the adapter on an engine that does not hold it yet.
func (l *leaderState) runAdapterJob(req adapterRequest, job *adapterJob, holders []*engineState) {
	tried := map[string]bool{}
	for _, e := range holders {
		tried[e.listing().ID] = true
	}
	for range maxAdapterAttempts {
		e, d := l.selectAdapterEngine(req, tried)
		if e == nil {
			break
		}
		id := e.listing().ID
		tried[id] = true
		if e.loadAdapter(l.ctx, d, req.model, req.adapter) {
			job.endpoint = id
			break
		}
	}
	l.mu.Lock()
	delete(l.jobs, req)
	if e := l.engines[job.endpoint]; e != nil {
		l.publishEngine(e)
	}
	l.mu.Unlock()
	close(job.done)
}

// holdersOf returns the engines that hold the adapter. l.mu must be held.
func (l *leaderState) holdersOf(req adapterRequest) []*engineState {
	var out []*engineState
	for _, e := range l.enginesOf(req.service) {
		if !e.leaving() && e.runs(req.version) && !e.unloading[req.model] && e.held[req.model][req.adapter] && !e.unloadingAdapters[req.adapterName] {
			out = append(out, e)
		}
	}
	return out
}

const (
	// evictionCost is the cost, as a share of an engine's request slots, of
	// having to evict another adapter first.
	evictionCost = 0.5
	// hashCostSpread is the range of a hash that orders engines of similar
	// utilization, so that an adapter returns to the engine that held it before.
	hashCostSpread = 0.2
	// additionalMaxUtilization is the utilization up to which an engine may become
	// an additional holder of an adapter.
	additionalMaxUtilization = 0.8
)

// selectAdapterEngine returns the engine that is to load the adapter: the one
// with the lowest utilization among those that hold the model and have a free
// adapter slot or an adapter that may be evicted.
func (l *leaderState) selectAdapterEngine(req adapterRequest, tried map[string]bool) (*engineState, *document.Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doc == nil {
		return nil, nil
	}
	s := l.doc.Service(req.service)
	if s == nil || s.Engine == nil {
		return nil, nil
	}
	var best *engineState
	lowest := 0.0
	now := l.s.clock()
	for _, e := range l.enginesOf(req.service) {
		if tried[e.listed.ID] || l.blocked(e.listed, now) || now < e.unreachedUntil || e.leaving() {
			continue
		}
		if e.stepInFlight || e.foreignOrder || e.held[req.model] == nil || !e.runs(req.version) {
			continue
		}
		cost := float64(l.loads[e.listed.ID].GetRunning()) / float64(max(s.Engine.Slots, 1))
		if req.additional && cost > additionalMaxUtilization {
			continue
		}
		if e.adapterCount() >= s.Engine.AdapterSlots {
			if _, _, found := e.evictionCandidate(); !found {
				continue
			}
			cost += evictionCost
		}
		h := xxhash.Sum64String(e.listed.ID + "|" + req.model + "|" + req.adapter)
		cost += hashCostSpread * float64(h) / math.MaxUint64
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best, s.Engine
}

// evictionCandidate returns the least recently requested adapter, if its last
// request is at least minAdapterIdle ago. Adapters of models that only patient requests ask
// for go first: those requests can wait until the adapter returns. e.leader.mu must be held.
func (e *engineState) evictionCandidate() (model, adapter string, found bool) {
	now := e.leader.s.clock()
	var best adapterAge
	for m, adapters := range e.held {
		patient := e.leader.patient(m, now)
		for a := range adapters {
			at, requested := e.leader.demand.AdapterLastRequested(m, a)
			if !requested {
				at = 0
			}
			age := adapterAge{patient, at}
			if at >= now-minAdapterIdle || e.unloadingAdapters[adapterName{m, a}] || found && !age.before(best) {
				continue
			}
			model, adapter, found, best = m, a, true, age
		}
	}
	return model, adapter, found
}

// adapterAge orders the adapters of an engine for eviction.
type adapterAge struct {
	// patient is set if only patient requests ask for the model.
	patient bool
	// requestedAt is when the adapter was last requested.
	requestedAt time.Duration
}

// before reports whether an adapter is evicted before the other one.
func (a adapterAge) before(b adapterAge) bool {
	if a.patient != b.patient {
		return a.patient
	}
	return a.requestedAt < b.requestedAt
}

// loadAdapter evicts another adapter if necessary, orders the load and waits
// for the time that it is expected to take.
func (e *engineState) loadAdapter(ctx context.Context, d *document.Engine, model, adapter string) bool {
	name := adapterName{model, adapter}
	result := e.orderAdapter(ctx, d, name)
	x := e.listing()
	e.leader.s.log.WithFields(logrus.Fields{
		"endpoint": x.ID, "address": x.Address, "model": model, "adapter": adapter, "answer": result.String(), "term": e.leader.term,
	}).Info("result of adapter load order")
	switch result {
	case OrderAccepted, OrderSatisfied:
		if m := d.Model(model); m != nil {
			wait.For(ctx, adapterLoadBase+time.Duration(m.AdapterMB)*adapterLoadPerMB)
		}
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	if result != OrderAccepted && result != OrderSatisfied {
		return false
	}
	delete(e.loadingAdapters, name)
	if e.held[model] == nil {
		return false
	}
	e.held[model][adapter] = true
	return true
}

// orderAdapter reserves a slot for the adapter and sends the order. It sends none for an
// adapter that the engine holds or loads already: the engine accepts it without advancing its
// sequence, and the sequence known here would be ahead of it for good.
func (e *engineState) orderAdapter(ctx context.Context, d *document.Engine, name adapterName) OrderResult {
	e.adapterMu.Lock()
	defer e.adapterMu.Unlock()
	if !e.ensureSequence(ctx) {
		return OrderNotSent
	}
	if result, ordered := e.adapterOrdered(name); ordered {
		return result
	}
	if !e.ensureAdapterSlot(ctx, d) {
		return OrderNotSent
	}
	e.leader.mu.Lock()
	e.loadingAdapters = withAdapter(e.loadingAdapters, name)
	e.leader.mu.Unlock()
	result := e.sendOrder(ctx, Order{Load: true, Model: name.model, Adapter: name.adapter})
	if result != OrderAccepted && result != OrderSatisfied {
		e.leader.mu.Lock()
		delete(e.loadingAdapters, name)
		e.leader.mu.Unlock()
	}
	return result
}

// adapterOrdered reports whether a load of the adapter must not be ordered now, and its result
// in that case: OrderSatisfied if the engine holds or loads it, OrderNotSent if the engine is
// about to unload it.
func (e *engineState) adapterOrdered(name adapterName) (result OrderResult, ordered bool) {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	if e.unloadingAdapters[name] {
		return OrderNotSent, true
	}
	return OrderSatisfied, e.held[name.model][name.adapter] || e.loadingAdapters[name]
}

// ensureAdapterSlot unloads the least recently used adapter if the engine has no
// free adapter slot. It reports whether there is one now.
func (e *engineState) ensureAdapterSlot(ctx context.Context, d *document.Engine) bool {
	full, unloading := e.adapterRoom(d)
	if full && unloading {
		if _, err := e.refresh(ctx); err != nil {
			e.leader.s.log.WithError(err).WithField("endpoint", e.listing().ID).Info("failed to read whether the engine has unloaded an adapter")
		}
		if full, unloading = e.adapterRoom(d); full && unloading {
			// Requests still use the adapter that makes room.
			return false
		}
	}
	if !full {
		return true
	}
	e.leader.mu.Lock()
	model, adapter, found := e.evictionCandidate()
	e.leader.mu.Unlock()
	return found && e.evictAdapter(ctx, adapterName{model, adapter})
}

// adapterRoom reports whether all adapter slots of the engine are taken, and whether one of
// them is about to become free.
func (e *engineState) adapterRoom(d *document.Engine) (full, unloading bool) {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	return e.adapterCount() >= d.AdapterSlots, len(e.unloadingAdapters) > 0
}

// evictAdapter orders the engine to unload the adapter. It reports whether its slot is free
// now.
func (e *engineState) evictAdapter(ctx context.Context, name adapterName) bool {
	// Gateways stop sending requests for the adapter before it is unloaded.
	e.setAdapterUnloading(name, true)
	result := e.sendOrder(ctx, Order{Model: name.model, Adapter: name.adapter})
	e.leader.s.log.WithFields(logrus.Fields{
		"endpoint": e.listing().ID, "model": name.model, "adapter": name.adapter, "answer": result.String(), "term": e.leader.term,
	}).Info("result of adapter unload order")
	switch result {
	case OrderSatisfied:
		e.setAdapterUnloading(name, false)
		e.dropAdapter(name)
		return true
	case OrderAccepted:
		// Requests use the adapter; the engine unloads it when they have ended.
		return false
	}
	e.setAdapterUnloading(name, false)
	return false
}

// setAdapterUnloading records whether the engine is about to unload the adapter, and
// publishes it.
func (e *engineState) setAdapterUnloading(name adapterName, unloading bool) {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	if unloading {
		e.unloadingAdapters = withAdapter(e.unloadingAdapters, name)
	} else {
		delete(e.unloadingAdapters, name)
	}
	e.leader.publishEngine(e)
}

// dropAdapter records that the engine does not hold the adapter any more.
func (e *engineState) dropAdapter(name adapterName) {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	if adapters := e.held[name.model]; adapters != nil {
		delete(adapters, name.adapter)
	}
	e.leader.publishEngine(e)
}
