package residency

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Engine is the state of one engine in the plan.
type Engine struct {
	ID string
	// Version is that of its software; empty if it is not known.
	Version string
	// CapacityMB bounds the memory of models and adapters. UsedMB is the memory that
	// they occupy now, including those that may still be loaded.
	CapacityMB float64
	UsedMB     float64
	// Models that it holds or is loading, without those that are being unloaded.
	Models map[string]bool
	// Busy engines are executing a step or have an order with an unknown outcome.
	// Unavailable engines are leaving or do not respond. Neither gets another step.
	Busy        bool
	Unavailable bool
	// Crashed is set if the process has ended: one that starts in its place holds none of the
	// models.
	Crashed bool
	// Cached are models whose weights the engine has in its own memory or on its disk.
	Cached map[string]bool
	// Speed is how fast it serves requests, as a ratio of the usual speed; zero if unknown,
	// which counts as usual.
	Speed float64
	// Loaded are the last loads of models; a model whose load is not known is taken for one
	// that was loaded long ago.
	Loaded map[string]Loaded
}

// Model is one declared model.
type Model struct {
	Name string
	MB   float64
	// Demand is how many slots of engines its requests occupy on average, and
	// Forecast the demand that it is expected to rise to, at least Demand.
	Demand   float64
	Forecast float64
	// UrgentDemand is the part of Demand that is of requests with a short target latency, and
	// Patience the shortest target latency of the requests; zero if it is not known. Then all
	// demand counts as urgent.
	UrgentDemand float64
	Patience     time.Duration
	// Load is the time for a load from the weight store, and LoadFromMemory for one of weights
	// that the engine has.
	Load, LoadFromMemory time.Duration
	// Adapters is how many of its adapters are in use.
	Adapters int
	// Requested is set while clients wait for a model that no engine holds.
	Requested bool
	// Waited is how long they have waited.
	Waited time.Duration
	// RequestedVersions are the software versions on whose engines clients wait for the
	// model: streams that those began go on only there.
	RequestedVersions []string
}

// Input is the complete input of a plan.
type Input struct {
	Engines []Engine
	Models  []Model
	// Slots is how many concurrent requests one engine serves.
	Slots int
	// AdapterSlots is how many adapters one engine can hold.
	AdapterSlots int
	// MaxStoreLoads bounds the loads from the weight store that the plan starts, and
	// MaxIdleStoreLoads those of models that nobody uses or whose requests can still wait.
	MaxStoreLoads, MaxIdleStoreLoads int
	// DemandUnknown is set while demand has not been measured for long enough. Then only
	// models that clients wait for are loaded, and nothing is unloaded.
	DemandUnknown bool
}

// Step changes which models one engine holds: it unloads models to free memory and
// then loads another one.
type Step struct {
	Engine string
	Unload []string
	// Reasons are those for which the models are unloaded, in the same order.
	Reasons []Reason
	Load    string
	// FromStore is set if the weights are loaded from the weight store.
	FromStore bool
}

const (
	// targetUtilization is the share of an engine's slots that the demand of a model
	// may occupy before the model gets another replica.
	targetUtilization = 0.45
	// maxSecondReplicaDemand, in slots, and secondReplicaShare, as a share of an engine's
	// slots, are the demands from the lower of which a model gets a second replica, so that it
	// stays available if one engine is lost.
	maxSecondReplicaDemand = 7.0
	secondReplicaShare     = 0.3
	// cachedWeightsGain is the gain, as a share of an engine's slots, of a load that does not
	// need the weight store.
	cachedWeightsGain = 0.15
	// adapterWeight is the load, in slots, that an adapter in use counts for, so that
	// models with many adapters do not share an engine.
	adapterWeight = 0.5
	// loadResolution is how many parts of a slot the expected loads of engines are rounded to.
	// Sums of such parts are exact, so that the order of the models does not matter.
	loadResolution = 1 << 20
	// unloadCost is the cost, in slots, of each unload before a load.
	unloadCost = 1.5
	// maxDisplacedLoadRatio bounds the demand per remaining replica of a model that
	// loses a replica, as a ratio of that of the model which replaces it. It
	// prevents two models from displacing each other in turn.
	maxDisplacedLoadRatio = 0.6
	// overloadedUtilization is the share of an engine's slots that the demand of a model
	// occupies for each replica if the model is overloaded.
	overloadedUtilization = 0.5
	// restCost is the cost, in slots, of unloading the only replica of an idle model, which
	// has to return when it is requested.
	restCost = 3.0
)

