package placement

import (
	"cmp"
	"fmt"
	"slices"

	"parsleyramp/internal/closing"
)

// placeFirstAdapters gives every adapter of the model a home. Where the model
// is still loading, it holds the memory for them.
func (p *planner) placeFirstAdapters(w *wanted) {
	replicas := p.serving(w.held, w.version)
	if len(replicas) == 0 {
		if coming := p.coming(w, 0); len(coming) > 0 {
			coming[0].engine.hold(unhomedBytes(w))
		}
	}
	for _, a := range w.adapters {
		name := adapterName(a)
		homes := w.homes[name]
		if len(p.serving(homes, w.version)) > 0 {
			continue
		}
		p.unmet(w, name, p.placeFirstAdapter(w, a, replicas))
	}
}

// placeFirstAdapter returns why the adapter is not in service yet.
func (p *planner) placeFirstAdapter(w *wanted, a closing.Adapter, replicas []placed) string {
	memory := a.MemoryMB * bytesPerMB
	for _, x := range w.homes[adapterName(a)] {
		if x.engine.usable && !p.drained[x.resident] {
			return "it is being loaded or unloaded"
		}
	}
	switch e := p.adapterHome(w, a, replicas, memory); {
	case len(replicas) == 0:
		return "its model is not in service"
	case p.adapterLoads <= 0:
		return "waits for the limit of adapter loads"
	case e == nil && slices.ContainsFunc(replicas, func(x placed) bool { return x.engine.busy }):
		return "waits for an engine to finish an order"
	case e == nil:
		return p.makeRoomOn(replicas, memory, w)
	default:
		p.load(e, w, adapterName(a), memory, "no engine serves the declared adapter")
		return "it is being loaded"
	}
}

// adapterHome returns the replica's engine that should take the adapter: not
// busy, with room, the least loaded.
func (p *planner) adapterHome(w *wanted, a closing.Adapter, replicas []placed, memory uint64) *engine {
	var fit []*engine
	for _, x := range replicas {
		e := x.engine
		if !e.busy && e.free >= memory && e.find(w.name, w.version, adapterName(a)) == nil {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return slices.MinFunc(fit, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.pressure(p.in.Policy), b.pressure(p.in.Policy)), cmp.Compare(a.vm.Id, b.vm.Id))
	})
}

// placeMoreAdapters gives every adapter a second home, and one on each further
// replica while the adapter's own demand asks for it.
func (p *planner) placeMoreAdapters(w *wanted) {
	replicas := p.serving(w.held, w.version)
	if len(replicas) < spreadReplicas {
		return
	}
	for _, a := range w.adapters {
		if p.adapterLoads <= 0 {
			return
		}
		name := adapterName(a)
		demand := p.in.Policy.estimate(p.in.Demand[w.name+":"+a.Name])
		target := max(spreadReplicas, p.replicasFor(demand))
		homes := 0
		for _, x := range w.homes[name] {
			if x.engine.stays(p.spareGrace()) && !p.drained[x.resident] {
				homes++
			}
		}
		if homes == 0 || homes >= min(target, len(replicas)) {
			continue
		}
		if e := p.adapterHome(w, a, replicas, a.MemoryMB*bytesPerMB); e != nil {
			p.load(e, w, name, a.MemoryMB*bytesPerMB, fmt.Sprintf("adapter has %d homes of %d", homes, target))
		}
	}
}

// replicasFor returns how many replicas answer the demand in time.
func (p *planner) replicasFor(demand float64) int {
	n := 1
	for rate := p.in.Policy.ReplicaRate; rate > 0 && demand > float64(n)*rate*p.in.Policy.overload(); n++ {
	}
	return n
}
