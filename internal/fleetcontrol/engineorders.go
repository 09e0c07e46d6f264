package fleetcontrol

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/residency"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// minModelDrainTime is the least time between the publication that a model is about to
	// be unloaded and the unload, in which gateways stop sending requests for it, and
	// exchangeMargin how much later than planned an exchange of a gateway may be.
	minModelDrainTime = 350 * time.Millisecond
	exchangeMargin    = 250 * time.Millisecond
	// minPollInterval is the poll interval for an engine that is about to complete
	// an order, and maxPollInterval the one for an engine that is not.
	minPollInterval = 150 * time.Millisecond
	maxPollInterval = time.Second
	// orderResponseTimeout bounds the wait for the response to an order, and
	// maxOrderAttempts is how often an order without a response is sent. Other
	// orders to the engine wait meanwhile.
	orderResponseTimeout = 300 * time.Millisecond
	maxOrderAttempts     = 3
	// orderEffectTimeout bounds the wait for an order to take effect.
	orderEffectTimeout = 20 * time.Second
	// reportLag is how long a report may lag behind the orders.
	reportLag = 300 * time.Millisecond
	// unknownOutcomeDelay is the time after an order that was not accepted, or has
	// an unknown outcome, before the engine gets another one.
	unknownOutcomeDelay = 600 * time.Millisecond
	// unreachedTime is how long no step is planned for an engine after it could not be read.
	unreachedTime = 1500 * time.Millisecond
)

// executeStep unloads and loads the models of a placement step. The caller has
// set stepInFlight. A step that fails is abandoned; the next plan replaces it.
func (e *engineState) executeStep(ctx context.Context, step residency.Step) {
	defer e.finishStep()
	if e.executeUnloads(ctx, step.Unload) {
		if result, _ := e.executeModelOrder(ctx, true, step.Load); result.mayTakeEffect() {
			return
		}
	}
	if step.FromStore {
		e.refundStoreLoad()
	}
}

// executeUnloads unloads the models one after the other. It returns false if one of them
// was not unloaded.
func (e *engineState) executeUnloads(ctx context.Context, models []string) bool {
	if len(models) > 0 && !wait.For(ctx, e.leader.modelDrainTime()) {
		return false
	}
	for _, m := range models {
		if _, done := e.executeModelOrder(ctx, false, m); !done {
			return false
		}
	}
	return true
}

// modelDrainTime returns how long all gateways take to learn that a model is about to be
// unloaded: the more there are, the less often each exchanges with the leader.
func (l *leaderState) modelDrainTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return modelDrainTime(len(l.gateways))
}

func modelDrainTime(gateways int) time.Duration {
	return max(minModelDrainTime, time.Duration(syncPauseMS(gateways))*time.Millisecond+exchangeMargin)
}

// refundStoreLoad returns a load from the weight store that was not ordered to the budget.
func (e *engineState) refundStoreLoad() {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	if b := e.leader.budgets[e.listed.Service]; b != nil {
		b.Refund(e.storeLoadAt)
	}
	storeLoadsRefunded.Inc()
}

// executeModelOrder sends an order for a model and waits for its effect. It returns the result
// of the order and whether it has taken effect.
func (e *engineState) executeModelOrder(ctx context.Context, load bool, model string) (result OrderResult, done bool) {
	if !e.ensureSequence(ctx) {
		wait.For(ctx, unknownOutcomeDelay)
		return OrderNotSent, false
	}
	result = e.sendOrder(ctx, Order{Load: load, Model: model})
	expected := e.recordExpectedReady(load, model)
	x := e.listing()
	e.leader.s.log.WithFields(logrus.Fields{
		"endpoint": x.ID, "address": x.Address, "model": model, "load": load, "term": e.leader.term, "answer": result.String(),
	}).Info("result of model order")
	if result == OrderAccepted || result == OrderSatisfied {
		return result, e.awaitEffect(ctx, load, model, expected)
	}
	wait.For(ctx, unknownOutcomeDelay)
	return result, false
}

