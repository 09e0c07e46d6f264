package residency

import (
	"cmp"
	"math"
	"slices"
)

// Engine is one engine as the planner sees it.
type Engine struct {
	ID string
	// CapacityMB bounds models and adapters; UsedMB is what they take now,
	// with everything that may still arrive.
	CapacityMB float64
	UsedMB     float64
	// Models that it holds or is loading, without those that are leaving.
	Models map[string]bool
	// Busy engines carry out a step or have an order with an unknown outcome;
	// closed ones are leaving or do not answer. Neither gets another step.
	Busy        bool
	Unavailable bool
	// Cached are models whose weights the engine has in its own memory or disk.
	Cached map[string]bool
}

// Model is one declared model.
type Model struct {
	Name string
	MB   float64
	// Demand is how many places of engines its requests occupy on average, and
	// Ahead what that is expected to rise to; it is not below the demand.
	Demand   float64
	Forecast float64
	// Adapters is how many of its adapters are in use.
	Adapters int
	// Requested is set while callers wait for a model that no engine holds.
	Requested bool
}

// Input is all that a plan follows from.
type Input struct {
	Engines []Engine
	Models  []Model
	// Slots is how many requests one engine works on at once.
	Slots int
	// AdapterSlots is how many adapters one engine holds.
	AdapterSlots int
	// MaxStoreLoads bounds the loads from the weight store that the plan starts.
	MaxStoreLoads int
}

// Step changes what one engine holds: it unloads some models, which makes the
// room, and then loads another one.
type Step struct {
	Engine string
	Unload []string
	Load   string
	// FromStore is set where the weights come from the weight store.
	FromStore bool
}

const (
	// fill is the share of an engine's places that a model's demand may take
	// before it gets another replica.
	targetUtilization = 0.45
	// spareDemand is the demand, in places, from which a model gets a second
	// replica, so that the loss of one engine does not stop it.
	secondReplicaDemand = 7.0
	// nearByGain is what weights that need not come from the store are worth, in
	// places.
	cachedWeightsGain = 1.0
	// adapterWeight is what an adapter in use weighs, in places, so that models
	// with many adapters do not share an engine.
	adapterWeight = 0.5
	// unloadCost is what each unload before a load costs, in places.
	unloadCost = 1.5
	// easing is how much emptier the remaining replicas of a model must be than
	// those of the one that takes a replica's place, so that replicas do not go
	// back and forth.
	maxDisplacedLoadRatio = 0.6
)

// Plan returns the steps to start now, the most urgent first. Each engine gets
// one at most.
func Plan(in Input) []Step {
	p := newPlanner(in)
	for _, m := range p.byPriority() {
		for p.deficit(m) > 0 {
			s, ok := p.cheapestStep(m)
			if !ok {
				s, ok = p.relocate(m)
			}
			if !ok {
				break
			}
			p.add(s)
		}
	}
	return p.steps
}

type planner struct {
	in       Input
	models   map[string]*Model
	replicas map[string]int
	engines  []*Engine
	hasStep  map[string]bool
	steps    []Step
	// storeLoads counts the loads from the store in the plan.
	storeLoads int
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, models: map[string]*Model{}, replicas: map[string]int{}, hasStep: map[string]bool{}}
	for i := range in.Models {
		p.models[in.Models[i].Name] = &in.Models[i]
	}
	for i := range in.Engines {
		e := in.Engines[i]
		if e.Unavailable {
			continue
		}
		p.engines = append(p.engines, &e)
		for m := range e.Models {
			p.replicas[m]++
		}
	}
	return p
}

// wanted returns how many replicas the model's expected demand asks for.
func (p *planner) forecastReplicas(m *Model) int { return p.replicasFor(m, max(m.Forecast, m.Demand)) }

// desired returns how many replicas the model's demand asks for. Those beyond
// them may go.
func (p *planner) neededReplicas(m *Model) int { return p.replicasFor(m, m.Demand) }

func (p *planner) replicasFor(m *Model, demand float64) int {
	n := max(int(math.Ceil(demand/(targetUtilization*float64(max(p.in.Slots, 1))))), 1)
	if m.Adapters > 0 && p.in.AdapterSlots > 0 {
		n = max(n, int(math.Ceil(float64(m.Adapters)/float64(p.in.AdapterSlots))))
	}
	if demand >= secondReplicaDemand {
		n = max(n, 2)
	}
	return min(n, len(p.engines))
}

func (p *planner) deficit(m *Model) int { return p.forecastReplicas(m) - p.replicas[m.Name] }

// byUrgency returns the models that lack replicas: those that callers wait for
// first, then those without any, then the fullest.
func (p *planner) byPriority() []*Model {
	var lacking []*Model
	for i := range p.in.Models {
		if m := &p.in.Models[i]; p.deficit(m) > 0 {
			lacking = append(lacking, m)
		}
	}
	slices.SortStableFunc(lacking, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(p.replicaPriority(b), p.replicaPriority(a)), cmp.Compare(a.Name, b.Name))
	})
	return lacking
}

