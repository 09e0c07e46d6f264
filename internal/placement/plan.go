package placement

import (
	"cmp"
	"slices"
	"time"

	"parsleyramp/internal/closing"
	"parsleyramp/internal/wire"
)

// Budget bounds what may be in flight at the weight store.
type Budget struct {
	// ModelLoads and AdapterLoads are how many may be in flight at once.
	ModelLoads   int
	AdapterLoads int
}

// Health is how steady an engine has been.
type Health struct {
	// LostFor is how long the engine has not answered; zero while it answers.
	LostFor time.Duration
	// Unstable engines came back a short while ago and are avoided.
	Unstable bool
}

// Input is everything that a plan depends on.
type Input struct {
	Sections  []*closing.Section
	Endpoints []*wire.Endpoint
	Residents []*wire.Resident
	Orders    []*wire.Order
	// Idle reports that no request runs on a draining resident any more.
	Idle   func(*wire.Resident) bool
	Budget Budget
}

// Action is what a step does to a resident.
type Action int

// Actions of a step.
const (
	Load Action = iota
	Drain
	Unload
)

// Step is one change of what is resident, with the reason for operators.
type Step struct {
	Action   Action
	Endpoint string
	Model    string
	Version  string
	Adapter  string
	Memory   uint64
	Reason   string
}

const bytesPerMB = 1 << 20

// wanted is one declared model.
type wanted struct {
	team     string
	name     string
	version  string
	memory   uint64
	replicas int
	adapters []closing.Adapter
}

// Plan returns the next steps towards the declared state. Calling it again
// after they were carried out leads on.
func Plan(in Input) []Step {
	p := newPlanner(in)
	for _, w := range p.wanted {
		p.placeModel(w)
	}
	for _, w := range p.wanted {
		p.placeAdapters(w)
	}
	p.retire()
	return p.steps
}

type planner struct {
	in      Input
	wanted  []wanted
	engines []*engine
	steps   []Step
	// modelLoads and adapterLoads are in flight, with those of this plan.
	modelLoads   int
	adapterLoads int
}

// engine is the planner's picture of one engine.
type engine struct {
	vm        *wire.Endpoint
	usable    bool
	busy      bool
	free      uint64
	residents []*wire.Resident
}

func newPlanner(in Input) *planner {
	p := &planner{in: in}
	byID := map[string]*engine{}
	for _, vm := range in.Endpoints {
		if vm.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		e := &engine{vm: vm, usable: vm.Reachable && !vm.Leaving && vm.Incarnation != "", free: vm.MemoryBytes}
		byID[vm.Id] = e
		p.engines = append(p.engines, e)
	}
	for _, r := range in.Residents {
		if e := byID[r.Endpoint]; e != nil {
			e.residents = append(e.residents, r)
			e.free -= min(e.free, r.MemoryBytes)
		}
	}
	for _, o := range in.Orders {
		if e := byID[o.Endpoint]; e != nil {
			e.busy = true
		}
		p.countLoad(o.Kind == wire.OrderKind_ORDER_KIND_LOAD, o.Adapter)
	}
	for _, s := range in.Sections {
		for _, m := range s.Models {
			p.wanted = append(p.wanted, wanted{
				team: s.Team, name: closing.FullName(s.Team, m.Name), version: m.Version,
				memory: (m.MemoryMB + m.HeadroomMB) * bytesPerMB, replicas: max(1, m.Replicas), adapters: m.Adapters,
			})
		}
	}
	return p
}

func (p *planner) countLoad(isLoad bool, adapter string) {
	switch {
	case !isLoad:
	case adapter == "":
		p.modelLoads++
	default:
		p.adapterLoads++
	}
}

// has reports whether the engine holds, or is loading, a resident.
func (e *engine) find(model, version, adapter string) *wire.Resident {
	for _, r := range e.residents {
		if r.Model == model && r.Version == version && r.Adapter == adapter {
			return r
		}
	}
	return nil
}

func serving(r *wire.Resident) bool {
	return r.GetState() == wire.ResidentState_RESIDENT_STATE_READY
}

func coming(r *wire.Resident) bool {
	return serving(r) || r.GetState() == wire.ResidentState_RESIDENT_STATE_LOADING
}

// placeModel loads the model until it has its replicas, spreading them over
// failure domains.
func (p *planner) placeModel(w wanted) {
	have := 0
	domains := map[string]bool{}
	for _, e := range p.engines {
		if e.usable && coming(e.find(w.name, w.version, "")) {
			have++
			domains[e.vm.Domain] = true
		}
	}
	for have < w.replicas && p.modelLoads < p.in.Budget.ModelLoads {
		e := p.bestEngine(w, domains)
		if e == nil {
			return
		}
		p.load(e, Step{Action: Load, Endpoint: e.vm.Id, Model: w.name, Version: w.version, Memory: w.memory, Reason: "declared model lacks a replica"})
		domains[e.vm.Domain] = true
		have++
	}
}