// Plan returns the steps to start now, in order of priority, at most one for each
// engine.
func Plan(in Input) []Step {
	p := newPlanner(in)
	p.placeRequestedVersions()
	for _, m := range p.byPriority() {
		for p.deficit(m) > 0 && (m.Requested || !in.DemandUnknown) {
			s, ok := p.cheapestStep(m, "")
			if !ok && !m.idle() && !in.DemandUnknown && !p.patient(m) {
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
	// storeLoads counts the loads from the weight store in the plan.
	storeLoads int
	// copies counts the engines that have the weights of a model in their memory or on disk.
	copies map[string]int
	// extra is how many more replicas of usual speed the replicas of a model are worth.
	extra map[string]float64
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
			p.addExtra(m, e.speed()-1)
		}
	}
	p.countCopies()
	return p
}

// forecastReplicas returns how many replicas the model needs for its forecast demand. A
// model that only patient requests ask for needs none ahead of its demand.
func (p *planner) forecastReplicas(m *Model) int {
	switch {
	case !m.PatientOnly():
		return p.replicasFor(m, max(m.Forecast, m.Demand))
	case p.hasNoWaiters(m):
		return 0
	}
	return p.patientReplicas(m)
}

// neededReplicas returns how many replicas the model needs for its current demand.
// Replicas beyond that may be unloaded.
func (p *planner) neededReplicas(m *Model) int {
	if m.PatientOnly() {
		return p.patientReplicas(m)
	}
	return p.replicasFor(m, m.Demand)
}

// replicasFor returns how many replicas a model with urgent requests needs for the demand, of
// which the urgent part needs more room.
func (p *planner) replicasFor(m *Model, demand float64) int {
	slots := float64(max(p.in.Slots, 1))
	urgent := demand * m.urgentShare()
	extra := p.extra[m.Name]
	n := max(int(math.Ceil(urgent/(targetUtilization*slots)-extra)), int(math.Ceil(demand/(patientUtilization*slots)-extra)), 1)
	if m.Adapters > 0 && p.in.AdapterSlots > 0 {
		n = max(n, int(math.Ceil(float64(m.Adapters)/float64(p.in.AdapterSlots))))
	}
	if urgent >= p.secondReplicaDemand() {
		n = max(n, 2)
	}
	return min(n, len(p.engines))
}

// secondReplicaDemand returns the demand, in slots, from which a model gets a second replica.
func (p *planner) secondReplicaDemand() float64 {
	return min(maxSecondReplicaDemand, secondReplicaShare*float64(p.in.Slots))
}

func (p *planner) deficit(m *Model) int { return p.forecastReplicas(m) - p.replicas[m.Name] }

// byPriority returns the models that lack replicas: first those without a replica that
// clients wait for, then the others in use without a replica, then those with the highest
// urgent demand per replica, then those whose requests can wait, and last those that nobody
// uses.
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
	u := max(m.Forecast, m.Demand) * m.urgentShare() / float64(p.replicas[m.Name]+1)
	if m.PatientOnly() {
		u = m.Waited.Seconds() / m.Patience.Seconds()
	}
	if p.patient(m) && !m.idle() {
		return patientPriority * (1 + u)
	}
	switch {
	case p.replicas[m.Name] > 0 || m.idle():
	case m.Requested:
		u += requestedBonus
	default:
		u += noReplicaBonus
	}
	return u
}

// idle reports whether nobody uses the model.
func (m *Model) idle() bool { return m.Demand == 0 && m.Forecast == 0 && !m.Requested }

