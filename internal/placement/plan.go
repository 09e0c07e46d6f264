package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"parsleyramp/internal/wire"
)

// minSpreadReplicas is the number of replicas in separate failure domains that
// every model gets if memory allows.
const minSpreadReplicas = 2

// Plan returns the next steps towards the declared state, the most urgent
// first. Further steps follow from calling it again after these have been
// executed. A plan never drains the last serving replica of a declared model.
func Plan(in Input) Result {
	p := newPlanner(in)
	p.drainObsolete()
	for _, m := range p.models {
		p.loadFirstReplica(m)
	}
	for _, m := range p.models {
		p.loadFirstAdapters(m)
	}
	for _, m := range p.models {
		p.loadDeclaredReplicas(m)
	}
	p.loadDemandReplicas()
	for _, m := range p.models {
		p.loadAdapterReplicas(m)
	}
	p.unload()
	return p.result
}

// budgetLeft reports whether the budget allows another model load.
func (p *planner) budgetLeft() bool { return p.modelLoads > 0 && p.modelStarts > 0 }

// loadFirstReplica loads the first replica of the declared version.
func (p *planner) loadFirstReplica(m *declaredModel) {
	if len(p.serving(m.residents, m.version)) > 0 {
		return
	}
	if len(p.servingOrLoading(m, lastReplicaGrace)) > 0 {
		p.addUnmet(m, "", "it is being loaded, or its engine has just become unresponsive")
		return
	}
	if !p.budgetLeft() {
		p.addUnmet(m, "", "waiting: the limit on model loads from the weight store is reached")
		return
	}
	reason := "no engine serves the declared model"
	if len(p.serving(m.residents, "")) > 0 {
		reason = "the declared version replaces an older one"
	}
	// Prefer memory for the model with its adapters over memory for the model
	// only.
	for _, bytes := range []uint64{m.memory + missingAdapterBytes(m), m.memory} {
		if e := p.bestEngine(m, bytes, nil); e != nil {
			p.load(e, m, "", m.memory, reason)
			p.addUnmet(m, "", "it is being loaded")
			return
		}
		if e := p.freeMemory(m, bytes, func(*declaredModel, int) bool { return true }); e != nil {
			p.addUnmet(m, "", "waiting for memory on "+e.vm.Id)
			return
		}
	}
	p.addUnmet(m, "", p.insufficientMemoryReason(m))
}

// missingAdapterBytes returns the memory that the adapters without any resident
// need.
func missingAdapterBytes(m *declaredModel) uint64 {
	var sum uint64
	for _, a := range m.adapters {
		if len(m.adapterReplicas[adapterName(a)]) == 0 {
			sum += a.MemoryMB * bytesPerMB
		}
	}
	return sum
}

// loadDeclaredReplicas loads the declared number of replicas, but at least
// minSpreadReplicas, in separate failure domains if memory allows.
func (p *planner) loadDeclaredReplicas(m *declaredModel) {
	target := max(minSpreadReplicas, m.declaredReplicas)
	grace := p.spareReplicaGrace()
	for range target {
		have := p.servingOrLoading(m, grace)
		if len(have) == 0 || len(have) >= target || !p.budgetLeft() {
			return
		}
		reason := "declared replicas are missing"
		if len(have) >= m.declaredReplicas {
			reason = "a second failure domain keeps the model reachable"
		}
		e := p.bestEngine(m, m.memory, have)
		if e == nil {
			p.freeMemory(m, m.memory, func(victim *declaredModel, left int) bool {
				return left >= max(minSpreadReplicas, victim.declaredReplicas)
			})
			return
		}
		p.load(e, m, "", m.memory, reason)
	}
}

func (p *planner) spareReplicaGrace() time.Duration {
	grace := p.in.Policy.SpareReplicaGrace
	if grace == 0 {
		grace = DefaultSpareReplicaGrace
	}
	return time.Duration(float64(grace) * (1 + 3*p.in.Policy.MoveWeight))
}

// loadDemandReplicas adds one replica in each plan to every overloaded model that
// the budget allows, the most overloaded first within a priority.
func (p *planner) loadDemandReplicas() {
	policy := p.in.Policy
	grace := p.spareReplicaGrace()
	type overloaded struct {
		model *declaredModel
		have  []replica
		ratio float64
	}
	var list []overloaded
	for _, m := range p.models {
		have := p.servingOrLoading(m, grace)
		if ratio := policy.loadRatio(m, len(have)); len(have) > 0 && ratio > policy.overloadRatio() {
			list = append(list, overloaded{m, have, ratio})
		}
	}
	slices.SortStableFunc(list, func(a, b overloaded) int {
		return cmp.Or(cmp.Compare(a.model.priority, b.model.priority), cmp.Compare(b.ratio, a.ratio))
	})
	for _, o := range list {
		if !p.budgetLeft() {
			return
		}
		if e := p.bestEngine(o.model, o.model.memory, o.have); e != nil {
			p.load(e, o.model, "", o.model.memory, fmt.Sprintf("demand is %.1f times what %d replicas answer in time", o.ratio, len(o.have)))
			continue
		}
		p.freeMemory(o.model, o.model.memory, func(victim *declaredModel, left int) bool {
			after := policy.loadRatio(victim, left)
			return left >= max(1, victim.declaredReplicas) && after < policy.overloadRatio() && o.ratio-after > policy.minEvictionGap()
		})
	}
}