// bestEngine returns the engine with room, preferring another failure domain
// and then the most free memory.
func (p *planner) bestEngine(w wanted, domains map[string]bool) *engine {
	var candidates []*engine
	for _, e := range p.engines {
		if e.usable && !e.busy && e.free >= w.memory && e.find(w.name, w.version, "") == nil {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *engine) int {
		return cmp.Or(
			compareBool(domains[a.vm.Domain], domains[b.vm.Domain]),
			cmp.Compare(b.free, a.free),
			cmp.Compare(a.vm.Id, b.vm.Id),
		)
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (p *planner) load(e *engine, s Step) {
	p.steps = append(p.steps, s)
	p.countLoad(true, s.Adapter)
	e.busy = true
	e.free -= s.Memory
	e.residents = append(e.residents, &wire.Resident{
		Endpoint: s.Endpoint, Model: s.Model, Version: s.Version, Adapter: s.Adapter,
		MemoryBytes: s.Memory, State: wire.ResidentState_RESIDENT_STATE_LOADING,
	})
}

// placeAdapters loads every adapter of the model wherever the model serves.
func (p *planner) placeAdapters(w wanted) {
	for _, e := range p.engines {
		if !e.usable || !serving(e.find(w.name, w.version, "")) {
			continue
		}
		for _, a := range w.adapters {
			memory := a.MemoryMB * bytesPerMB
			if e.busy || p.adapterLoads >= p.in.Budget.AdapterLoads || memory > e.free || e.find(w.name, w.version, adapterName(a)) != nil {
				continue
			}
			p.load(e, Step{Action: Load, Endpoint: e.vm.Id, Model: w.name, Version: w.version, Adapter: adapterName(a), Memory: memory, Reason: "declared adapter is not resident"})
		}
	}
}

// adapterName is the name under which an adapter's version is resident.
func adapterName(a closing.Adapter) string { return a.Name + "@" + a.Version }

// retire drains what is no longer wanted and unloads what has drained. An old
// version goes only once its successor serves.
func (p *planner) retire() {
	for _, e := range p.engines {
		for _, r := range e.residents {
			switch r.State {
			case wire.ResidentState_RESIDENT_STATE_READY:
				if reason := p.unwanted(r); reason != "" {
					p.steps = append(p.steps, Step{Action: Drain, Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter, Reason: reason})
				}
			case wire.ResidentState_RESIDENT_STATE_DRAINING:
				if !e.busy && p.in.Idle(r) && !hasAdapters(e, r) {
					e.busy = true
					p.steps = append(p.steps, Step{Action: Unload, Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter, Reason: "drained"})
				}
			}
		}
	}
}

func hasAdapters(e *engine, r *wire.Resident) bool {
	return r.Adapter == "" && slices.ContainsFunc(e.residents, func(x *wire.Resident) bool {
		return x.Model == r.Model && x.Version == r.Version && x.Adapter != ""
	})
}

// unwanted returns why a ready resident should go, or "".
func (p *planner) unwanted(r *wire.Resident) string {
	at := slices.IndexFunc(p.wanted, func(w wanted) bool { return w.name == r.Model })
	if at < 0 {
		return "no longer declared"
	}
	w := p.wanted[at]
	if w.version != r.Version {
		if p.serves(w.name, w.version, "") {
			return "replaced by version " + w.version
		}
		return ""
	}
	if r.Adapter != "" && !slices.ContainsFunc(w.adapters, func(a closing.Adapter) bool { return adapterName(a) == r.Adapter }) {
		return "adapter no longer declared"
	}
	return ""
}

func (p *planner) serves(model, version, adapter string) bool {
	return slices.ContainsFunc(p.engines, func(e *engine) bool {
		return e.usable && serving(e.find(model, version, adapter))
	})
}

// String returns the action's name.
func (a Action) String() string {
	switch a {
	case Load:
		return "load"
	case Drain:
		return "drain"
	}
	return "unload"
}

// Command returns the command that records the step, for the term's leader
// and the engine's incarnation on record.
func (step Step) Command(term uint64, incarnation string) *wire.Command {
	if step.Action == Drain {
		return &wire.Command{Body: &wire.Command_SetResident{SetResident: &wire.SetResident{
			Endpoint: step.Endpoint, Model: step.Model, Version: step.Version, Adapter: step.Adapter,
			State: wire.ResidentState_RESIDENT_STATE_DRAINING,
		}}}
	}
	kind := wire.OrderKind_ORDER_KIND_LOAD
	if step.Action == Unload {
		kind = wire.OrderKind_ORDER_KIND_UNLOAD
	}
	return &wire.Command{Body: &wire.Command_IssueOrder{IssueOrder: &wire.IssueOrder{Order: &wire.Order{
		FenceTerm: term, Kind: kind, Endpoint: step.Endpoint, Model: step.Model, Version: step.Version,
		Adapter: step.Adapter, MemoryBytes: step.Memory, Incarnation: incarnation, Reason: step.Reason,
	}}}}
}
