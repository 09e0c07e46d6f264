package placement

import (
	"cmp"
	"fmt"
	"slices"

	"parsleyramp/internal/desired"
)

// loadFirstAdapters loads each adapter of the model that no engine serves. If
// no replica of the model serves yet, it reserves memory for the adapters on
// the engine that is loading the model.
func (p *planner) loadFirstAdapters(m *declaredModel) {
	replicas := p.serving(m.residents, m.version)
	if len(replicas) == 0 {
		if loading := p.servingOrLoading(m, 0); len(loading) > 0 {
			loading[0].engine.reserve(missingAdapterBytes(m))
		}
	}
	for _, a := range m.adapters {
		name := adapterName(a)
		replicasOfAdapter := m.adapterReplicas[name]
		if len(p.serving(replicasOfAdapter, m.version)) > 0 {
			continue
		}
		p.addUnmet(m, name, p.loadFirstAdapter(m, a, replicas))
	}
}

// loadFirstAdapter loads the adapter if possible and returns why it is not yet
// in service.
func (p *planner) loadFirstAdapter(m *declaredModel, a desired.Adapter, replicas []replica) string {
	memory := a.MemoryMB * bytesPerMB
	for _, x := range m.adapterReplicas[adapterName(a)] {
		if x.engine.usable && !p.drained[x.resident] {
			return "it is being loaded or unloaded"
		}
	}
	switch e := p.bestAdapterEngine(m, a, replicas, memory); {
	case len(replicas) == 0:
		return "its model is not in service"
	case p.adapterLoads <= 0:
		return "waiting: the limit on concurrent adapter loads is reached"
	case e == nil && slices.ContainsFunc(replicas, func(x replica) bool { return x.engine.busy }):
		return "waiting for an engine with a replica of its model to finish an order"
	case e == nil:
		return p.freeAdapterMemory(replicas, memory, m)
	default:
		p.load(e, m, adapterName(a), memory, "no engine serves the declared adapter")
		return "it is being loaded"
	}
}

// bestAdapterEngine returns the engine with the lowest loadScore among the
// engines of the replicas that are not busy and have memory for the adapter, or
// nil.
func (p *planner) bestAdapterEngine(m *declaredModel, a desired.Adapter, replicas []replica, memory uint64) *engine {
	var fit []*engine
	for _, x := range replicas {
		e := x.engine
		if !e.busy && e.free >= memory && e.find(m.name, m.version, adapterName(a)) == nil {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return slices.MinFunc(fit, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.loadScore(p.in.Policy), b.loadScore(p.in.Policy)), cmp.Compare(a.vm.Id, b.vm.Id))
	})
}

// loadAdapterReplicas loads every adapter on a second replica of its model, and
// on further ones if the adapter's own demand requires it.
func (p *planner) loadAdapterReplicas(m *declaredModel) {
	replicas := p.serving(m.residents, m.version)
	if len(replicas) < minSpreadReplicas {
		return
	}
	for _, a := range m.adapters {
		if p.adapterLoads <= 0 {
			return
		}
		name := adapterName(a)
		demand := p.in.Policy.estimate(p.in.Demand[m.name+":"+a.Name])
		target := max(minSpreadReplicas, p.replicasFor(demand))
		available := 0
		for _, x := range m.adapterReplicas[name] {
			if x.engine.isAvailable(p.spareReplicaGrace()) && !p.drained[x.resident] {
				available++
			}
		}
		if available == 0 || available >= min(target, len(replicas)) {
			continue
		}
		if e := p.bestAdapterEngine(m, a, replicas, a.MemoryMB*bytesPerMB); e != nil {
			p.load(e, m, name, a.MemoryMB*bytesPerMB, fmt.Sprintf("adapter is resident on %d of %d engines", available, target))
		}
	}
}

// replicasFor returns the number of replicas that the demand requires.
func (p *planner) replicasFor(demand float64) int {
	n := 1
	for rate := p.in.Policy.ReplicaRate; rate > 0 && demand > float64(n)*rate*p.in.Policy.overloadRatio(); n++ {
	}
	return n
}
