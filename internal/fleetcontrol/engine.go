package fleetcontrol

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/residency"
	"parsleyramp/internal/wait"
)

const (
	// listTrust is how long after the last order the list's word on what an
	// engine holds is not taken, for the list lags.
	listLag = 2500 * time.Millisecond
	// leaveTime is how long gateways are given to stop sending requests for a
	// model before it is unloaded.
	modelDrainTime = 350 * time.Millisecond
	// pollInterval is the time between two looks at an engine that carries out
	// an order and is about to be done, and maxPollInterval while it is not.
	minPollInterval = 150 * time.Millisecond
	maxPollInterval = time.Second
	// foreignOrderPoll is the time between two looks at an engine that carries out
	// an order that is not known here.
	foreignOrderPollInterval = 300 * time.Millisecond
	// orderAnswerTimeout bounds the wait for the answer to an order, and orderTries
	// is how often one is sent that gets none. Other orders to the engine wait.
	orderResponseTimeout = 300 * time.Millisecond
	maxOrderAttempts     = 3
	// orderTimeout bounds the wait for an order to take effect.
	orderEffectTimeout = 20 * time.Second
	// reportLag is how long a report may lag behind the orders.
	reportLag = 300 * time.Millisecond
	// unknownWait is how long the outcome of an unanswered order is waited for
	// before the engine gets another one.
	unknownOutcomeDelay = 600 * time.Millisecond
)

// engineState is what the leader knows of one endpoint. The lead's lock guards it.
type engineState struct {
	leader *leaderState
	listed ListedEndpoint
	// held is what the engine holds, by model; nil until it is known.
	held map[string]map[string]bool
	// sequence of accepted orders, where known.
	sequence      uint64
	sequenceKnown bool
	// staleUntil is until when a report may be older than the last order.
	reportStaleUntil time.Duration
	orderedAt        time.Duration
	// ordering is set while an order is carried out.
	stepInFlight bool
	// loading is the model that is on its way, and leaving those about to go.
	loading   string
	unloading map[string]bool
	// awaiting is set from the acceptance of an order for a whole model until it
	// has taken effect.
	awaitingEffect bool
	// foreignOrder is set while the engine carries out an order that is not known
	// here: an earlier leader's, or one whose answer was lost. What it loads is
	// in no report until it is done, so the engine gets no order meanwhile.
	foreignOrder bool
	// readyAt is when what is loading is expected to be ready.
	readyAt time.Duration
	// fromStore is set where what is loading comes from the weight store.
	fromStore bool
	cached    map[string]bool
	// arriving are adapters that were ordered and are not ready yet.
	loadingAdapters map[adapterName]bool
	// turn lets one order be sent at a time, for each names the sequence that
	// the one before it leaves. adapterTurn lets one adapter be brought at a
	// time, for each takes a place that must still be free.
	orderMu   sync.Mutex
	adapterMu sync.Mutex
}

// adapterName names an adapter of a model.
type adapterName struct{ model, adapter string }

// take notes what the list says of the endpoint. The list's word on what it
// holds counts only while no order is recent.
func (e *engineState) applyListing(x ListedEndpoint, now time.Duration) {
	e.listed = x
	if e.held != nil && (e.stepInFlight || now-e.orderedAt <= listLag) {
		return
	}
	held := modelSet(x.Models)
	if e.held == nil || !maps.EqualFunc(held, e.held, maps.Equal) {
		// The sequence that goes with it is not in the list.
		e.held, e.sequenceKnown = held, false
	}
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

// usedMB returns what the engine's models and adapters take, with what is on
// its way.
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
	return used
}

// fits reports whether the engine has room for what the order loads, by what it
// held at the sequence that the order names. The lead's lock is held.
func (e *engineState) fits(o Order) bool {
	if e.leader.doc == nil {
		return false
	}
	s := e.leader.doc.Service(e.listed.Service)
	if s == nil || s.Engine == nil {
		return false
	}
	return fitsLimits(s.Engine, e.held, e.loadingAdapters, e.loading, o)
}

// roomFor reports whether an engine that holds models with their adapters, and
// has further adapters and a model on their way, stays within its limits with
// the order. An empty loading stands for no model.
func fitsLimits(d *document.Engine, held map[string]map[string]bool, loadingAdapters map[adapterName]bool, loading string, o Order) bool {
	all := map[adapterName]bool{}
	models := map[string]bool{o.Model: true}
	if loading != "" {
		models[loading] = true
	}
	for model, adapters := range held {
		models[model] = true
		for a := range adapters {
			all[adapterName{model, a}] = true
		}
	}
	for a := range loadingAdapters {
		all[a] = true
	}
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
	return used <= d.WeightsMB && len(all) <= d.AdapterPlaces
}