// bestEngine returns the best usable engine that has the bytes free and does not
// hold the declared version of the model, or nil. It prefers, in this order, an
// engine that is not unstable, a failure domain without any of the replicas in
// have, an owner without any of them, an engine that is not busy, and the lowest
// loadScore.
func (p *planner) bestEngine(m *declaredModel, bytes uint64, have []replica) *engine {
	var best *engine
	var bestRank [4]bool
	for _, e := range p.engines {
		if !e.usable || e.free < bytes || e.find(m.name, m.version, "") != nil {
			continue
		}
		rank := [4]bool{e.unstable, sharesDomain(e, have), sharesOwner(e, have), e.busy}
		if best == nil || ranksBefore(rank, bestRank, e, best, p.in.Policy) {
			best, bestRank = e, rank
		}
	}
	return best
}

// ranksBefore reports whether e is a better choice than best.
func ranksBefore(rank, bestRank [4]bool, e, best *engine, policy Policy) bool {
	for i := range rank {
		if rank[i] != bestRank[i] {
			return !rank[i]
		}
	}
	return cmp.Or(cmp.Compare(e.loadScore(policy), best.loadScore(policy)), cmp.Compare(e.vm.Id, best.vm.Id)) < 0
}

// loadScore returns the request rate in multiples of ReplicaRate plus the memory
// utilization.
func (e *engine) loadScore(policy Policy) float64 {
	used := 1 - float64(e.free)/float64(max(1, e.vm.MemoryBytes))
	return e.requestRate/max(policy.ReplicaRate, 1e-9) + used
}

func sharesDomain(e *engine, have []replica) bool {
	return slices.ContainsFunc(have, func(x replica) bool { return x.engine.vm.Domain == e.vm.Domain })
}

func sharesOwner(e *engine, have []replica) bool {
	return slices.ContainsFunc(have, func(x replica) bool { return x.engine.vm.Owner == e.vm.Owner })
}

// drainObsolete drains residents that are no longer declared or whose version has
// been replaced.
func (p *planner) drainObsolete() {
	for _, e := range p.engines {
		for _, r := range e.residents {
			if r.State != wire.ResidentState_RESIDENT_STATE_READY {
				continue
			}
			if reason := p.obsoleteReason(e, r); reason != "" {
				p.drainModel(replica{e, r}, reason)
				p.drainResident(r, reason)
			}
		}
	}
}

// obsoleteReason returns why a ready resident should be drained, or "". An old
// version is replaced once the declared version serves all adapters and has as
// many replicas as the old one, or as many as it should have if that is fewer.
func (p *planner) obsoleteReason(e *engine, r *wire.Resident) string {
	m := p.byName[r.Model]
	if m == nil {
		return "no longer declared"
	}
	if r.Adapter != "" {
		host := e.find(r.Model, r.Version, "")
		if host == nil || host.State == wire.ResidentState_RESIDENT_STATE_DRAINING {
			return "its model is being removed from the engine"
		}
		if r.Version == m.version && !m.declares(r.Adapter) {
			return "adapter no longer declared"
		}
		return ""
	}
	if r.Version == m.version {
		return ""
	}
	current := len(p.serving(m.residents, m.version))
	old := len(p.serving(m.residents, "")) - current
	if current > 0 && current >= min(old, max(minSpreadReplicas, m.declaredReplicas)) && p.adaptersServe(m) {
		return "replaced by version " + m.version
	}
	return ""
}

func (m *declaredModel) declares(adapter string) bool {
	for _, a := range m.adapters {
		if adapterName(a) == adapter {
			return true
		}
	}
	return false
}

// adaptersServe reports whether every declared adapter serves on the declared
// version.
func (p *planner) adaptersServe(m *declaredModel) bool {
	for _, a := range m.adapters {
		if len(p.serving(m.adapterReplicas[adapterName(a)], m.version)) == 0 {
			return false
		}
	}
	return true
}

// unload unloads idle drained residents, adapters before their model.
func (p *planner) unload() {
	for _, e := range p.engines {
		if e.busy || !e.vm.Reachable {
			continue
		}
		for _, r := range e.residents {
			if r.State == wire.ResidentState_RESIDENT_STATE_DRAINING && p.in.Idle(r) && !hasAdapters(e, r) {
				e.busy = true
				p.result.Steps = append(p.result.Steps, Step{Action: Unload, Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter, Reason: "drained"})
				break
			}
		}
	}
}

func hasAdapters(e *engine, r *wire.Resident) bool {
	return r.Adapter == "" && slices.ContainsFunc(e.residents, func(x *wire.Resident) bool {
		return x.Model == r.Model && x.Version == r.Version && x.Adapter != ""
	})
}