func (p *planner) replicaPriority(m *Model) float64 {
	const noReplicaBonus, requestedBonus = 1e6, 1e9
	u := max(m.Forecast, m.Demand) / float64(p.replicas[m.Name]+1)
	if p.replicas[m.Name] == 0 {
		u += noReplicaBonus
		if m.Requested {
			u += requestedBonus
		}
	}
	return u
}

// place returns the step that brings the model to the best engine.
func (p *planner) cheapestStep(m *Model) (Step, bool) {
	var best Step
	bestCost := math.Inf(1)
	for _, e := range p.engines {
		if !p.available(e) || e.Models[m.Name] {
			continue
		}
		if s, cost, ok := p.loadStep(e, m); ok && cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

func (p *planner) available(e *Engine) bool { return !e.Busy && !p.hasStep[e.ID] }

// option returns the step that brings the model to the engine, and its cost in
// places.
func (p *planner) loadStep(e *Engine, m *Model) (Step, float64, bool) {
	cached := e.Cached[m.Name]
	if e.CapacityMB < m.MB || !cached && p.storeLoads >= p.in.MaxStoreLoads {
		return Step{}, 0, false
	}
	s := Step{Engine: e.ID, Load: m.Name, FromStore: !cached}
	cost := p.expectedLoad(e)
	if cached {
		cost -= cachedWeightsGain
	}
	used := e.UsedMB
	for e.CapacityMB-used < m.MB {
		victim, victimCost := p.victim(e, m, s.Unload)
		if victim == "" {
			return Step{}, 0, false
		}
		s.Unload = append(s.Unload, victim)
		used -= p.size(victim)
		cost += unloadCost + victimCost
	}
	return s, cost, true
}

// size returns what the model takes; one that is no longer declared counts
// nothing, so that no room is expected from it.
func (p *planner) size(name string) float64 {
	if m := p.models[name]; m != nil {
		return m.MB
	}
	return 0
}

// load returns the demand, in places, that the engine is expected to carry.
func (p *planner) expectedLoad(e *Engine) float64 {
	sum := 0.0
	for name := range e.Models {
		if m := p.models[name]; m != nil {
			replicas := float64(max(p.replicas[name], 1))
			sum += m.Demand/replicas + adapterWeight*float64(m.Adapters)/replicas
		}
	}
	return sum
}

// victim returns the model on the engine, besides those that go already, that
// is missed least, and what it is worth there in places. Only replicas that the
// others can do without go, or, for a model that no engine holds, the only
// replica of one that nobody asks for.
func (p *planner) victim(e *Engine, m *Model, unloading []string) (string, float64) {
	best, bestCost := "", math.Inf(1)
	for name := range e.Models {
		if slices.Contains(unloading, name) {
			continue
		}
		cost, ok := p.evictionCost(m, name)
		if ok && (cost < bestCost || cost == bestCost && name < best) {
			best, bestCost = name, cost
		}
	}
	return best, bestCost
}

// missed returns what a replica of the named model is worth, in places, and
// whether it may go for the model m.
func (p *planner) evictionCost(m *Model, name string) (float64, bool) {
	v := p.models[name]
	if v == nil {
		return 0, true
	}
	remaining := p.replicas[name] - 1
	switch {
	case remaining >= p.neededReplicas(v):
		return v.Demand / float64(remaining+1), true
	case remaining >= 1 && m.Demand >= secondReplicaDemand && v.Demand/float64(remaining) < maxDisplacedLoadRatio*m.Demand/float64(max(p.replicas[m.Name], 1)):
		return v.Demand / float64(remaining), true
	case remaining == 0 && p.replicas[m.Name] == 0 && v.Demand == 0 && m.Demand > 0:
		return unloadCost, true
	}
	return 0, false
}

// relocate returns a step that copies the only replica of a little-used model
// to an engine with room, so that the engine where it is can take a replica of
// m afterwards.
func (p *planner) relocate(m *Model) (Step, bool) {
	var best Step
	bestDemand := math.Inf(1)
	for _, from := range p.engines {
		if from.Models[m.Name] || from.Busy {
			continue
		}
		for name := range from.Models {
			v := p.models[name]
			if v == nil || p.replicas[name] != 1 || v.Demand >= secondReplicaDemand || from.CapacityMB-from.UsedMB+v.MB < m.MB {
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

// roomFor returns the engine, other than the one it is on, that has room for
// the model and too little for the larger ones, or "".
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

// commit adds a step and takes it into account for the rest of the plan.
func (p *planner) add(s Step) {
	p.steps = append(p.steps, s)
	p.hasStep[s.Engine] = true
	for _, name := range s.Unload {
		p.replicas[name]--
	}
	p.replicas[s.Load]++
	if s.FromStore {
		p.storeLoads++
	}
}
