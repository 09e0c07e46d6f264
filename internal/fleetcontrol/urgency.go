package fleetcontrol

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyramp/internal/residency"
	"parsleyramp/internal/wire"
)

// modelWait is a time in which clients wait for a model without a replica.
type modelWait struct {
	since, until time.Duration
	// target is the shortest target latency of the requests that wait; zero if not known.
	target time.Duration
}

// recordWait records that a client waits for the model, with the target latency of its
// request; zero if not known. l.mu must be held.
func (l *leaderState) recordWait(model string, target, now time.Duration) {
	w, waiting := l.waits[model]
	if !waiting || w.until <= now {
		w = modelWait{since: now, target: target}
	}
	w.until = now + modelRequestTTL
	w.target = min(w.target, target)
	l.waits[model] = w
}

// waited returns how long clients have waited for the model. l.mu must be held.
func (l *leaderState) waited(model string, now time.Duration) time.Duration {
	if w, ok := l.waits[model]; ok && w.until > now {
		return now - w.since
	}
	return 0
}

// urgency returns the shortest target latency of the requests for the model, zero if it is not
// known, and how long they have waited for it. The first request for a model may wait before
// it is part of a report of demand. l.mu must be held.
func (l *leaderState) urgency(model string, now time.Duration) (patience, waited time.Duration) {
	patience, waited = l.demand.Patience(model), l.waited(model, now)
	w := l.waits[model]
	switch {
	case w.until <= now || w.target == 0:
	case patience == 0 && l.demand.Slots(model, now) == 0:
		patience = w.target
	case patience > 0:
		patience = min(patience, w.target)
	}
	return patience, waited
}

// patient reports whether only requests with a long target latency ask for the model. l.mu
// must be held.
func (l *leaderState) patient(model string, now time.Duration) bool {
	patience, _ := l.urgency(model, now)
	m := residency.Model{UrgentDemand: l.demand.UrgentSlots(model, now), Patience: patience}
	return m.PatientOnly()
}

// dropPastWaits forgets the waits that have ended. l.mu must be held.
func (l *leaderState) dropPastWaits(now time.Duration) {
	for model, w := range l.waits {
		if w.until <= now {
			delete(l.waits, model)
		}
	}
}

// timeToPatientLoad returns the time until a model that no engine loads yet is expected to be
// ready, if the requests that wait for it can wait for others to have their turn; else 0, and
// also once they have waited in vain for their whole patience.
// l.mu must be held.
func (l *leaderState) timeToPatientLoad(service, model string, now time.Duration) time.Duration {
	if l.doc == nil {
		return 0
	}
	s := l.doc.Service(service)
	if s == nil || s.Engine == nil {
		return 0
	}
	declared := s.Engine.Model(model)
	if declared == nil || l.replicas(service, model) > 0 {
		return 0
	}
	m := l.modelInput(s.Engine, *declared, 0, now)
	if !m.PatientOnly() || m.Waited > m.Patience {
		return 0
	}
	cached := l.copies(service, model) > 0
	return max(m.DueAfter(cached)-m.Waited, 0) + m.ReturnTime(cached)
}

// replicas returns how many engines of the service hold the model, and copies how many have
// its weights. l.mu must be held.
func (l *leaderState) replicas(service, model string) int {
	n := 0
	for _, e := range l.engines {
		if _, held := e.held[model]; held && e.listed.Service == service && !e.unloading[model] && !e.leaving() {
			n++
		}
	}
	return n
}

func (l *leaderState) copies(service, model string) int {
	n := 0
	for _, e := range l.engines {
		if e.listed.Service == service && e.cached[model] && !e.leaving() {
			n++
		}
	}
	return n
}

// loadRecord is when a model that an engine holds was ready, and how long its load took.
type loadRecord struct{ at, took time.Duration }

// recordLoad records that the step in flight has loaded its model, for which nobody waits any
// more. e.leader.mu must be held.
func (e *engineState) recordLoad(now time.Duration) {
	if _, held := e.held[e.loading]; !held {
		return
	}
	if e.loaded == nil {
		e.loaded = map[string]loadRecord{}
	}
	e.loaded[e.loading] = loadRecord{at: now, took: now - e.stepStartedAt}
	delete(e.leader.waits, e.loading)
}

// lastLoads returns the loads of the models that the engine holds. e.leader.mu must be held.
func (e *engineState) lastLoads(now time.Duration) map[string]residency.Loaded {
	var out map[string]residency.Loaded
	for model, r := range e.loaded {
		if _, held := e.held[model]; !held {
			delete(e.loaded, model)
			continue
		}
		if out == nil {
			out = map[string]residency.Loaded{}
		}
		out[model] = residency.Loaded{Ago: now - r.at, Took: r.took}
	}
	return out
}

// countDisplacements counts the models that the step unloads by reason, and returns the
// reasons for the log.
func countDisplacements(step residency.Step) string {
	var reasons []string
	for _, r := range step.Reasons {
		reasons = append(reasons, r.String())
		metrics.GetOrCreateCounter(fmt.Sprintf(`parsleyramp_fleet_displacements_total{reason=%q}`, r)).Inc()
	}
	return strings.Join(reasons, " ")
}

// patientModels returns how many models only requests with a long target latency ask for.
func patientModels(models []residency.Model) int {
	n := 0
	for i := range models {
		if m := &models[i]; m.Demand > 0 && m.PatientOnly() {
			n++
		}
	}
	return n
}

// requestsOf returns the requests that a gateway's report of demand describes. A gateway that
// does not state their urgency is an older one: all of them count as urgent.
func requestsOf(d *wire.ModelDemand) residency.Requests {
	r := residency.Requests{
		Model: d.Model, Adapter: d.Adapter, Count: int(d.Arrivals),
		SlotTime: fromMilliseconds(d.PlaceMs), UrgentSlotTime: fromMilliseconds(d.PlaceMs),
	}
	if d.UrgencyKnown {
		r.UrgentSlotTime = fromMilliseconds(min(d.UrgentPlaceMs, d.PlaceMs))
		r.Target = fromMilliseconds(uint64(d.TargetMs))
	}
	return r
}

func fromMilliseconds(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
