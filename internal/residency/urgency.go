package residency

import (
	"math"
	"slices"
	"time"

	"parsleyramp/internal/document"
)

const (
	// patientUtilization is the share of an engine's slots that the demand of a model that
	// only patient requests ask for may occupy before it gets another replica. It is higher
	// than targetUtilization because the requests can wait for a slot.
	patientUtilization = 0.7
	// orderDelay is the time, beside the load, from a request for a model until a replica
	// serves it: the request reaches the leader, another model is drained and unloaded, and the
	// view with the replica reaches the gateways.
	orderDelay = 700 * time.Millisecond
	// dueShare is the share of their patience that requests wait for a model, at most, before
	// it becomes as urgent as any other.
	dueShare = 0.5
	// turnShare is the share of the time until a model becomes urgent after which it takes the
	// place of another one that patient requests use. Requests that arrive meanwhile share the
	// load.
	turnShare = 0.5
	// minReturnSlack is the share of the patience that has to remain beside the time for a
	// reload, for the model to lose its only replica: the engines may be busy when it returns.
	minReturnSlack = 0.25
	// minServeTime is how long a model that was loaded for patient requests keeps its place at
	// least, longer if the load took longer. Within it gateways learn of the replica and send
	// the waiting requests.
	minServeTime = time.Second
	// patientPriority is the priority of models that only patient requests wait for: below
	// that of any measured demand, and above that of models that nobody uses.
	patientPriority = 1e-9
)

// Loaded is the load of a model on an engine.
type Loaded struct {
	// Ago is how long ago the model was ready, and Took how long the load took.
	Ago, Took time.Duration
}

// PatientOnly reports whether only requests with a long target latency ask for the model, all
// of which can wait for a load from the weight store.
func (m *Model) PatientOnly() bool {
	return m.Patience > max(document.UrgentTarget, m.ReturnTime(false)) && m.UrgentDemand == 0
}

// urgentShare returns the share of the demand that is of requests with a short target latency.
func (m *Model) urgentShare() float64 {
	switch {
	case m.PatientOnly():
		return 0
	case m.Patience == 0 || m.Demand == 0 || m.UrgentDemand == 0:
		// Without urgent demand, a model that is not patient cannot wait for a load.
		return 1
	}
	return math.Min(m.UrgentDemand/m.Demand, 1)
}

// urgentDemand returns the demand, in slots, of requests with a short target latency.
func (m *Model) urgentDemand() float64 { return m.Demand * m.urgentShare() }

// patient reports whether only patient requests ask for the model, which can still wait.
func (p *planner) patient(m *Model) bool { return m.PatientOnly() && !p.due(m) }

// due reports whether requests have waited so long for a model that only patient requests ask
// for that it is now as urgent as any other.
func (p *planner) due(m *Model) bool { return m.Requested && m.Waited >= p.dueAfter(m) }

// dueAfter returns how long patient requests wait for the model before it becomes urgent.
func (p *planner) dueAfter(m *Model) time.Duration { return m.DueAfter(p.copies[m.Name] > 0) }

// DueAfter returns how long patient requests wait for the model before it is as urgent as any
// other: as long as a load that starts then completes within their patience, and a share of
// that at most. If cached is set, an engine has the weights.
func (m *Model) DueAfter(cached bool) time.Duration {
	longest := time.Duration(dueShare * float64(m.Patience))
	return max(min(longest, m.Patience-m.ReturnTime(cached)), 0)
}

// ReturnTime returns the time from a request for a model without a replica until one serves,
// if the load starts at once. If cached is set, an engine has the weights.
func (m *Model) ReturnTime(cached bool) time.Duration {
	if cached {
		return orderDelay + m.LoadFromMemory
	}
	return orderDelay + m.Load
}

// canReturn reports whether patient requests can wait for the model to be loaded again.
func (p *planner) canReturn(m *Model) bool {
	return m.ReturnTime(p.copies[m.Name] > 0) <= time.Duration((1-minReturnSlack)*float64(m.Patience))
}