func (e *engineState) adapterCount() int {
	n := 0
	for _, adapters := range e.held {
		n += len(adapters)
	}
	for a := range e.loadingAdapters {
		if !e.held[a.model][a.adapter] {
			n++
		}
	}
	return n
}

// refresh reads the engine's own report and takes its word on what it holds.
func (e *engineState) refresh(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := e.leader.s.deps.Platform.Report(ctx, e.listed.Address, e.listed.ID)
	if err != nil {
		return nil, err
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	if e.sequenceKnown && r.Sequence < e.sequence {
		// The report is older than the last order that was accepted.
		return r, nil
	}
	e.sequence, e.sequenceKnown = r.Sequence, true
	e.held = modelSet(r.Models)
	e.recordForeignOrder(r.Busy && !e.awaitingEffect)
	for model, adapters := range modelSet(r.LoadingAdapters) {
		for a := range adapters {
			if e.held[model] != nil {
				e.held[model][a] = true
			}
		}
	}
	e.cached = map[string]bool{}
	for _, m := range r.Cached {
		e.cached[m] = true
	}
	return r, nil
}

// noteForeignOrder notes whether the engine carries out an order that is not known
// here, and looks again until it does not. The lead's lock is held.
func (e *engineState) recordForeignOrder(busy bool) {
	if busy && !e.foreignOrder {
		e.leader.s.log.WithFields(logrus.Fields{"endpoint": e.listed.ID, "sequence": e.sequence, "term": e.leader.term}).Info("engine carries out an order of another leader")
		go e.awaitForeignOrder()
	}
	e.foreignOrder = busy
	if busy {
		e.sequenceKnown = false
	}
}

// awaitForeignOrder reads the engine until it has done with the order that is not known
// here, or is no longer listed.
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
			e.leader.s.log.WithError(err).WithField("endpoint", e.listed.ID).Debug("busy engine not read")
		}
	}
}

// meet reads an engine for the first time.
func (e *engineState) probe(ctx context.Context) {
	if _, err := e.refresh(ctx); err != nil {
		e.leader.s.log.WithError(err).WithField("endpoint", e.listed.ID).Warn("engine not read")
	}
}

// carryOut unloads and loads what a step names. The caller has marked the
// engine as ordering. A step that fails is given up; the next plan looks again.
func (e *engineState) executeStep(ctx context.Context, step residency.Step) {
	defer e.finishStep()
	if len(step.Unload) > 0 && !wait.For(ctx, modelDrainTime) {
		return
	}
	for _, m := range step.Unload {
		if !e.executeModelOrder(ctx, false, m) {
			return
		}
	}
	e.executeModelOrder(ctx, true, step.Load)
}

// change gives an order for a whole model and waits for its effect.
func (e *engineState) executeModelOrder(ctx context.Context, load bool, model string) bool {
	if !e.ensureSequence(ctx) {
		wait.For(ctx, unknownOutcomeDelay)
		return false
	}
	result := e.sendOrder(ctx, Order{Load: load, Model: model})
	expected := e.recordExpectedReady(load, model)
	e.leader.s.log.WithFields(logrus.Fields{
		"endpoint": e.listed.ID, "model": model, "load": load, "term": e.leader.term, "answer": result.String(),
	}).Info("order given")
	if result == OrderAccepted || result == OrderSatisfied {
		return e.awaitEffect(ctx, load, model, expected)
	}
	wait.For(ctx, unknownOutcomeDelay)
	return false
}