// placeRequestedVersions adds a step for each version on which clients wait for a model that
// no engine of the version holds.
func (p *planner) placeRequestedVersions() {
	for i := range p.in.Models {
		m := &p.in.Models[i]
		for _, version := range m.RequestedVersions {
			if p.heldAt(m.Name, version) {
				continue
			}
			if s, ok := p.cheapestStep(m, version); ok {
				p.add(s)
			}
		}
	}
}

// heldAt reports whether an engine of the version that has not crashed holds the model or is
// loading it.
func (p *planner) heldAt(model, version string) bool {
	return slices.ContainsFunc(p.engines, func(e *Engine) bool { return !e.Crashed && e.Version == version && e.Models[model] })
}

// cheapestStep returns the step that loads the model at the lowest cost, on an engine of the
// version if that is not empty.
func (p *planner) cheapestStep(m *Model, version string) (Step, bool) {
	var best Step
	var bestEngine *Engine
	bestCost := math.Inf(1)
	onlyCached := m.PatientOnly() && p.awaitsCopy(m)
	for _, e := range p.engines {
		if !p.available(e) || e.Models[m.Name] || version != "" && e.Version != version || onlyCached && !e.Cached[m.Name] {
			continue
		}
		if s, cost, ok := p.loadStep(e, m); ok && cost < bestCost {
			best, bestEngine, bestCost = s, e, cost
		}
	}
	for _, name := range best.Unload {
		_, reason := p.evictionCost(m, name, bestEngine)
		best.Reasons = append(best.Reasons, reason)
	}
	return best, bestEngine != nil
}

func (p *planner) available(e *Engine) bool { return !e.Busy && !e.Crashed && !p.hasStep[e.ID] }

// loadStep returns the step that loads the model on the engine, and its cost in slots.
func (p *planner) loadStep(e *Engine, m *Model) (Step, float64, bool) {
	cached := e.Cached[m.Name]
	if e.CapacityMB < m.MB || !cached && p.storeLoads >= p.maxStoreLoads(m) {
		return Step{}, 0, false
	}
	s := Step{Engine: e.ID, Load: m.Name, FromStore: !cached}
	cost := p.loadCost(e, m)
	if cached {
		cost -= cachedWeightsGain * float64(p.in.Slots)
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

// maxStoreLoads bounds the loads from the weight store that the plan starts up to the model.
func (p *planner) maxStoreLoads(m *Model) int {
	if m.idle() || p.patient(m) {
		return p.in.MaxIdleStoreLoads
	}
	return p.in.MaxStoreLoads
}

// size returns the memory of the model in MB. It is zero for a model that is no
// longer declared, so that the plan does not rely on memory freed by it.
func (p *planner) size(name string) float64 {
	if m := p.models[name]; m != nil {
		return m.MB
	}
	return 0
}

// expectedLoad returns the demand, in slots, that the engine is expected to serve.
func (p *planner) expectedLoad(e *Engine) float64 {
	sum := 0.0
	for name := range e.Models {
		if m := p.models[name]; m != nil {
			replicas := float64(max(p.replicas[name], 1))
			load := m.Demand/replicas + adapterWeight*float64(m.Adapters)/replicas
			sum += math.Round(load*loadResolution) / loadResolution
		}
	}
	return sum
}

// add adds a step to the plan and applies it to the state that later steps rely on.
func (p *planner) add(s Step) {
	p.steps = append(p.steps, s)
	p.hasStep[s.Engine] = true
	speed := 1.0
	if p.extra != nil {
		speed = p.engines[slices.IndexFunc(p.engines, func(e *Engine) bool { return e.ID == s.Engine })].speed()
	}
	for _, name := range s.Unload {
		p.replicas[name]--
		p.addExtra(name, 1-speed)
	}
	p.replicas[s.Load]++
	p.addExtra(s.Load, speed-1)
	if s.FromStore {
		p.storeLoads++
	}
}
