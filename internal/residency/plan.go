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
	// Models that it holds or is loading.
	Models map[string]bool
	// Busy engines carry out an order or have one with an unknown outcome;
	// closed ones are leaving or do not answer. Neither gets an order.
	Busy   bool
	Closed bool
	// NearBy are models whose weights the engine has in its own memory or disk.
	NearBy map[string]bool
}

// Model is one declared model.
type Model struct {
	Name string
	MB   float64
	// Demand is how many places of engines its requests occupy on average.
	Demand float64
	// Wanted is set while callers wait for a model that no engine holds.
	Wanted bool
}

// Input is all that a plan follows from.
type Input struct {
	Engines []Engine
	Models  []Model
	// Slots is how many requests one engine works on at once.
	Slots int
	// MaxLoads bounds the loads that the plan starts.
	MaxLoads int
}

// Action is one order to an engine.
type Action struct {
	Engine string
	Model  string
	// Load is false for an unload.
	Load bool
}

const (
	// fill is the share of an engine's places that a model's demand may take
	// before it gets another replica.
	fill = 0.45
	// spareDemand is the demand, in places, from which a model gets a second
	// replica, so that the loss of one engine does not stop it.
	spareDemand = 0.4
	// nearByGain and evictCost weigh, in places, weights that need not come from
	// the store and a model that has to make room first.
	nearByGain = 1.0
	evictCost  = 2.0
)

// Plan returns the orders to give now, the most urgent first. At most one
// order goes to each engine.
func Plan(in Input) []Action {
	p := newPlanner(in)
	var out []Action
	loads := 0
	for _, m := range p.byUrgency() {
		if loads >= in.MaxLoads {
			break
		}
		for p.deficit(m) > 0 && loads < in.MaxLoads {
			a, ok := p.place(m)
			if !ok {
				break
			}
			out = append(out, a)
			p.commit(a)
			if a.Load {
				loads++
			} else {
				// The load follows once the room is free.
				break
			}
		}
	}
	return out
}

type planner struct {
	in       Input
	models   map[string]*Model
	replicas map[string]int
	engines  []*Engine
	used     map[string]bool
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, models: map[string]*Model{}, replicas: map[string]int{}, used: map[string]bool{}}
	for i := range in.Models {
		p.models[in.Models[i].Name] = &in.Models[i]
	}
	for i := range in.Engines {
		e := in.Engines[i]
		p.engines = append(p.engines, &e)
		if e.Closed {
			continue
		}
		for m := range e.Models {
			p.replicas[m]++
		}
	}
	return p
}

// desired returns how many replicas the model's demand asks for.
func (p *planner) desired(m *Model) int {
	n := int(math.Ceil(m.Demand / (fill * float64(max(p.in.Slots, 1)))))
	n = max(n, 1)
	if m.Demand >= spareDemand {
		n = max(n, 2)
	}
	return min(n, p.open())
}

func (p *planner) open() int {
	n := 0
	for _, e := range p.engines {
		if !e.Closed {
			n++
		}
	}
	return n
}

func (p *planner) deficit(m *Model) int { return p.desired(m) - p.replicas[m.Name] }

// byUrgency returns the models that lack replicas: those that callers wait for
// first, then those without any, then the fullest.
func (p *planner) byUrgency() []*Model {
	var out []*Model
	for i := range p.in.Models {
		if m := &p.in.Models[i]; p.deficit(m) > 0 {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(p.urgency(b), p.urgency(a)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func (p *planner) urgency(m *Model) float64 {
	const absent, wanted = 1e6, 1e9
	u := m.Demand / float64(p.replicas[m.Name]+1)
	if p.replicas[m.Name] == 0 {
		u += absent
		if m.Wanted {
			u += wanted
		}
	}
	return u
}

// place returns the next order that brings the model to the best engine.
func (p *planner) place(m *Model) (Action, bool) {
	var best Action
	bestCost := math.Inf(1)
	for _, e := range p.engines {
		if e.Busy || e.Closed || p.used[e.ID] || e.Models[m.Name] || e.CapacityMB < m.MB {
			continue
		}
		cost := p.load(e)
		if e.NearBy[m.Name] {
			cost -= nearByGain
		}
		a := Action{Engine: e.ID, Model: m.Name, Load: true}
		if e.CapacityMB-e.UsedMB < m.MB {
			victim, victimCost := p.victim(e, m)
			if victim == "" {
				continue
			}
			a = Action{Engine: e.ID, Model: victim}
			cost += evictCost + victimCost
		}
		if cost < bestCost {
			best, bestCost = a, cost
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// load returns the demand, in places, that the engine is expected to carry.
func (p *planner) load(e *Engine) float64 {
	sum := 0.0
	for name := range e.Models {
		if m := p.models[name]; m != nil {
			sum += m.Demand / float64(max(p.replicas[name], 1))
		}
	}
	return sum
}

// victim returns the model on the engine that is missed least, and what it is
// worth there in places. Only surplus replicas go, or, for a model that callers
// wait for, the only replica of one that nobody asks for.
func (p *planner) victim(e *Engine, m *Model) (string, float64) {
	best, bestCost := "", math.Inf(1)
	for name := range e.Models {
		cost := 0.0
		if v := p.models[name]; v != nil {
			surplus := p.replicas[name] - p.desired(v)
			switch {
			case surplus > 0:
				cost = v.Demand / float64(p.replicas[name])
			case p.replicas[m.Name] == 0 && m.Demand > v.Demand && (p.replicas[name] > 1 || v.Demand == 0):
				cost = v.Demand + evictCost
			default:
				continue
			}
		}
		if cost < bestCost || cost == bestCost && name < best {
			best, bestCost = name, cost
		}
	}
	return best, bestCost
}

// commit takes an action into account for the rest of the plan.
func (p *planner) commit(a Action) {
	p.used[a.Engine] = true
	for _, e := range p.engines {
		if e.ID != a.Engine {
			continue
		}
		if a.Load {
			p.replicas[a.Model]++
		} else {
			p.replicas[a.Model]--
		}
	}
}
