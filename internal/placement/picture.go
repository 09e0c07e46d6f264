package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"parsleyramp/internal/closing"
	"parsleyramp/internal/wire"
)

// lostGrace is how long a lost engine's only replicas still count, so that
// one late answer causes no load.
const lostGrace = time.Second

// engine is the planner's picture of one engine.
type engine struct {
	vm *wire.Endpoint
	// usable engines take loads; serving ones answer requests.
	usable   bool
	unstable bool
	busy     bool
	lostFor  time.Duration
	// free is neither charged nor held back for a model that waits for room.
	free uint64
	// load is the demand that reaches the engine, in requests a second.
	load      float64
	residents []*wire.Resident
}

func (e *engine) find(model, version, adapter string) *wire.Resident {
	for _, r := range e.residents {
		if r.Model == model && r.Version == version && r.Adapter == adapter {
			return r
		}
	}
	return nil
}

// hold keeps free memory for a model that waits for room here.
func (e *engine) hold(bytes uint64) { e.free -= min(e.free, bytes) }

// planner builds one plan.
type planner struct {
	in       Input
	wanted   []*wanted
	byName   map[string]*wanted
	engines  []*engine
	drained  map[*wire.Resident]bool
	searches int
	// modelLoads, modelStarts and adapterLoads are what the budgets still allow.
	modelLoads   int
	modelStarts  int
	adapterLoads int
	result       Result
}

func newPlanner(in Input) *planner {
	p := &planner{
		in: in, byName: map[string]*wanted{}, drained: map[*wire.Resident]bool{},
		modelLoads: in.Budget.ModelLoads, modelStarts: in.Budget.ModelStarts, adapterLoads: in.Budget.AdapterLoads,
	}
	p.addWanted()
	p.addEngines()
	p.spreadLoad()
	return p
}

func (p *planner) addWanted() {
	for _, s := range p.in.Sections {
		urgency := int32(math.MaxInt32)
		for _, c := range s.Classes {
			urgency = min(urgency, c.Priority)
		}
		for _, m := range s.Models {
			w := &wanted{
				team: s.Team, name: closing.FullName(s.Team, m.Name), version: m.Version, urgency: urgency,
				memory: (m.MemoryMB + m.HeadroomMB) * bytesPerMB, replicas: max(1, m.Replicas),
				adapters: m.Adapters, homes: map[string][]placed{},
			}
			w.demand = p.in.Policy.estimate(p.in.Demand[w.name])
			p.wanted = append(p.wanted, w)
			p.byName[w.name] = w
		}
	}
	slices.SortStableFunc(p.wanted, func(a, b *wanted) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(b.memory, a.memory), cmp.Compare(a.name, b.name))
	})
}

func (p *planner) addEngines() {
	byID := map[string]*engine{}
	for _, vm := range p.in.Endpoints {
		if vm.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		health, known := p.in.Health[vm.Id]
		e := &engine{vm: vm, usable: vm.Reachable && !vm.Leaving && vm.Incarnation != "", unstable: health.Unstable, free: vm.MemoryBytes, lostFor: health.LostFor}
		switch {
		case vm.Reachable:
			e.lostFor = 0
		case !known:
			e.lostFor = math.MaxInt64
		}
		byID[vm.Id] = e
		p.engines = append(p.engines, e)
	}
	for _, o := range p.in.Orders {
		e := byID[o.Endpoint]
		if e == nil {
			continue
		}
		e.busy = true
		// A frozen engine must not use up what the others need.
		if e.usable && o.Kind == wire.OrderKind_ORDER_KIND_LOAD {
			p.countLoad(o.Adapter)
		}
	}
	for _, r := range p.in.Residents {
		if e := byID[r.Endpoint]; e != nil {
			e.free -= min(e.free, r.MemoryBytes)
			p.addResident(e, r)
		}
	}
}

func (p *planner) addResident(e *engine, r *wire.Resident) {
	e.residents = append(e.residents, r)
	w := p.byName[r.Model]
	switch {
	case w == nil:
	case r.Adapter == "":
		w.held = append(w.held, placed{e, r})
	case r.Version == w.version:
		w.homes[r.Adapter] = append(w.homes[r.Adapter], placed{e, r})
	}
}

func (p *planner) countLoad(adapter string) {
	if adapter == "" {
		p.modelLoads--
	} else {
		p.adapterLoads--
	}
}

// spreadLoad gives every engine its models' shares of the demand.
func (p *planner) spreadLoad() {
	for _, w := range p.wanted {
		replicas := p.coming(w, 0)
		for _, x := range replicas {
			x.engine.load += w.demand / float64(len(replicas))
		}
	}
}

// stays reports whether the engine answers, or has been lost for no longer
// than the grace.
func (e *engine) stays(grace time.Duration) bool {
	return e.vm.Incarnation != "" && !e.vm.Leaving && (e.vm.Reachable || e.lostFor < grace)
}

// coming returns the replicas of the declared version that serve or load.
func (p *planner) coming(w *wanted, grace time.Duration) []placed {
	var out []placed
	for _, x := range w.held {
		loading := x.resident.State == wire.ResidentState_RESIDENT_STATE_LOADING
		if x.resident.Version == w.version && x.engine.stays(grace) && (loading || p.serves(x)) {
			out = append(out, x)
		}
	}
	return out
}

// serves reports whether the resident is ready and not drained by this plan.
func (p *planner) serves(x placed) bool {
	return x.resident.State == wire.ResidentState_RESIDENT_STATE_READY && !p.drained[x.resident]
}

// serving returns what serves of the model or, where version is "", of any
// version of it.
func (p *planner) serving(list []placed, version string) []placed {
	var out []placed
	for _, x := range list {
		if x.engine.usable && p.serves(x) && (version == "" || x.resident.Version == version) {
			out = append(out, x)
		}
	}
	return out
}

func (p *planner) unmet(w *wanted, adapter, reason string) {
	p.result.Unmet = append(p.result.Unmet, Unmet{Team: w.team, Model: w.name, Version: w.version, Adapter: adapter, Reason: reason})
}

// load adds a step where the engine is not busy, and takes the memory in any
// case, so that nothing else of this plan does.
func (p *planner) load(e *engine, w *wanted, adapter string, memory uint64, reason string) {
	r := &wire.Resident{
		Endpoint: e.vm.Id, Model: w.name, Version: w.version, Adapter: adapter,
		MemoryBytes: memory, State: wire.ResidentState_RESIDENT_STATE_LOADING,
	}
	e.hold(memory)
	if !e.busy {
		e.busy = true
		p.countLoad(adapter)
		if adapter == "" {
			p.modelStarts--
		}
		p.result.Steps = append(p.result.Steps, Step{
			Action: Load, Endpoint: e.vm.Id, Model: w.name, Version: w.version, Adapter: adapter, Memory: memory, Reason: reason,
		})
	}
	if adapter == "" {
		e.load += w.demand / float64(len(w.held)+1)
	}
	p.addResident(e, r)
}

// drain takes a model with its adapters out of service on one engine.
func (p *planner) drain(x placed, reason string) {
	for _, r := range x.engine.residents {
		same := r.Model == x.resident.Model && r.Version == x.resident.Version
		if same && (r.Adapter != "" || r == x.resident) {
			p.drainOne(r, reason)
		}
	}
}

func (p *planner) drainOne(r *wire.Resident, reason string) {
	if r.State != wire.ResidentState_RESIDENT_STATE_READY || p.drained[r] {
		return
	}
	p.drained[r] = true
	p.result.Steps = append(p.result.Steps, Step{Action: Drain, Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter, Reason: reason})
}
