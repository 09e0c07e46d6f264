package placement

import (
	"cmp"
	"math"
	"slices"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/wire"
)

// policy is a placement policy to compare.
type policy struct {
	name string
	plan func(f *fleet, d deployment, demand map[string]Demand) []Step
}

func policies() []policy {
	var out []policy
	for _, w := range []struct {
		name   string
		weight float64
	}{{"weight-0.2", 0.2}, {"weight-0.5", 0.5}, {"weight-0.8", 0.8}} {
		out = append(out, policy{w.name, func(f *fleet, d deployment, demand map[string]Demand) []Step {
			in := f.input(d, w.weight, demand)
			in.Policy.SpareReplicaGrace = DefaultSpareReplicaGrace / 12
			return Plan(in).Steps
		}})
	}
	return append(out, policy{"static", staticPacking}, policy{"chase", chaseDemand})
}

// qualifiedModels returns the models under their full names, in the order of the
// documents.
func (d deployment) qualifiedModels() []desired.Model {
	var out []desired.Model
	for _, s := range d.sections {
		for _, m := range s.Models {
			m.Name = desired.FullName(s.Team, m.Name)
			out = append(out, m)
		}
	}
	return out
}

func footprint(m desired.Model) uint64 {
	sum := (m.MemoryMB + m.HeadroomMB) * bytesPerMB
	for _, a := range m.Adapters {
		sum += a.MemoryMB * bytesPerMB
	}
	return sum
}

// staticPacking keeps each model on the two engines that first-fit decreasing
// packing over empty engines assigns, and reloads it there after a restart.
func staticPacking(f *fleet, d deployment, _ map[string]Demand) []Step {
	models := d.qualifiedModels()
	slices.SortStableFunc(models, func(a, b desired.Model) int { return cmp.Compare(footprint(b), footprint(a)) })
	free := make([]uint64, len(f.endpoints))
	for i := range free {
		free[i] = engineMemory
	}
	b := newBaseline(f, d)
	position := 0
	for replica := range 2 {
		for _, m := range models {
			for range f.endpoints {
				position = (position + 1) % len(f.endpoints)
				e := f.endpoints[position]
				if free[position] < footprint(m) || (replica == 1 && b.sameDomain(m.Name, e)) {
					continue
				}
				free[position] -= footprint(m)
				b.assignedEngines[m.Name] = append(b.assignedEngines[m.Name], e)
				b.ensure(e, m)
				break
			}
		}
	}
	return b.steps
}

// baseline builds one plan of a baseline policy.
type baseline struct {
	f               *fleet
	d               deployment
	busy            map[string]bool
	charged         map[string]uint64
	residents       map[Step]*wire.Resident
	assignedEngines map[string][]*wire.Endpoint
	models          int
	adapters        int
	steps           []Step
}

func newBaseline(f *fleet, d deployment) *baseline {
	b := &baseline{
		f: f, d: d, busy: map[string]bool{}, charged: map[string]uint64{}, residents: map[Step]*wire.Resident{},
		assignedEngines: map[string][]*wire.Endpoint{}, models: min(d.modelLoads, f.starts.Available(f.now)), adapters: d.adapterLoads,
	}
	for _, r := range f.residents {
		b.charged[r.Endpoint] += r.MemoryBytes
		b.residents[Step{Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter}] = r
	}
	for _, o := range f.orders {
		b.busy[o.Endpoint] = true
	}
	return b
}

func (b *baseline) sameDomain(model string, e *wire.Endpoint) bool {
	return slices.ContainsFunc(b.assignedEngines[model], func(x *wire.Endpoint) bool { return x.Domain == e.Domain })
}

// ensure loads the model, then its adapters, on the engine, one load in each plan.
func (b *baseline) ensure(e *wire.Endpoint, m desired.Model) {
	if !e.Reachable || b.busy[e.Id] {
		return
	}
	s := Step{Endpoint: e.Id, Model: m.Name, Version: m.Version}
	r := b.residents[s]
	if r == nil {
		b.load(s, (m.MemoryMB+m.HeadroomMB)*bytesPerMB)
		return
	}
	if r.State != wire.ResidentState_RESIDENT_STATE_READY {
		return
	}
	for _, a := range m.Adapters {
		s.Adapter = adapterName(a)
		if b.residents[s] == nil {
			b.load(s, a.MemoryMB*bytesPerMB)
			return
		}
	}
}

func (b *baseline) load(s Step, memory uint64) bool {
	left := &b.models
	if s.Adapter != "" {
		left = &b.adapters
	}
	if *left <= 0 || b.charged[s.Endpoint]+memory > engineMemory || b.busy[s.Endpoint] {
		return false
	}
	*left--
	b.busy[s.Endpoint] = true
	b.charged[s.Endpoint] += memory
	s.Action, s.Memory = Load, memory
	b.steps = append(b.steps, s)
	return true
}

// chaseDemand gives each model, in every plan, the replicas that its short-term
// demand requires, at least two, and drains replicas in excess.
func chaseDemand(f *fleet, d deployment, demand map[string]Demand) []Step {
	b := newBaseline(f, d)
	models := d.qualifiedModels()
	replicas := func(m desired.Model) int {
		return max(2, int(math.Ceil(demand[m.Name].Short/(engineRate/2))))
	}
	ready := f.readyReplicas()
	for _, m := range models {
		b.chase(m, replicas(m), ready)
	}
	for _, r := range f.residents {
		if r.State == wire.ResidentState_RESIDENT_STATE_DRAINING && !b.busy[r.Endpoint] && f.endpoint(r.Endpoint).Reachable {
			b.busy[r.Endpoint] = true
			b.steps = append(b.steps, Step{Action: Unload, Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter})
		}
	}
	return b.steps
}

// chase adds the steps that load or drain replicas of one model towards the target
// number.
func (b *baseline) chase(m desired.Model, target int, ready map[string]int) {
	have := 0
	for _, e := range b.f.endpoints {
		r := b.residents[Step{Endpoint: e.Id, Model: m.Name, Version: m.Version}]
		if r == nil || !e.Reachable || r.State == wire.ResidentState_RESIDENT_STATE_DRAINING || r.State == wire.ResidentState_RESIDENT_STATE_UNLOADING {
			continue
		}
		have++
		if have > target && ready[m.Name] > target {
			ready[m.Name]--
			b.drain(e, m)
			continue
		}
		b.assignedEngines[m.Name] = append(b.assignedEngines[m.Name], e)
		b.ensure(e, m)
	}
	byFree := slices.Clone(b.f.endpoints)
	slices.SortStableFunc(byFree, func(x, y *wire.Endpoint) int { return cmp.Compare(b.charged[x.Id], b.charged[y.Id]) })
	for _, e := range byFree {
		if have >= target {
			return
		}
		s := Step{Endpoint: e.Id, Model: m.Name, Version: m.Version}
		if e.Reachable && b.residents[s] == nil && (have > 1 || !b.sameDomain(m.Name, e)) && b.load(s, (m.MemoryMB+m.HeadroomMB)*bytesPerMB) {
			have++
		}
	}
}

func (b *baseline) drain(e *wire.Endpoint, m desired.Model) {
	for _, r := range b.f.residents {
		if r.Endpoint == e.Id && r.Model == m.Name && r.State == wire.ResidentState_RESIDENT_STATE_READY {
			b.steps = append(b.steps, Step{Action: Drain, Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter})
		}
	}
}