// awaitsCopy reports whether a model that only patient requests ask for is not loaded from the
// weight store yet, because an engine that has its weights will soon have room: a load from the
// store occupies the other engine for several times as long. Its requests wait for that for a
// part of their patience only.
func (p *planner) awaitsCopy(m *Model) bool {
	if p.copies[m.Name] == 0 || m.Waited >= time.Duration((1-minReturnSlack)*float64(m.Patience)) {
		return false
	}
	return slices.ContainsFunc(p.engines, func(e *Engine) bool { return e.Cached[m.Name] && !e.Models[m.Name] && p.mayHaveRoom(e, m) })
}

// mayHaveRoom reports whether the engine, which may be busy, has room for the model or holds
// another one whose requests can wait.
func (p *planner) mayHaveRoom(e *Engine, m *Model) bool {
	if e.CapacityMB-e.UsedMB >= m.MB {
		return true
	}
	for name := range e.Models {
		if v := p.models[name]; v != nil && p.patient(v) && p.canReturn(v) {
			return true
		}
	}
	return false
}

// countCopies counts the engines that have copies of the weights of each model. It does so
// only if there are patient requests, for which alone the counts are used.
func (p *planner) countCopies() {
	patient := false
	for i := range p.in.Models {
		patient = patient || p.in.Models[i].PatientOnly()
	}
	if !patient {
		return
	}
	p.copies = map[string]int{}
	for _, e := range p.engines {
		for name := range e.Cached {
			p.copies[name]++
		}
	}
}

// patientReplicas returns how many replicas a model needs that only patient requests ask for:
// none if nobody uses it and it can be loaded again in time.
func (p *planner) patientReplicas(m *Model) int {
	if m.Demand == 0 && !m.Requested && p.canReturn(m) {
		return 0
	}
	n := int(math.Ceil(m.Demand/(patientUtilization*float64(max(p.in.Slots, 1))) - p.extra[m.Name]))
	return min(max(n, 1), len(p.engines))
}

// hasNoWaiters reports whether the model has no replica, and no patient request waits for one.
func (p *planner) hasNoWaiters(m *Model) bool {
	return p.replicas[m.Name] == 0 && !m.Requested && p.canReturn(m)
}

// patientVictimCost returns the cost, in slots, of unloading a replica of v, which only patient
// requests ask for, from the engine for the model m, and whether it may be unloaded. It may not
// be right after its load, or while requests have waited long for it. Beyond that it may be if
// the remaining replicas suffice, for a model with urgent demand that is overloaded or has no
// replica, and for another one that only patient requests ask for if both keep their weights
// at the engine, so that taking turns does not need the weight store.
func (p *planner) patientVictimCost(m, v *Model, e *Engine) (float64, Reason) {
	remaining := p.replicas[v.Name] - 1
	switch {
	case serving(e, v):
		return 0, NotDisplaced
	case remaining >= p.neededReplicas(v):
		return v.Demand / float64(remaining+1), SpareReplica
	case p.due(v) || remaining == 0 && !p.canReturn(v):
		return 0, NotDisplaced
	case p.patient(m):
		if p.replicas[m.Name] > 0 || !e.Cached[m.Name] || !e.Cached[v.Name] || m.Waited < time.Duration(turnShare*float64(p.dueAfter(m))) {
			return 0, NotDisplaced
		}
		return v.Demand + p.returnCost(v, e), PatientTurn
	case !p.lacksUrgently(m):
		return 0, NotDisplaced
	}
	return v.Demand/float64(max(remaining, 1)) + p.returnCost(v, e), PatientModel
}

// serving reports whether the model has been loaded so recently that it keeps its place.
func serving(e *Engine, v *Model) bool {
	l, ok := e.Loaded[v.Name]
	return ok && l.Ago < max(minServeTime, l.Took)
}

// returnCost returns the cost, in slots, of loading the model again when it is requested.
func (p *planner) returnCost(v *Model, e *Engine) float64 {
	gain := cachedWeightsGain * float64(p.in.Slots)
	switch {
	case e.Cached[v.Name]:
		return 0
	case p.copies[v.Name] > 0:
		return gain / 2
	}
	return gain
}

// lacksUrgently reports whether the model has no replica, or is or will soon be overloaded.
func (p *planner) lacksUrgently(m *Model) bool {
	if p.replicas[m.Name] == 0 {
		return !m.idle()
	}
	if m.PatientOnly() {
		return m.Demand > patientUtilization*p.slotsOf(m)
	}
	return m.urgentShare()*max(m.Forecast, m.Demand) > overloadedUtilization*p.slotsOf(m)
}
