package control

import (
	"context"
	"fmt"
	"math"

	"connectrpc.com/connect"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// Status returns how far the team's section has been reconciled.
func (o *operatorService) Status(ctx context.Context, req *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	resp := &wire.StatusResponse{}
	var view *wire.View
	var orders []*wire.Order
	var acknowledged uint64
	err := o.s.node.Read(ctx, func(l replica.Leadership, m *state.Machine) {
		resp.Section = m.Section(req.Msg.Team)
		o.s.leases.enterTerm(l.Term, l.Now)
		resp.LaggingEntries = o.s.leases.lagging(m.Entries(), resp.Section.GetLogIndex(), o.s.cfg.EntryLease.D(), l.Now)
		acknowledged = o.s.leases.acknowledged(m.Entries(), o.s.cfg.EntryLease.D(), l.Now)
		view, orders = o.s.leases.view(m), m.Orders()
	})
	if err != nil {
		return nil, o.s.node.RPCError(ctx, err)
	}
	if resp.Section == nil {
		return nil, o.s.node.RPCError(ctx, fail.New(fail.UnknownRequest, "team "+req.Msg.Team+" has no section"))
	}
	resp.Unmet = unmetReasons(resp.Section, view, orders, acknowledged, o.s.planner.reasonFor)
	resp.Status = changeStatus(resp)
	return connect.NewResponse(resp), nil
}

func changeStatus(r *wire.StatusResponse) wire.ChangeStatus {
	switch {
	case len(r.LaggingEntries) > 0:
		return wire.ChangeStatus_CHANGE_STATUS_ACCEPTED
	case len(r.Unmet) > 0:
		return wire.ChangeStatus_CHANGE_STATUS_NOT_MET
	}
	return wire.ChangeStatus_CHANGE_STATUS_MET
}

// item is a model or an adapter that a section declares.
type item struct {
	model, version, adapter string
	memoryMB                uint64
	replicas                int
}

func (i item) String() string {
	if i.adapter != "" {
		return fmt.Sprintf("adapter %s of %s version %s", i.adapter, i.model, i.version)
	}
	return fmt.Sprintf("model %s version %s", i.model, i.version)
}

func itemsOf(s *desired.Section) []item {
	var out []item
	for _, m := range s.Models {
		name := desired.FullName(s.Team, m.Name)
		out = append(out, item{model: name, version: m.Version, memoryMB: m.MemoryMB + m.HeadroomMB, replicas: max(1, m.Replicas)})
		for _, a := range m.Adapters {
			out = append(out, item{model: name, version: m.Version, adapter: a.Name + "@" + a.Version, memoryMB: a.MemoryMB, replicas: 1})
		}
	}
	return out
}

// plannerReason returns why the planner has not brought an item into service, or
// "" if it has no reason.
type plannerReason func(model, version, adapter string) string

// unmet is unmetReasons with every view revision acknowledged and no reasons of
// the planner.
func unmet(section *wire.Section, view *wire.View, orders []*wire.Order) []string {
	return unmetReasons(section, view, orders, math.MaxUint64, func(string, string, string) string { return "" })
}

// unmetReasons lists the items of the section that clients cannot use, each with
// the reason. The planner's reason is given where no order and no endpoint
// explains more. A resident counts only if the acknowledged view revision, which
// every entry has applied, includes it.
func unmetReasons(section *wire.Section, view *wire.View, orders []*wire.Order, acknowledged uint64, reason plannerReason) []string {
	s, err := sectionCache.ParseSection(section.Team, section.Text)
	if err != nil {
		return []string{err.Error()}
	}
	fleet := newFleetState(view, orders)
	fleet.reason, fleet.acknowledged = reason, acknowledged
	var out []string
	for _, i := range itemsOf(s) {
		if ready := fleet.readyCount(i); ready < i.replicas {
			out = append(out, fmt.Sprintf("%s is ready on %d of %d engines: %s", i, ready, i.replicas, fleet.notReadyReason(i)))
		}
	}
	for _, v := range s.Services {
		if problem := fleet.serviceProblem(v.Name); problem != "" {
			out = append(out, fmt.Sprintf("service %s: %s", v.Name, problem))
		}
	}
	return out
}

// fleetState is a view, indexed by endpoint, with the open orders.
type fleetState struct {
	view       *wire.View
	orders     []*wire.Order
	engines    map[string]*wire.Endpoint
	memoryUsed map[string]uint64
	reason     plannerReason
	// acknowledged is the newest view revision that every live entry has applied.
	acknowledged uint64
}

func newFleetState(view *wire.View, orders []*wire.Order) fleetState {
	f := fleetState{view: view, orders: orders, engines: map[string]*wire.Endpoint{}, memoryUsed: map[string]uint64{}}
	for _, e := range view.Endpoints {
		f.engines[e.Id] = e
	}
	for _, r := range view.Residents {
		f.memoryUsed[r.Endpoint] += r.MemoryBytes
	}
	return f
}

// endpointProblem returns why requests cannot be routed to an endpoint, or "".
func endpointProblem(e *wire.Endpoint) string {
	switch {
	case e == nil:
		return "is not known"
	case e.Leaving:
		return "is leaving"
	case !e.Reachable:
		return "cannot be reached"
	case e.Owner == "":
		return "has no owner yet"
	}
	return ""
}

func (i item) matches(r *wire.Resident) bool {
	return r.Model == i.model && r.Version == i.version && r.Adapter == i.adapter
}

// readyCount returns the number of engines that serve the item to clients.
func (f fleetState) readyCount(i item) int {
	n := 0
	for _, r := range f.view.Residents {
		known := r.StateRevision <= f.acknowledged
		if i.matches(r) && known && r.State == wire.ResidentState_RESIDENT_STATE_READY && endpointProblem(f.engines[r.Endpoint]) == "" {
			n++
		}
	}
	return n
}

// notReadyReason returns why the item is not ready on one more engine.
func (f fleetState) notReadyReason(i item) string {
	for _, o := range f.orders {
		if o.Model == i.model && o.Version == i.version && o.Adapter == i.adapter && o.Kind == wire.OrderKind_ORDER_KIND_LOAD {
			return fmt.Sprintf("load order %d.%d to %s has no proved outcome yet", o.FenceTerm, o.FenceSequence, o.Endpoint)
		}
	}
	for _, r := range f.view.Residents {
		if reason := endpointProblem(f.engines[r.Endpoint]); i.matches(r) && reason != "" {
			return fmt.Sprintf("%s holds it but %s", r.Endpoint, reason)
		}
	}
	for _, r := range f.view.Residents {
		if i.matches(r) && r.StateRevision > f.acknowledged {
			return "not every entry knows yet that " + r.Endpoint + " holds it"
		}
	}
	if reason := f.reason(i.model, i.version, i.adapter); reason != "" {
		return reason
	}
	return f.capacityReason(i)
}

const mebibyte = 1 << 20

// capacityReason returns whether the item waits for memory, for an engine or for
// its turn to be loaded.
func (f fleetState) capacityReason(i item) string {
	var best *wire.Endpoint
	var free uint64
	for _, e := range f.view.Endpoints {
		if e.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE || endpointProblem(e) != "" {
			continue
		}
		if left := e.MemoryBytes - min(e.MemoryBytes, f.memoryUsed[e.Id]); best == nil || left > free {
			best, free = e, left
		}
	}
	switch {
	case best == nil:
		return "no engine can be used"
	case free < i.memoryMB*mebibyte:
		return fmt.Sprintf("it needs %d MiB, and the most free memory is %d MiB on %s", i.memoryMB, free/mebibyte, best.Id)
	}
	return "it waits for its turn to be loaded"
}

// serviceProblem returns why no endpoint serves a plain service, or "".
func (f fleetState) serviceProblem(name string) string {
	reason := "no endpoint of this name is on the live list"
	for _, e := range f.view.Endpoints {
		if e.Kind != wire.EndpointKind_ENDPOINT_KIND_SERVICE || e.Service != name {
			continue
		}
		problem := endpointProblem(e)
		if problem == "" {
			return ""
		}
		reason = e.Id + " " + problem
	}
	return reason
}
