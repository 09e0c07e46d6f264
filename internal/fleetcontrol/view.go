package fleetcontrol

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/wire"
)

// publish makes a new view where something has changed. The caller holds the lock.
func (l *leadState) publish(now time.Duration) {
	if !l.listed || now-l.since < settleTime {
		return
	}
	v := &wire.FleetView{Term: l.term, Control: l.control}
	for _, id := range slices.Sorted(maps.Keys(l.engines)) {
		v.Endpoints = append(v.Endpoints, l.engines[id].shown())
	}
	for _, id := range slices.Sorted(maps.Keys(l.gateways)) {
		if g := l.gateways[id]; now-g.seen < gatewayLost {
			v.Gateways = append(v.Gateways, g.gateway)
		}
	}
	if l.view != nil {
		v.Revision = l.view.Revision
		if proto.Equal(v, l.view) {
			return
		}
	}
	v.Revision = l.s.viewRevision.Add(1)
	l.view = v
}

// shown returns the endpoint as gateways are told.
func (e *engineState) shown() *wire.FleetEndpoint {
	out := &wire.FleetEndpoint{
		Id: e.listed.ID, Service: e.listed.Service, Address: e.listed.Address, Domain: e.listed.Domain,
		Leaving: e.listed.Leaving, Slots: uint32(e.listed.Slots),
	}
	for name, adapters := range e.held {
		m := &wire.HeldModel{Name: name, Leaving: e.leaving[name], Loading: e.loading == name}
		m.Adapters = slices.Sorted(maps.Keys(adapters))
		out.Models = append(out.Models, m)
	}
	if _, ok := e.held[e.loading]; e.loading != "" && !ok {
		out.Models = append(out.Models, &wire.HeldModel{Name: e.loading, Loading: true})
	}
	slices.SortFunc(out.Models, func(a, b *wire.HeldModel) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// controlAddresses returns the addresses of the replicas in the membership.
func (s *Server) controlAddresses(ctx context.Context) []string {
	status, err := s.node.Status(ctx)
	if err != nil {
		return nil
	}
	var out []string
	for _, r := range status.Membership.GetReplicas() {
		out = append(out, r.Address)
	}
	slices.Sort(out)
	return out
}