// expect notes when a load that has just been ordered will be ready, and
// returns how long it takes.
func (e *engineState) recordExpectedReady(load bool, model string) time.Duration {
	if !load {
		return 0
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	takes := e.loadTime(model)
	e.readyAt = e.leader.s.clock() + takes
	return takes
}

// loadTime returns how long the engine takes to load the model. The lead's lock
// is held.
func (e *engineState) loadTime(model string) time.Duration {
	if e.leader.doc == nil {
		return 0
	}
	s := e.leader.doc.Service(e.listed.Service)
	if s == nil || s.Engine == nil {
		return 0
	}
	m := s.Engine.Model(model)
	switch {
	case m == nil:
		return 0
	case e.cached[model]:
		return m.LoadFromMemory
	}
	return m.Load
}

// knowSequence reads the engine's report where its sequence is not known.
func (e *engineState) ensureSequence(ctx context.Context) bool {
	e.leader.mu.Lock()
	known, stale := e.sequenceKnown, e.foreignOrder || e.leader.s.clock() < e.reportStaleUntil
	e.leader.mu.Unlock()
	if known || stale {
		return known
	}
	if _, err := e.refresh(ctx); err != nil {
		e.leader.s.log.WithError(err).WithField("endpoint", e.listed.ID).Warn("engine not read before an order")
		return false
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	return e.sequenceKnown
}

// order sends one order, with the sequence at which the engine may accept it.
// One without a clear answer is sent again at once: as both name the same
// sequence, the engine accepts one of them at most.
func (e *engineState) sendOrder(ctx context.Context, o Order) OrderResult {
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	result := e.sendOrderOnce(ctx, o)
	for attempt := 1; attempt < maxOrderAttempts && result == OrderUnknown; attempt++ {
		e.leader.mu.Lock()
		e.sequenceKnown = true
		e.leader.mu.Unlock()
		result = e.sendOrderOnce(ctx, o)
		if result == OrderConflict && e.tookEffect(ctx, o) {
			result = OrderAccepted
		}
	}
	return result
}

// tookEffect reports whether an order was accepted whose answer was lost, by
// the engine's report once that is no longer older than the order.
func (e *engineState) tookEffect(ctx context.Context, o Order) bool {
	if !wait.For(ctx, reportLag) {
		return false
	}
	e.leader.mu.Lock()
	e.awaitingEffect = e.awaitingEffect || o.Adapter == ""
	e.leader.mu.Unlock()
	r, err := e.refresh(ctx)
	if err != nil {
		e.leader.s.log.WithError(err).WithField("endpoint", e.listed.ID).Warn("engine not read after an order without a clear answer")
		e.endAwaitEffect()
		return false
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	adapters, holds := e.held[o.Model]
	if o.Adapter != "" {
		return adapters[o.Adapter] == o.Load
	}
	e.awaitingEffect = r.Busy || holds == o.Load
	return e.awaitingEffect
}

// sendOrder sends one order once.
func (e *engineState) sendOrderOnce(ctx context.Context, o Order) OrderResult {
	if !e.leader.orderAllowed(ctx, e.listed.ID) {
		return OrderNotSent
	}
	e.leader.mu.Lock()
	ready := e.sequenceKnown && (!o.Load || e.fits(o))
	o.ExpectedSequence, o.Holder, o.FencingToken = e.sequence, e.leader.s.cfg.ID, e.leader.term
	e.orderedAt = e.leader.s.clock()
	e.leader.mu.Unlock()
	if !ready {
		return OrderNotSent
	}
	call, cancel := context.WithTimeout(ctx, orderResponseTimeout)
	defer cancel()
	result, err := e.leader.s.deps.Platform.Order(call, e.listed.Address, e.listed.ID, o)
	ordersSent.count(o, result)
	if err != nil {
		e.leader.s.log.WithError(err).WithField("endpoint", e.listed.ID).Warn("order without a clear answer")
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	switch result {
	case OrderAccepted:
		// A report may have told the new sequence before this answer came.
		e.sequence = max(e.sequence, o.ExpectedSequence+1)
		e.awaitingEffect = e.awaitingEffect || o.Adapter == ""
	case OrderSatisfied:
		if o.Adapter != "" && !o.Load {
			// An idle adapter goes at once, which counts as an accepted order.
			e.sequence = max(e.sequence, o.ExpectedSequence+1)
		}
	case OrderConflict:
		if o.Adapter != "" && !o.Load {
			// The adapter is most likely in use; a wrong sequence shows with the
			// next order.
			break
		}
		e.sequenceKnown, e.reportStaleUntil = false, e.leader.s.clock()+reportLag
	default:
		e.sequenceKnown, e.reportStaleUntil = false, e.leader.s.clock()+reportLag
	}
	return result
}

// await polls the engine until the order has taken effect.
func (e *engineState) awaitEffect(ctx context.Context, load bool, model string, expected time.Duration) bool {
	defer e.endAwaitEffect()
	start := e.leader.s.clock()
	for e.leader.s.clock()-start < orderEffectTimeout && wait.For(ctx, pollDelay(expected-(e.leader.s.clock()-start))) {
		r, err := e.refresh(ctx)
		if err != nil || r.Busy {
			continue
		}
		e.leader.mu.Lock()
		_, holds := e.held[model]
		current := r.Sequence >= e.sequence
		e.leader.mu.Unlock()
		if current && holds == load {
			return true
		}
	}
	return false
}

// nextPoll returns the time until the next look at an engine that is expected to
// need so much longer. A load may take less, so it is looked at before that too.
func pollDelay(left time.Duration) time.Duration {
	return min(max(left/4, minPollInterval), maxPollInterval)
}

func (e *engineState) endAwaitEffect() {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	e.awaitingEffect = false
}

// finish marks the engine as free and asks for a new plan.
func (e *engineState) finishStep() {
	e.leader.mu.Lock()
	e.stepInFlight, e.loading = false, ""
	clear(e.unloading)
	e.orderedAt = e.leader.s.clock()
	e.leader.mu.Unlock()
	e.leader.triggerStep()
}
