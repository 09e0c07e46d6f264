package fleetcontrol

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/wait"
)

const (
	// listLag is how long after the last order the models in the live list are
	// ignored for an engine, because the list lags behind.
	listLag = 2500 * time.Millisecond
	// foreignOrderPollInterval is the poll interval for an engine that executes an
	// order that is not known here.
	foreignOrderPollInterval = 300 * time.Millisecond
)

// engineState is the leader's state of one endpoint. It is guarded by leader.mu.
type engineState struct {
	leader *leaderState
	listed ListedEndpoint
	// startedUnixMs is when the newest known process of the engine started; zero if unknown.
	startedUnixMs int64
	// version is that of the software of this process; empty if it is not known surely.
	version versionState
	// statesLeaving is set once a response of this process has stated that it is about to end,
	// which the list shows later.
	statesLeaving bool
	// held maps each loaded model to its loaded adapters; nil until known.
	held map[string]map[string]bool
	// sequence is the number of accepted orders, if sequenceKnown is set.
	sequence      uint64
	sequenceKnown bool
	// shownSequence is the highest sequence that a report or an accepted order has shown. A
	// report below it is older than that.
	shownSequence uint64
	// unresolved is the last order to load of which it is unknown whether the engine has
	// accepted it, or still will; nil for none. It keeps its room until the engine's sequence
	// is beyond its own.
	unresolved *Order
	// reportedAt is when the last report was requested.
	reportedAt time.Duration
	// reportStaleUntil is the time until which a report may be older than the last
	// order.
	reportStaleUntil time.Duration
	orderedAt        time.Duration
	// unreachedUntil and refusedUntil are until when the engine gets no step because it could
	// not be read, and counts as ended because it refused a connection.
	unreachedUntil, refusedUntil time.Duration
	// crashedUntil is until when gateways' reports of a crash hold; a new process ends them.
	crashedUntil time.Duration
	// restartedAt is when the newest process was seen first; zero for the first one known.
	restartedAt time.Duration
	// stepInFlight is set while a placement step is executed.
	stepInFlight bool
	// loading is the model that the step in flight loads, and unloading are the
	// models that it unloads.
	loading   string
	unloading map[string]bool
	// awaitingEffect is set from the acceptance of an order for a model until it
	// has taken effect.
	awaitingEffect bool
	// foreignOrder is set while the engine executes an order that is not known
	// here: one of an earlier leader, or one whose response was lost. The model
	// that it loads is in no report until the load is complete, so the engine gets
	// no other order meanwhile.
	foreignOrder bool
	// stepStartedAt is when the step in flight was decided, and loaded are the loads of models
	// that steps have completed.
	stepStartedAt time.Duration
	loaded        map[string]loadRecord
	// readyAt is when the loading model is expected to be ready.
	readyAt time.Duration
	// fromStore is set if the loading model comes from the weight store.
	fromStore bool
	// storeLoadAt is when the budget of the weight store was charged for the step in flight.
	storeLoadAt time.Duration
	// cached are the models whose weights the engine has in its memory or
	// on its disk.
	cached map[string]bool
	// loadingAdapters are adapters that were ordered and are not ready yet.
	loadingAdapters map[adapterName]bool
	// unloadingAdapters are adapters whose unloading the engine has accepted and may not have
	// completed: requests still use them. They keep their places until a report lacks them.
	unloadingAdapters map[adapterName]bool
	// orderMu serializes orders, because each order names the sequence that
	// results from the previous one. adapterMu serializes adapter loads, because
	// each needs a slot that is still free.
	orderMu   sync.Mutex
	adapterMu sync.Mutex
}

// adapterName names an adapter of a model.
type adapterName struct{ model, adapter string }

// applyListing applies the endpoint's entry in the live list. The models in the
// entry are ignored while a step is in flight or an order is recent.
func (e *engineState) applyListing(x ListedEndpoint, now time.Duration) {
	e.listed = x
	if e.observeStart(x.StartedUnixMs) == earlierIncarnation {
		return
	}
	e.version.observe(x, now)
	if e.held != nil && (e.stepInFlight || now-e.orderedAt <= listLag) {
		return
	}
	held := modelSet(x.Models)
	if e.held == nil || !maps.EqualFunc(held, e.held, maps.Equal) {
		// The list doesn't contain the sequence that matches these models.
		e.held, e.sequenceKnown = held, false
	}
}

// leaving reports whether the engine is about to end. e.leader.mu must be held.
func (e *engineState) leaving() bool { return e.listed.Leaving || e.statesLeaving }

// listing returns the endpoint's entry in the live list. e.leader.mu must not be held.
func (e *engineState) listing() ListedEndpoint {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	return e.listed
}

func modelSet(models []HeldModel) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, m := range models {
		adapters := map[string]bool{}
		for _, a := range m.Adapters {
			adapters[a] = true
		}
		out[m.Name] = adapters
	}
	return out
}

// usedMB returns the memory of the engine's models and adapters, including the
// loading model.
func (e *engineState) usedMB(d *document.Engine) float64 {
	used := 0.0
	for name, adapters := range e.held {
		if m := d.Model(name); m != nil {
			used += m.WeightsMB + float64(len(adapters))*m.AdapterMB
		}
	}
	if _, ok := e.held[e.loading]; e.loading != "" && !ok {
		if m := d.Model(e.loading); m != nil {
			used += m.WeightsMB
		}
	}
	return used + e.pendingMB(d)
}

