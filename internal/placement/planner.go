package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/wire"
)

// lastReplicaGrace is how long the last replica of a model still counts after its
// engine becomes unresponsive, so that one late response causes no load.
const lastReplicaGrace = time.Second

// engine is the planner's state of one engine.
type engine struct {
	vm *wire.Endpoint
	// usable engines are reachable, not leaving, and have a recorded incarnation.
	// Only they get loads and serve requests.
	usable          bool
	unstable        bool
	busy            bool
	unresponsiveFor time.Duration
	// free is the memory that is neither charged nor reserved by this plan.
	free uint64
	// requestRate is the expected demand on the engine, in requests per second.
	requestRate float64
	residents   []*wire.Resident
}

func (e *engine) find(model, version, adapter string) *wire.Resident {
	for _, r := range e.residents {
		if r.Model == model && r.Version == version && r.Adapter == adapter {
			return r
		}
	}
	return nil
}

// reserve withholds free memory from the rest of the plan, for a model or adapter
// that is to be loaded here.
func (e *engine) reserve(bytes uint64) { e.free -= min(e.free, bytes) }

// planner builds one plan.
type planner struct {
	in               Input
	models           []*declaredModel
	byName           map[string]*declaredModel
	engines          []*engine
	drained          map[*wire.Resident]bool
	evictionSearches int
	// modelLoads, modelStarts and adapterLoads are the remaining budgets.
	modelLoads   int
	modelStarts  int
	adapterLoads int
	result       Result
}

func newPlanner(in Input) *planner {
	p := &planner{
		in: in, byName: map[string]*declaredModel{}, drained: map[*wire.Resident]bool{},
		modelLoads: in.Budget.ModelLoads, modelStarts: in.Budget.ModelStarts, adapterLoads: in.Budget.AdapterLoads,
	}
	p.addModels()
	p.addEngines()
	p.distributeDemand()
	return p
}

func (p *planner) addModels() {
	for _, s := range p.in.Sections {
		priority := int32(math.MaxInt32)
		for _, c := range s.Classes {
			priority = min(priority, c.Priority)
		}
		for _, m := range s.Models {
			declared := &declaredModel{
				team: s.Team, name: desired.FullName(s.Team, m.Name), version: m.Version, priority: priority,
				memory: (m.MemoryMB + m.HeadroomMB) * bytesPerMB, declaredReplicas: max(1, m.Replicas),
				adapters: m.Adapters, adapterReplicas: map[string][]replica{},
			}
			declared.demand = p.in.Policy.estimate(p.in.Demand[declared.name])
			p.models = append(p.models, declared)
			p.byName[declared.name] = declared
		}
	}
	slices.SortStableFunc(p.models, func(a, b *declaredModel) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(b.memory, a.memory), cmp.Compare(a.name, b.name))
	})
}

func (p *planner) addEngines() {
	byID := map[string]*engine{}
	for _, vm := range p.in.Endpoints {
		if vm.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		health, known := p.in.Health[vm.Id]
		e := &engine{vm: vm, usable: vm.Reachable && !vm.Leaving && vm.Incarnation != "", unstable: health.Unstable, free: vm.MemoryBytes, unresponsiveFor: health.UnresponsiveFor}
		switch {
		case vm.Reachable:
			e.unresponsiveFor = 0
		case !known:
			e.unresponsiveFor = math.MaxInt64
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
		// Loads open on an unusable engine, for example a paused one, must not use
		// up the budget of the others.
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
	m := p.byName[r.Model]
	switch {
	case m == nil:
	case r.Adapter == "":
		m.residents = append(m.residents, replica{e, r})
	case r.Version == m.version:
		m.adapterReplicas[r.Adapter] = append(m.adapterReplicas[r.Adapter], replica{e, r})
	}
}

func (p *planner) countLoad(adapter string) {
	if adapter == "" {
		p.modelLoads--
	} else {
		p.adapterLoads--
	}
}

// distributeDemand splits the demand for each model evenly among its replicas.
func (p *planner) distributeDemand() {
	for _, m := range p.models {
		replicas := p.servingOrLoading(m, 0)
		for _, x := range replicas {
			x.engine.requestRate += m.demand / float64(len(replicas))
		}
	}
}

// isAvailable reports whether the engine is not leaving and is reachable or has
// been unresponsive for less than the grace period.
func (e *engine) isAvailable(grace time.Duration) bool {
	return e.vm.Incarnation != "" && !e.vm.Leaving && (e.vm.Reachable || e.unresponsiveFor < grace)
}

// servingOrLoading returns the replicas of the declared version that serve or are
// being loaded on available engines.
func (p *planner) servingOrLoading(m *declaredModel, grace time.Duration) []replica {
	var out []replica
	for _, x := range m.residents {
		loading := x.resident.State == wire.ResidentState_RESIDENT_STATE_LOADING
		if x.resident.Version == m.version && x.engine.isAvailable(grace) && (loading || p.serves(x)) {
			out = append(out, x)
		}
	}
	return out
}

// serves reports whether the resident is ready and not drained by this plan.
func (p *planner) serves(x replica) bool {
	return x.resident.State == wire.ResidentState_RESIDENT_STATE_READY && !p.drained[x.resident]
}

// serving returns the replicas of the version that serve on usable engines. An
// empty version stands for any version.
func (p *planner) serving(replicas []replica, version string) []replica {
	var out []replica
	for _, x := range replicas {
		if x.engine.usable && p.serves(x) && (version == "" || x.resident.Version == version) {
			out = append(out, x)
		}
	}
	return out
}

func (p *planner) addUnmet(m *declaredModel, adapter, reason string) {
	p.result.Unmet = append(p.result.Unmet, Unmet{Team: m.team, Model: m.name, Version: m.version, Adapter: adapter, Reason: reason})
}

// load adds a load step if the engine is not busy. It reserves the memory in any
// case, so that no other step of this plan uses it.
func (p *planner) load(e *engine, m *declaredModel, adapter string, memory uint64, reason string) {
	r := &wire.Resident{
		Endpoint: e.vm.Id, Model: m.name, Version: m.version, Adapter: adapter,
		MemoryBytes: memory, State: wire.ResidentState_RESIDENT_STATE_LOADING,
	}
	e.reserve(memory)
	if !e.busy {
		e.busy = true
		p.countLoad(adapter)
		if adapter == "" {
			p.modelStarts--
		}
		p.result.Steps = append(p.result.Steps, Step{
			Action: Load, Endpoint: e.vm.Id, Model: m.name, Version: m.version, Adapter: adapter, Memory: memory, Reason: reason,
		})
	}
	if adapter == "" {
		e.requestRate += m.demand / float64(len(m.residents)+1)
	}
	p.addResident(e, r)
}

// drainModel drains a model with its adapters on one engine.
func (p *planner) drainModel(x replica, reason string) {
	for _, r := range x.engine.residents {
		same := r.Model == x.resident.Model && r.Version == x.resident.Version
		if same && (r.Adapter != "" || r == x.resident) {
			p.drainResident(r, reason)
		}
	}
}

func (p *planner) drainResident(r *wire.Resident, reason string) {
	if r.State != wire.ResidentState_RESIDENT_STATE_READY || p.drained[r] {
		return
	}
	p.drained[r] = true
	p.result.Steps = append(p.result.Steps, Step{Action: Drain, Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter, Reason: reason})
}
