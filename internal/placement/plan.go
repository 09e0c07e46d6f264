package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"parsleyramp/internal/wire"
)

// spreadReplicas is how many replicas in separate failure domains every model
// gets where memory allows.
const spreadReplicas = 2

// Plan returns the next steps towards the declared state, the most urgent
// first. Calling it again after they were carried out leads on. A plan never
// drains the last serving replica of a declared model.
func Plan(in Input) Result {
	p := newPlanner(in)
	p.retire()
	for _, w := range p.wanted {
		p.placeFirst(w)
	}
	for _, w := range p.wanted {
		p.placeFirstAdapters(w)
	}
	for _, w := range p.wanted {
		p.placeSpread(w)
	}
	p.placeDemand()
	for _, w := range p.wanted {
		p.placeMoreAdapters(w)
	}
	p.unload()
	return p.result
}

// budgetLeft reports whether a model load may start.
func (p *planner) budgetLeft() bool { return p.modelLoads > 0 && p.modelStarts > 0 }

// placeFirst gives a model its first replica of the declared version.
func (p *planner) placeFirst(w *wanted) {
	if len(p.serving(w.held, w.version)) > 0 {
		return
	}
	if len(p.coming(w, lostGrace)) > 0 {
		p.unmet(w, "", "it is being loaded, or its engine has just stopped answering")
		return
	}
	if !p.budgetLeft() {
		p.unmet(w, "", "waits for the weight store")
		return
	}
	reason := "no engine serves the declared model"
	if len(p.serving(w.held, "")) > 0 {
		reason = "the declared version replaces an older one"
	}
	// Room for the adapters as well comes first, then room for the model alone.
	for _, bytes := range []uint64{w.memory + unhomedBytes(w), w.memory} {
		if e := p.bestEngine(w, bytes, nil); e != nil {
			p.load(e, w, "", w.memory, reason)
			p.unmet(w, "", "it is being loaded")
			return
		}
		if e := p.makeRoom(w, bytes, func(*wanted, int) bool { return true }); e != nil {
			p.unmet(w, "", "waits for memory on "+e.vm.Id)
			return
		}
	}
	p.unmet(w, "", p.noRoom(w))
}

// unhomedBytes is the memory of the adapters that no engine holds yet.
func unhomedBytes(w *wanted) uint64 {
	var sum uint64
	for _, a := range w.adapters {
		if len(w.homes[adapterName(a)]) == 0 {
			sum += a.MemoryMB * bytesPerMB
		}
	}
	return sum
}

// placeSpread gives a model its declared replicas, two at least, in separate
// failure domains where there is room.
func (p *planner) placeSpread(w *wanted) {
	target := max(spreadReplicas, w.replicas)
	grace := p.spareGrace()
	for range target {
		have := p.coming(w, grace)
		if len(have) == 0 || len(have) >= target || !p.budgetLeft() {
			return
		}
		reason := "declared replicas are missing"
		if len(have) >= w.replicas {
			reason = "a second failure domain keeps the model reachable"
		}
		e := p.bestEngine(w, w.memory, have)
		if e == nil {
			p.makeRoom(w, w.memory, func(victim *wanted, left int) bool { return left >= max(spreadReplicas, victim.replicas) })
			return
		}
		p.load(e, w, "", w.memory, reason)
	}
}

func (p *planner) spareGrace() time.Duration {
	grace := p.in.Policy.SpareGrace
	if grace == 0 {
		grace = DefaultSpareGrace
	}
	return time.Duration(float64(grace) * (1 + 3*p.in.Policy.MoveWeight))
}

