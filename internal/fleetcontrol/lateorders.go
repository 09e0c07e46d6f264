package fleetcontrol

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
)

// lateOrderTTL is how long an order without a response may still be carried out.
const lateOrderTTL = 15 * time.Second

// unansweredOrder is an order to load that an engine has not responded to.
type unansweredOrder struct {
	Order
	sentAt time.Duration
}

// recordUnanswered records an order to load without a response. It outlives the engine's
// process and its entry in the list, because the order may arrive later: its id and its
// sequence can match again after a restart. l.mu must be held.
func (l *leaderState) recordUnanswered(engine string, o Order) {
	now := l.s.clock()
	for id, orders := range l.unanswered {
		orders = slices.DeleteFunc(orders, func(u unansweredOrder) bool { return now-u.sentAt >= lateOrderTTL })
		if l.unanswered[id] = orders; len(orders) == 0 {
			delete(l.unanswered, id)
		}
	}
	l.unanswered[engine] = append(l.unanswered[engine], unansweredOrder{o, now})
}

// pendingLoads returns the orders to load that the engine may still accept although nothing
// is known of that: the unresolved one, and those without a response whose sequence it has
// not passed, also if they were sent to a former process, by this leader or an earlier one.
// e.leader.mu must be held.
func (e *engineState) pendingLoads() []Order {
	var out []Order
	if e.unresolved != nil {
		out = append(out, *e.unresolved)
	}
	now := e.leader.s.clock()
	for _, u := range e.leader.unanswered[e.listed.ID] {
		same := func(o Order) bool { return o.Model == u.Model && o.Adapter == u.Adapter }
		if now-u.sentAt < lateOrderTTL && e.shownSequence <= u.ExpectedSequence && !slices.ContainsFunc(out, same) {
			out = append(out, u.Order)
		}
	}
	for _, x := range e.leader.s.intents.lateLoads(e.listed.ID, e.leader.leadership, now) {
		same := func(o Order) bool { return o.Model == x.Model && o.Adapter == x.Adapter }
		// The sequence tells orders to this process apart.
		if x.StartedUnixMs != e.startedUnixMs && e.shownSequence <= x.ExpectedSequence && !slices.ContainsFunc(out, same) {
			out = append(out, Order{Load: true, Model: x.Model, Adapter: x.Adapter, ExpectedSequence: x.ExpectedSequence})
		}
	}
	return out
}

// pendingMB returns the memory that the pending loads need beyond that of the held and the
// loading models. e.leader.mu must be held.
func (e *engineState) pendingMB(d *document.Engine) float64 {
	total := 0.0
	for _, o := range e.pendingLoads() {
		m := d.Model(o.Model)
		_, held := e.held[o.Model]
		switch {
		case m == nil:
		case o.Adapter != "":
			if !e.held[o.Model][o.Adapter] {
				total += m.AdapterMB
			}
		case !held && e.loading != o.Model:
			total += m.WeightsMB
		}
	}
	return total
}

// describeInPlace returns the fields of a log line on what the engine holds, and on the loads
// that may still reach it. e.leader.mu must be held.
func (e *engineState) describeInPlace() logrus.Fields {
	var pending []string
	for _, o := range e.pendingLoads() {
		pending = append(pending, o.Model+"/"+o.Adapter)
	}
	return logrus.Fields{
		"held": strings.Join(slices.Sorted(maps.Keys(e.held)), " "), "adapters": e.adapterCount(),
		"loading": e.loading, "pending": strings.Join(pending, " "),
	}
}

// forgetSequence records that the engine may have accepted an order without a response.
func (e *engineState) forgetSequence() {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	e.sequenceKnown = false
}

// prepareResend makes the next order name the sequence of the one that was sent. It returns
// false if the engine is at another one by now, or is another process.
func (e *engineState) prepareResend(sent sentOrder) bool {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	if e.startedUnixMs != sent.process || e.sequence != sent.ExpectedSequence || e.foreignOrder {
		return false
	}
	e.sequenceKnown = true
	return true
}
