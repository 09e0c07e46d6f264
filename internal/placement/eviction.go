package placement

import (
	"cmp"
	"fmt"
	"slices"

	"parsleyramp/internal/wire"
)

// maxEvictionSearches limits the searches for an eviction in one plan.
const maxEvictionSearches = 8

// Costs of the ways to free memory, in model loads.
const (
	costDrain    = 1
	costRelocate = 4
)

// evictionFilter reports whether a model may lose a replica if left replicas
// still serve without it.
type evictionFilter func(victim *declaredModel, left int) bool

// eviction is a set of residents to remove from one engine.
type eviction struct {
	engine *engine
	cost   int
	// drains also serve elsewhere; relocations must first be loaded elsewhere.
	drains      []replica
	relocations []replica
}

// freeMemory starts to free memory for a model that fits on no engine. It
// returns the engine, or nil if no eviction is possible. The freed memory is
// reserved for the model.
func (p *planner) freeMemory(m *declaredModel, bytes uint64, allowed evictionFilter) *engine {
	best := p.cheapestEviction(m, bytes, nil, allowed)
	if best == nil {
		return nil
	}
	p.evict(best, m, bytes)
	return best.engine
}

// freeAdapterMemory starts to free memory for an adapter on the engine of one of
// the replicas, and returns why the adapter is not in service.
func (p *planner) freeAdapterMemory(replicas []replica, memory uint64, m *declaredModel) string {
	best := p.cheapestEviction(m, memory, replicas, func(*declaredModel, int) bool { return true })
	if best == nil {
		return "no replica of its model has memory for it"
	}
	p.evict(best, m, memory)
	return "waiting for memory on " + best.engine.vm.Id
}

func (p *planner) insufficientMemoryReason(m *declaredModel) string {
	need := m.memory / bytesPerMB
	largest := uint64(0)
	for _, e := range p.engines {
		if e.usable {
			largest = max(largest, e.free/bytesPerMB)
		}
	}
	reason := fmt.Sprintf("it needs %d MiB, but no engine has more than %d MiB free, and no replica of another model can be drained or relocated", need, largest)
	if len(p.serving(m.residents, "")) > 0 {
		return reason + "; an older version stays in service"
	}
	return reason
}

// cheapestEviction returns the cheapest eviction that frees the bytes, or nil. It
// searches the engines of the given replicas, or, if replicas is nil, all engines
// without the declared version of the model.
func (p *planner) cheapestEviction(m *declaredModel, bytes uint64, replicas []replica, allowed evictionFilter) *eviction {
	if p.evictionSearches >= maxEvictionSearches {
		return nil
	}
	p.evictionSearches++
	var best *eviction
	try := func(e *engine) {
		if !e.usable || e.vm.MemoryBytes < bytes {
			return
		}
		if v := p.evictionOn(e, m, bytes, allowed); v != nil && (best == nil || v.cost < best.cost) {
			best = v
		}
	}
	for _, x := range replicas {
		try(x.engine)
	}
	if replicas != nil {
		return best
	}
	for _, e := range p.engines {
		if e.find(m.name, m.version, "") == nil {
			try(e)
		}
	}
	return best
}

// evictionOn returns an eviction that frees the bytes on the engine, or nil. It
// counts memory that is already being freed, then adds replicas that can be
// drained, then replicas that can be relocated, the largest first.
func (p *planner) evictionOn(e *engine, m *declaredModel, bytes uint64, allowed evictionFilter) *eviction {
	free := e.free
	for _, r := range e.residents {
		leaving := r.State == wire.ResidentState_RESIDENT_STATE_DRAINING || r.State == wire.ResidentState_RESIDENT_STATE_UNLOADING
		if leaving || p.drained[r] {
			free += r.MemoryBytes
		}
	}
	out := &eviction{engine: e}
	if e.unstable {
		out.cost++
	}
	for _, c := range p.candidates(e, m, allowed) {
		if free >= bytes {
			break
		}
		free += c.bytes
		out.cost += c.cost
		if c.cost == costRelocate {
			out.relocations = append(out.relocations, c.replica)
		} else {
			out.drains = append(out.drains, c.replica)
		}
	}
	if free < bytes {
		return nil
	}
	return out
}

type candidate struct {
	replica
	cost  int
	bytes uint64
}

func (p *planner) candidates(e *engine, m *declaredModel, allowed evictionFilter) []candidate {
	var out []candidate
	for _, r := range e.residents {
		x := replica{e, r}
		victim := p.byName[r.Model]
		if r.Adapter != "" || victim == nil || !p.serves(x) || (victim == m && r.Version == m.version) {
			continue
		}
		c := candidate{replica: x, bytes: memoryWithAdapters(e, r)}
		switch left := p.servingWithout(victim, r); {
		case left >= 1 && allowed(victim, left) && p.adaptersServeElsewhere(victim, e):
			c.cost = costDrain
		case r.Version == victim.version && p.relocationTarget(victim, c.bytes, e) != nil && allowed(victim, 1):
			c.cost = costRelocate
		default:
			continue
		}
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.bytes, a.bytes))
	})
	return out
}

// servingWithout returns how many replicas serve without the resident. Replicas of
// an older version do not count for a resident of the declared version, because
// the planner would only load that version again.
func (p *planner) servingWithout(m *declaredModel, r *wire.Resident) int {
	if r.Version == m.version {
		return len(p.serving(m.residents, m.version)) - 1
	}
	return len(p.serving(m.residents, "")) - 1
}

// memoryWithAdapters returns the memory of a model with its adapters on one engine.
func memoryWithAdapters(e *engine, model *wire.Resident) uint64 {
	var sum uint64
	for _, r := range e.residents {
		if r.Model == model.Model && r.Version == model.Version {
			sum += r.MemoryBytes
		}
	}
	return sum
}

// adaptersServeElsewhere reports whether every adapter of the model that serves on
// the engine serves on another one too.
func (p *planner) adaptersServeElsewhere(m *declaredModel, e *engine) bool {
	for _, a := range m.adapters {
		replicas := p.serving(m.adapterReplicas[adapterName(a)], m.version)
		if len(replicas) == 1 && replicas[0].engine == e {
			return false
		}
	}
	return true
}

// relocationTarget returns another stable engine with memory for the model, or
// nil.
func (p *planner) relocationTarget(m *declaredModel, bytes uint64, from *engine) *engine {
	for _, e := range p.engines {
		if e != from && e.usable && !e.unstable && e.free >= bytes && e.find(m.name, m.version, "") == nil {
			return e
		}
	}
	return nil
}

// evict adds the steps that drain replicas and load relocated models elsewhere.
// The old replica of a relocated model is drained by a later plan, once the new
// one serves.
func (p *planner) evict(v *eviction, m *declaredModel, bytes uint64) {
	reason := "frees memory for " + m.name + " version " + m.version
	for _, x := range v.drains {
		victim := p.byName[x.resident.Model]
		// An earlier drain of this plan may have made this the last serving replica.
		if p.servingWithout(victim, x.resident) > 0 {
			p.drainModel(x, reason)
		}
	}
	for _, x := range v.relocations {
		victim := p.byName[x.resident.Model]
		e := p.relocationTarget(victim, memoryWithAdapters(x.engine, x.resident), x.engine)
		if e != nil && p.budgetLeft() {
			p.load(e, victim, "", victim.memory, "relocated from "+x.engine.vm.Id+": "+reason)
		}
	}
	v.engine.reserve(bytes)
}