// recordExpectedReady records when a load that was just ordered is expected to be
// ready, and returns its expected duration. That of an unload is 0.
func (e *engineState) recordExpectedReady(load bool, model string) time.Duration {
	if !load {
		return 0
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	duration := e.loadTime(model)
	e.readyAt = e.leader.s.clock() + duration
	return duration
}

// loadTime returns the expected time that the engine takes to load the model.
// e.leader.mu must be held.
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

// ensureSequence reads the engine's report if its sequence is not known, or if the last
// report may be older than an order of an earlier leader, unless a report may be stale
// now or the engine executes a foreign order. It reports whether the sequence is known
// now.
func (e *engineState) ensureSequence(ctx context.Context) bool {
	e.leader.mu.Lock()
	now, currentFrom := e.leader.s.clock(), e.leader.reportsCurrentFrom(e.listed)
	known := e.sequenceKnown && e.reportedAt >= currentFrom
	stale := e.foreignOrder || now < e.reportStaleUntil || now < currentFrom
	e.leader.mu.Unlock()
	if known || stale {
		return known
	}
	if _, err := e.refresh(ctx); err != nil {
		e.leader.s.log.WithError(err).WithField("endpoint", e.listing().ID).Warn("failed to read engine report before an order")
		e.recordUnreached(err)
		return false
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	return e.sequenceKnown
}

// recordUnreached records that the engine could not be read. One that refuses connections has
// most likely ended.
func (e *engineState) recordUnreached(err error) {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	until := e.leader.s.clock() + unreachedTime
	e.unreachedUntil = until
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.refusedUntil = until
	}
}

// sendOrder sends an order with the sequence at which the engine may accept it.
// An order with an unknown outcome is resent at once: both attempts name the same
// sequence, so the engine accepts at most one of them. The outcome stays unknown if the last
// attempt is not sent.
func (e *engineState) sendOrder(ctx context.Context, o Order) OrderResult {
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	announced := e.announceLoad(o)
	sent, result := e.sendOrderOnce(ctx, o, announced)
	unknown := result == OrderUnknown
	defer func() { e.leader.endLoad(announced, unknown) }()
	for attempt := 1; attempt < maxOrderAttempts && (result == OrderUnknown || sent.unconnected) && e.prepareResend(sent); attempt++ {
		sent, result = e.sendOrderOnce(ctx, o, announced)
		unknown = unknown || result == OrderUnknown
		if result == OrderConflict && e.tookEffect(ctx, o) {
			result = OrderAccepted
		}
	}
	if unknown && result == OrderNotSent {
		e.forgetSequence()
		return OrderUnknown
	}
	return result
}

// tookEffect reports whether an order whose response was lost has been accepted.
// It waits until the engine's report is no longer older than the order.
func (e *engineState) tookEffect(ctx context.Context, o Order) bool {
	if !wait.For(ctx, reportLag) {
		return false
	}
	e.leader.mu.Lock()
	e.awaitingEffect = e.awaitingEffect || o.Adapter == ""
	e.leader.mu.Unlock()
	r, err := e.refresh(ctx)
	if err != nil {
		e.leader.s.log.WithError(err).WithField("endpoint", e.listing().ID).Warn("failed to read engine report after an order with unknown outcome")
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

// sentOrder is an order as it was sent, to the process of an engine.
type sentOrder struct {
	Order
	// process is the start of the process in Unix milliseconds.
	process int64
	// unconnected is set if no connection to the engine was established, and it did not refuse
	// one: the next attempt may succeed.
	unconnected bool
	// inPlace describes what the engine was taken to hold, for the log.
	inPlace logrus.Fields
}

// sendOrderOnce makes one attempt to send an order. One to load is sent as it was announced.
func (e *engineState) sendOrderOnce(ctx context.Context, o Order, announced *wire.LoadOrder) (sentOrder, OrderResult) {
	x := e.listing()
	until, ok := e.leader.orderAllowed(ctx, x)
	if !ok {
		return sentOrder{}, OrderNotSent
	}
	// A pause of the process may separate the check from the write.
	mayWrite := func() bool { return e.leader.s.clock() < until }
	sent, ok := e.prepareOrder(x, o, announced)
	if !ok {
		e.logAttempt(x, sent, OrderNotSent, 0)
		return sent, OrderNotSent
	}
	call, cancel := context.WithTimeout(ctx, orderResponseTimeout)
	defer cancel()
	startedAt := e.leader.s.clock()
	result, err := e.leader.s.deps.Platform.Order(call, x.Address, x.ID, sent.Order, mayWrite)
	ordersSent.count(o, result)
	e.logAttempt(x, sent, result, e.leader.s.clock()-startedAt)
	switch {
	case err != nil && result == OrderNotSent:
		e.leader.s.log.WithError(err).WithField("endpoint", x.ID).Warn("order not sent")
		sent.unconnected = e.recordNoConnection(err)
	case err != nil:
		e.leader.s.log.WithError(err).WithField("endpoint", x.ID).Warn("outcome of order unknown")
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	if o.Load && result == OrderUnknown {
		e.leader.recordUnanswered(x.ID, sent.Order)
	}
	if e.startedUnixMs == sent.process {
		e.recordResult(sent.Order, result)
	}
	return sent, result
}

// recordNoConnection records why an order could not be written, and reports whether the next
// attempt may succeed.
func (e *engineState) recordNoConnection(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.recordUnreached(err)
		return false
	}
	return !fail.Is(err, fail.DeadlinePassed)
}

// logAttempt logs one attempt to send an order.
func (e *engineState) logAttempt(x ListedEndpoint, sent sentOrder, result OrderResult, took time.Duration) {
	e.leader.s.log.WithFields(sent.inPlace).WithFields(logrus.Fields{
		"endpoint": x.ID, "model": sent.Model, "adapter": sent.Adapter, "load": sent.Load, "sequence": sent.ExpectedSequence,
		"started_unix_ms": sent.process, "took_ms": took.Milliseconds(), "answer": result.String(),
	}).Info("order attempted")
}

// prepareOrder returns the order with the sequence at which the engine may accept it, or
// false if that is not known, is not the announced one, or the engine has no room for it.
func (e *engineState) prepareOrder(x ListedEndpoint, o Order, announced *wire.LoadOrder) (sentOrder, bool) {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	o.ExpectedSequence, o.Holder, o.FencingToken = e.sequence, e.leader.s.cfg.ID, e.leader.term
	e.orderedAt = e.leader.s.clock()
	// A step or an adapter job may outlive the engine's entry in the list.
	listed := e.leader.engines[x.ID] == e
	ready := listed && e.sequenceKnown && (!o.Load || e.isAnnounced(announced) && e.fits(o))
	return sentOrder{Order: o, process: e.startedUnixMs, inPlace: e.describeInPlace()}, ready
}

// recordResult applies the result of an order to what is known of the process that it was
// sent to. e.leader.mu must be held.
func (e *engineState) recordResult(o Order, result OrderResult) {
	switch result {
	case OrderNotSent:
	case OrderAccepted:
		// A report with the new sequence may have arrived before this response.
		e.sequence = max(e.sequence, o.ExpectedSequence+1)
		e.showSequence(o.ExpectedSequence + 1)
		e.awaitingEffect = e.awaitingEffect || o.Adapter == ""
	case OrderSatisfied:
		if o.Adapter != "" && !o.Load {
			// The engine unloads an idle adapter at once, which counts as an
			// accepted order. One that it did not hold does not count.
			e.sequence = max(e.sequence, o.ExpectedSequence+1)
		}
	case OrderConflict:
		if o.Adapter != "" && !o.Load {
			// Most likely the adapter is in use. If the sequence is wrong instead,
			// the next order fails with a conflict too.
			break
		}
		e.sequenceKnown, e.reportStaleUntil = false, e.leader.s.clock()+reportLag
	default:
		if o.Load && result == OrderUnknown {
			e.unresolved = &o
		}
		e.sequenceKnown, e.reportStaleUntil = false, e.leader.s.clock()+reportLag
	}
}

// awaitEffect polls the engine until the order has taken effect. It returns false
// after orderEffectTimeout.
func (e *engineState) awaitEffect(ctx context.Context, load bool, model string, expected time.Duration) bool {
	defer e.endAwaitEffect()
	start, process := e.leader.s.clock(), e.process()
	for e.leader.s.clock()-start < orderEffectTimeout && wait.For(ctx, pollDelay(expected-(e.leader.s.clock()-start))) {
		r, err := e.refresh(ctx)
		if e.process() != process {
			// The process that accepted the order has ended.
			return false
		}
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

// process returns the start of the engine's newest known process, which identifies it.
func (e *engineState) process() int64 {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	return e.startedUnixMs
}

// pollDelay returns the delay before the next poll of an engine that is expected
// to be done in the time left. It polls earlier than that too, because a load may
// take less time than expected.
func pollDelay(left time.Duration) time.Duration {
	return min(max(left/4, minPollInterval), maxPollInterval)
}

func (e *engineState) endAwaitEffect() {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	e.awaitingEffect = false
}

// finishStep ends the step in flight and triggers a new plan.
func (e *engineState) finishStep() {
	e.leader.mu.Lock()
	e.recordLoad(e.leader.s.clock())
	e.stepInFlight, e.loading = false, ""
	clear(e.unloading)
	e.orderedAt = e.leader.s.clock()
	e.leader.mu.Unlock()
	e.leader.triggerStep()
}
