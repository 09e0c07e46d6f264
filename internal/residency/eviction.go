package residency

import (
	"math"
	"slices"
)

// victim returns the model to unload from the engine for m, apart from those in
// unloading, and the cost of that in slots. It is the one with the lowest cost, or
// "" if none may be unloaded.
func (p *planner) victim(e *Engine, m *Model, unloading []string) (string, float64) {
	best, bestCost := "", math.Inf(1)
	for name := range e.Models {
		if slices.Contains(unloading, name) {
			continue
		}
		cost, reason := p.evictionCost(m, name, e)
		if reason != NotDisplaced && (cost < bestCost || cost == bestCost && name < best) {
			best, bestCost = name, cost
		}
	}
	return best, bestCost
}

// evictionCost returns the cost, in slots, of unloading a replica of the named model from the
// engine, and why it may be unloaded for the model m, if it may. It may be if the model is no
// longer declared, or, for a model m in use, if the remaining replicas suffice for its demand,
// if they are much less loaded than those of a model m that needs two replicas or more, or if
// it is the only replica of an idle model, and m has none, or is overloaded and the idle model
// can return without the weight store. A model m whose requests can wait displaces no
// replica of a model with urgent requests.
func (p *planner) evictionCost(m *Model, name string, e *Engine) (float64, Reason) {
	v := p.models[name]
	switch {
	case v == nil:
		return 0, Undeclared
	case m.idle() || p.in.DemandUnknown:
		return 0, NotDisplaced
	case v.PatientOnly():
		return p.patientVictimCost(m, v, e)
	case p.patient(m):
		return 0, NotDisplaced
	}
	remaining := p.replicas[name] - 1
	switch {
	case remaining >= p.replicasSpared(m, v):
		return v.Demand / float64(remaining+1), SpareReplica
	case remaining >= 1 && m.urgentDemand() >= p.secondReplicaDemand() && v.Demand/float64(remaining) < maxDisplacedLoadRatio*m.urgentDemand()/float64(max(p.replicas[m.Name], 1)):
		return v.Demand / float64(remaining), LessLoaded
	case remaining == 0 && p.replicas[m.Name] == 0 && v.Demand == 0 && m.Demand > 0:
		return unloadCost, IdleModel
	case remaining == 0 && v.idle() && e.Cached[name] && p.overloaded(m):
		return restCost, IdleModel
	}
	return 0, NotDisplaced
}

// replicasSpared returns how many replicas of v are not spare ones for m. Patient requests do
// not take those that v is expected to need soon.
func (p *planner) replicasSpared(m, v *Model) int {
	if m.PatientOnly() {
		return p.forecastReplicas(v)
	}
	return p.neededReplicas(v)
}

// overloaded reports whether the demand of the model is too high for its replicas, or it is
// used and has none.
func (p *planner) overloaded(m *Model) bool {
	if p.replicas[m.Name] == 0 {
		return !m.idle()
	}
	return m.urgentDemand() > overloadedUtilization*p.slotsOf(m)
}

// relocate returns a step that loads a model with a single replica and little
// demand on another engine with enough free memory, so that it can be unloaded where
// it is and m loaded there. The copy counts as a replica at once: a later step of the
// same plan may already unload the original.
func (p *planner) relocate(m *Model) (Step, bool) {
	var best Step
	bestDemand := math.Inf(1)
	for _, from := range p.engines {
		if from.Models[m.Name] || from.Busy {
			continue
		}
		for name := range from.Models {
			v := p.models[name]
			if v == nil || p.replicas[name] != 1 || v.Demand >= p.secondReplicaDemand() || from.CapacityMB-from.UsedMB+v.MB < m.MB {
				continue
			}
			to, cached := p.tightestFit(v, from)
			if to == "" || v.Demand > bestDemand || v.Demand == bestDemand && name > best.Load {
				continue
			}
			best, bestDemand = Step{Engine: to, Load: name, FromStore: !cached}, v.Demand
		}
	}
	return best, !math.IsInf(bestDemand, 1)
}

// tightestFit returns the engine, other than from, that has the least free memory left
// after loading the model, or "". This leaves the larger gaps to larger models.
func (p *planner) tightestFit(v *Model, from *Engine) (engine string, cached bool) {
	least := math.Inf(1)
	for _, e := range p.engines {
		remainingMB := e.CapacityMB - e.UsedMB - v.MB
		if e == from || !p.available(e) || e.Models[v.Name] || remainingMB < 0 || remainingMB >= least {
			continue
		}
		if !e.Cached[v.Name] && p.storeLoads >= p.in.MaxStoreLoads {
			continue
		}
		engine, cached, least = e.ID, e.Cached[v.Name], remainingMB
	}
	return engine, cached
}