// placeDemand adds replicas to the most overloaded models, one each in a plan.
func (p *planner) placeDemand() {
	policy := p.in.Policy
	grace := p.spareGrace()
	type overloaded struct {
		w     *wanted
		have  []placed
		ratio float64
	}
	var list []overloaded
	for _, w := range p.wanted {
		have := p.coming(w, grace)
		if ratio := policy.ratio(w, len(have)); len(have) > 0 && ratio > policy.overload() {
			list = append(list, overloaded{w, have, ratio})
		}
	}
	slices.SortStableFunc(list, func(a, b overloaded) int {
		return cmp.Or(cmp.Compare(a.w.urgency, b.w.urgency), cmp.Compare(b.ratio, a.ratio))
	})
	for _, o := range list {
		if !p.budgetLeft() {
			return
		}
		if e := p.bestEngine(o.w, o.w.memory, o.have); e != nil {
			p.load(e, o.w, "", o.w.memory, fmt.Sprintf("demand is %.1f times what %d replicas answer in time", o.ratio, len(o.have)))
			continue
		}
		p.makeRoom(o.w, o.w.memory, func(victim *wanted, left int) bool {
			after := policy.ratio(victim, left)
			return left >= max(1, victim.replicas) && after < policy.overload() && o.ratio-after > policy.evictionGap()
		})
	}
}

// bestEngine returns the engine with room for the bytes: steady before
// unstable, in a failure domain and with an owner that no replica has, not
// busy, and with the least load and used memory.
func (p *planner) bestEngine(w *wanted, bytes uint64, have []placed) *engine {
	var best *engine
	var bestRank [4]bool
	for _, e := range p.engines {
		if !e.usable || e.free < bytes || e.find(w.name, w.version, "") != nil {
			continue
		}
		rank := [4]bool{e.unstable, sharesDomain(e, have), sharesOwner(e, have), e.busy}
		if best == nil || before(rank, bestRank, e, best, p.in.Policy) {
			best, bestRank = e, rank
		}
	}
	return best
}

func before(rank, bestRank [4]bool, e, best *engine, policy Policy) bool {
	for i := range rank {
		if rank[i] != bestRank[i] {
			return !rank[i]
		}
	}
	return cmp.Or(cmp.Compare(e.pressure(policy), best.pressure(policy)), cmp.Compare(e.vm.Id, best.vm.Id)) < 0
}

// pressure is the load in units of one replica's rate and the used share.
func (e *engine) pressure(policy Policy) float64 {
	used := 1 - float64(e.free)/float64(max(1, e.vm.MemoryBytes))
	return e.load/max(policy.ReplicaRate, 1e-9) + used
}

func sharesDomain(e *engine, have []placed) bool {
	return slices.ContainsFunc(have, func(x placed) bool { return x.engine.vm.Domain == e.vm.Domain })
}

func sharesOwner(e *engine, have []placed) bool {
	return slices.ContainsFunc(have, func(x placed) bool { return x.engine.vm.Owner == e.vm.Owner })
}

// retire drains what is no longer wanted. An old version goes only once its
// successor serves with as many replicas, or serves and has no room for more.
func (p *planner) retire() {
	for _, e := range p.engines {
		for _, r := range e.residents {
			if r.State != wire.ResidentState_RESIDENT_STATE_READY {
				continue
			}
			if reason := p.unwanted(e, r); reason != "" {
				p.drain(placed{e, r}, reason)
				p.drainOne(r, reason)
			}
		}
	}
}

// unwanted returns why a ready resident should go, or "".
func (p *planner) unwanted(e *engine, r *wire.Resident) string {
	w := p.byName[r.Model]
	if w == nil {
		return "no longer declared"
	}
	if r.Adapter != "" {
		host := e.find(r.Model, r.Version, "")
		if host == nil || host.State == wire.ResidentState_RESIDENT_STATE_DRAINING {
			return "its model leaves the engine"
		}
		if r.Version == w.version && !w.declares(r.Adapter) {
			return "adapter no longer declared"
		}
		return ""
	}
	if r.Version == w.version {
		return ""
	}
	now := len(p.serving(w.held, w.version))
	old := len(p.serving(w.held, "")) - now
	if now > 0 && now >= min(old, max(spreadReplicas, w.replicas)) && p.adaptersServe(w) {
		return "replaced by version " + w.version
	}
	return ""
}

func (w *wanted) declares(adapter string) bool {
	for _, a := range w.adapters {
		if adapterName(a) == adapter {
			return true
		}
	}
	return false
}

// adaptersServe reports whether every declared adapter serves on the declared
// version.
func (p *planner) adaptersServe(w *wanted) bool {
	for _, a := range w.adapters {
		if len(p.serving(w.homes[adapterName(a)], w.version)) == 0 {
			return false
		}
	}
	return true
}

// unload removes what has drained, adapters before their model.
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