// fits reports whether the engine has the memory and adapter slot that the order
// needs, given what it held at the sequence that the order names. e.leader.mu
// must be held.
func (e *engineState) fits(o Order) bool {
	if e.leader.doc == nil {
		return false
	}
	s := e.leader.doc.Service(e.listed.Service)
	if s == nil || s.Engine == nil {
		return false
	}
	loading := []string{e.loading}
	for _, pending := range e.pendingLoads() {
		if pending.Adapter == "" {
			loading = append(loading, pending.Model)
		}
	}
	return fitsLimits(s.Engine, e.held, e.adaptersInPlace(), loading, o)
}

// adaptersInPlace returns the adapters that occupy, or may occupy, a place of the engine.
// e.leader.mu must be held.
func (e *engineState) adaptersInPlace() map[adapterName]bool {
	out := map[adapterName]bool{}
	for model, adapters := range e.held {
		for a := range adapters {
			out[adapterName{model, a}] = true
		}
	}
	maps.Copy(out, e.loadingAdapters)
	maps.Copy(out, e.unloadingAdapters)
	for _, pending := range e.pendingLoads() {
		if pending.Adapter != "" {
			out[adapterName{pending.Model, pending.Adapter}] = true
		}
	}
	return out
}

// withAdapter returns the set, which may be nil, with the adapter added.
func withAdapter(set map[adapterName]bool, a adapterName) map[adapterName]bool {
	if set == nil {
		set = map[adapterName]bool{}
	}
	set[a] = true
	return set
}

// fitsLimits reports whether the order keeps an engine within its memory and its
// adapter slots, given the held models and adapters, the other adapters in place, and the
// models that are being loaded. Empty names of models are ignored.
func fitsLimits(d *document.Engine, held map[string]map[string]bool, adapters map[adapterName]bool, loading []string, o Order) bool {
	all := map[adapterName]bool{}
	models := map[string]bool{o.Model: true}
	for _, m := range loading {
		if m != "" {
			models[m] = true
		}
	}
	for model, names := range held {
		models[model] = true
		for a := range names {
			all[adapterName{model, a}] = true
		}
	}
	maps.Copy(all, adapters)
	if o.Adapter != "" {
		all[adapterName{o.Model, o.Adapter}] = true
	}
	used := 0.0
	for name := range models {
		m := d.Model(name)
		if m == nil {
			return false
		}
		used += m.WeightsMB
	}
	for a := range all {
		if m := d.Model(a.model); m != nil {
			used += m.AdapterMB
		}
	}
	return used <= d.WeightsMB && len(all) <= d.AdapterSlots
}

func (e *engineState) adapterCount() int { return len(e.adaptersInPlace()) }

// showSequence records that the engine has accepted as many orders. e.leader.mu must be held.
func (e *engineState) showSequence(sequence uint64) {
	e.shownSequence = max(e.shownSequence, sequence)
	if e.unresolved != nil && e.unresolved.ExpectedSequence < sequence {
		e.unresolved = nil
	}
}

// refresh reads the engine's report and applies it, unless it is older than the
// last accepted order.
func (e *engineState) refresh(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	x := e.listing()
	requestedAt := e.leader.s.clock()
	r, err := e.leader.s.deps.Platform.Report(ctx, x.Address, x.ID)
	if err != nil {
		return nil, err
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	of := e.observeStart(r.StartedUnixMs)
	if of == earlierIncarnation || r.Sequence < e.shownSequence || e.sequenceKnown && r.Sequence < e.sequence {
		// The report is older than the engine's process, or than the last order that was
		// accepted.
		return r, nil
	}
	e.sequence, e.sequenceKnown, e.reportedAt = r.Sequence, true, requestedAt
	e.showSequence(r.Sequence)
	e.held = modelSet(r.Models)
	e.recordForeignOrder(r.Busy && !e.awaitingEffect)
	for model, adapters := range modelSet(r.LoadingAdapters) {
		for a := range adapters {
			if e.held[model] != nil {
				e.held[model][a] = true
			}
		}
	}
	maps.DeleteFunc(e.unloadingAdapters, func(a adapterName, _ bool) bool { return !e.held[a.model][a.adapter] })
	e.cached = map[string]bool{}
	for _, m := range r.Cached {
		e.cached[m] = true
	}
	return r, nil
}

// recordForeignOrder records whether the engine executes an order that is not
// known here, and if so starts polling until it is complete. e.leader.mu must be
// held.
func (e *engineState) recordForeignOrder(busy bool) {
	if busy && !e.foreignOrder {
		e.leader.s.log.WithFields(logrus.Fields{"endpoint": e.listed.ID, "sequence": e.sequence, "term": e.leader.term}).Info("engine executes an order that this leader did not send")
		go e.awaitForeignOrder()
	}
	e.foreignOrder = busy
	if busy {
		e.sequenceKnown = false
	}
}

// awaitForeignOrder polls the engine until it has completed the order that is not
// known here, or is no longer listed.
func (e *engineState) awaitForeignOrder() {
	for wait.For(e.leader.ctx, foreignOrderPollInterval) {
		e.leader.mu.Lock()
		done := !e.foreignOrder || e.leader.engines[e.listed.ID] != e
		e.leader.mu.Unlock()
		if done {
			e.leader.triggerStep()
			return
		}
		if _, err := e.refresh(e.leader.ctx); err != nil {
			e.leader.s.log.WithError(err).WithField("endpoint", e.listing().ID).Debug("failed to read report of busy engine")
		}
	}
}

// probe reads the report of a newly listed engine.
func (e *engineState) probe(ctx context.Context) {
	if _, err := e.refresh(ctx); err != nil {
		e.leader.s.log.WithError(err).WithField("endpoint", e.listing().ID).Warn("failed to read report of newly listed engine")
	}
}
