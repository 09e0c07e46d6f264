package residency

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

func TestIdleModelTakesNoStoreLoadFromAnOverloadedOne(t *testing.T) {
	e := engines([]string{"l1", "l3"}, []string{"l4", "l5"}, nil, nil)
	in := input(e, map[string]float64{"l1": 60})
	in.MaxStoreLoads = 1
	steps := Plan(in)
	if len(steps) != 1 || steps[0].Load != "l1" {
		t.Errorf("steps %v, want the only load for l1, whose replica has twice the demand that it serves", steps)
	}
}

func TestIdleModelDisplacesNoModelInUse(t *testing.T) {
	e := engines([]string{"l1", "l2"}, []string{"l1", "l3"})
	in := input(e, map[string]float64{"l1": 6, "l2": 3, "l3": 3})
	for _, s := range Plan(in) {
		if len(s.Unload) > 0 {
			t.Errorf("step %v unloads a model in use for one that nobody asks for", s)
		}
	}
}

func TestOverloadedModelTakesThePlaceOfAnIdleOneThatCanReturn(t *testing.T) {
	for _, c := range []struct {
		name      string
		cached    bool
		demand    float64
		requested bool
		want      bool
	}{
		{"its weights stay at the engine", true, 0, false, true},
		{"it would have to come from the store", false, 0, false, false},
		{"it is in use", true, 2, false, false},
		{"requests wait for it", true, 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := engines([]string{"l1", "l2"}, []string{"l3", "l4"})
			e[1].Cached = map[string]bool{"l3": c.cached, "l4": c.cached}
			in := input(e, map[string]float64{"l1": 60, "l2": 5, "l3": c.demand, "l4": c.demand})
			in.Models = slices.DeleteFunc(in.Models, func(m Model) bool { return m.Name == "l5" || m.Name[0] == 's' })
			for i := range in.Models {
				in.Models[i].Requested = c.requested && in.Models[i].Name != "l1"
			}
			if got := len(loadsOf(Plan(in), "l1")) > 0; got != c.want {
				t.Errorf("another replica of l1 is loaded: %v, want %v", got, c.want)
			}
		})
	}
}

// pressured is a fleet whose models mostly rest. Demand moves to other models every few
// steps, and loads from the store take longer than those from an engine's own copies.
type pressured struct {
	engines []Engine
	models  []Model
	// loading holds, by engine, what is loaded until which round.
	loading map[string]loadingModel
	// served and asked count the demand that replicas had room for, and all of it.
	served, asked float64
	loads         int
}

type loadingModel struct {
	model string
	until int
}

func newPressured(engineCount, modelCount int) *pressured {
	p := &pressured{loading: map[string]loadingModel{}}
	for i := range modelCount {
		p.models = append(p.models, Model{Name: fmt.Sprintf("m%03d", i), MB: 65e3})
	}
	for i := range engineCount {
		e := Engine{ID: fmt.Sprintf("e%02d", i), CapacityMB: 200e3, UsedMB: 3 * 65e3, Models: map[string]bool{}, Cached: map[string]bool{}}
		for j := range 3 {
			name := p.models[(3*i+j)%modelCount].Name
			e.Models[name], e.Cached[name] = true, true
		}
		p.engines = append(p.engines, e)
	}
	return p
}

// round plans and carries out one round of a second, in which the demand is for hot models.
func (p *pressured) round(n int, hot map[string]float64, storeLoads int) {
	for i := range p.engines {
		e := &p.engines[i]
		if l, ok := p.loading[e.ID]; ok && l.until <= n {
			e.Cached[l.model] = true
			delete(p.loading, e.ID)
		}
		_, e.Busy = p.loading[e.ID]
	}
	ready := map[string]float64{}
	for _, e := range p.engines {
		for m := range e.Models {
			if p.loading[e.ID].model != m {
				ready[m]++
			}
		}
	}
	for i := range p.models {
		m := &p.models[i]
		m.Demand = hot[m.Name]
		p.asked += m.Demand
		p.served += math.Min(m.Demand, ready[m.Name]*testSlots)
	}
	for _, s := range Plan(Input{Engines: p.engines, Models: p.models, Slots: testSlots, AdapterSlots: 8, MaxStoreLoads: storeLoads}) {
		p.apply(n, s)
	}
}

func (p *pressured) apply(n int, s Step) {
	i := slices.IndexFunc(p.engines, func(e Engine) bool { return e.ID == s.Engine })
	e := &p.engines[i]
	for _, m := range s.Unload {
		delete(e.Models, m)
		e.UsedMB -= 65e3
	}
	e.Models[s.Load] = true
	e.UsedMB += 65e3
	took := 2
	if s.FromStore {
		took = 8
	}
	p.loading[e.ID] = loadingModel{s.Load, n + took}
	p.loads++
}

// TestModelsThatRestLeaveTheirPlacesToThoseInUse plays a fleet in which idle models hold most
// places, while demand for few others grows beyond their replicas and then moves on.
func TestModelsThatRestLeaveTheirPlacesToThoseInUse(t *testing.T) {
	p := newPressured(12, 36)
	for n := range 60 {
		first := 4 * (n / 20)
		hot := map[string]float64{}
		for i := range 4 {
			hot[p.models[first+i].Name] = 50
		}
		p.round(n, hot, 1)
	}
	if share := p.served / p.asked; share < 0.7 {
		t.Errorf("%.2f of the demand was served, want 0.7 or more: half of the engines would do", share)
	}
	if p.loads > 75 {
		t.Errorf("%d loads for three changes of demand, want at most 25 for each", p.loads)
	}
}
