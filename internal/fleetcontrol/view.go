package fleetcontrol

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/revision"
	"parsleyramp/internal/wire"
)

// publishedView is the leader's view of the fleet for gateways. Gateways that
// have an earlier revision of the same term receive only the changes since then.
type publishedView struct {
	endpoints *revision.Table[*wire.FleetEndpoint]
	gateways  *revision.Table[*wire.Gateway]
	control   []string
	// endpointOrder holds the ids of the endpoints in sorted order. Positions in
	// responses to gateways refer to it.
	endpointOrder []string
	// orderVersion changes with endpointOrder.
	orderVersion uint64
	// latestRevision is zero until a view is published.
	latestRevision uint64
}

// newPublishedView returns an empty view whose revisions are greater than floor.
func newPublishedView(floor uint64) *publishedView {
	return &publishedView{
		endpoints: revision.NewTable(floor, func(a, b *wire.FleetEndpoint) bool { return proto.Equal(a, b) }),
		gateways:  revision.NewTable(floor, func(a, b *wire.Gateway) bool { return proto.Equal(a, b) }),
	}
}

// changesSince returns the changes for a gateway that has the known revision, or
// nil if there are none.
func (p *publishedView) changesSince(term, known uint64) *wire.FleetView {
	if p.latestRevision == 0 || known == p.latestRevision {
		return nil
	}
	endpoints, gateways := p.endpoints.Since(known), p.gateways.Since(known)
	if endpoints.Full != gateways.Full {
		known = 0
		endpoints, gateways = p.endpoints.Since(0), p.gateways.Since(0)
	}
	if endpoints.Full {
		known = 0
	}
	return &wire.FleetView{
		Term: term, Revision: p.latestRevision, Since: known, Control: p.control,
		Endpoints: endpoints.Set, RemovedEndpoints: endpoints.Removed,
		Gateways: gateways.Set, RemovedGateways: gateways.Removed,
	}
}

// publish creates a new revision of the view if it has changed. l.mu must be
// held.
func (l *leaderState) publish(now time.Duration) {
	if !l.listReceived || now-l.startedAt < initialReportWait {
		return
	}
	endpoints := make(map[string]*wire.FleetEndpoint, len(l.engines))
	for id, e := range l.engines {
		endpoints[id] = e.toWire()
	}
	gateways := make(map[string]*wire.Gateway, len(l.gateways))
	for id, g := range l.gateways {
		if now-g.lastReport < gatewayTimeout {
			gateways[id] = g.gateway
		}
	}
	p, next := l.published, l.s.viewRevision.Load()+1
	changed := p.endpoints.Replace(endpoints, next)
	changed = p.gateways.Replace(gateways, next) || changed
	if changed || p.latestRevision == 0 || !slices.Equal(p.control, l.control) {
		p.control = l.control
		if order := p.endpoints.Keys(); !slices.Equal(order, p.endpointOrder) {
			p.endpointOrder = order
			p.orderVersion++
		}
		l.commitRevision(next)
	}
}

// publishEngine creates a new revision of the view if the engine's entry in it
// has changed. l.mu must be held.
func (l *leaderState) publishEngine(e *engineState) {
	p, next := l.published, l.s.viewRevision.Load()+1
	if p.latestRevision == 0 || l.engines[e.listed.ID] != e {
		return
	}
	if _, published := slices.BinarySearch(p.endpointOrder, e.listed.ID); !published {
		return
	}
	if p.endpoints.Put(e.listed.ID, e.toWire(), next) {
		l.commitRevision(next)
	}
}

func (l *leaderState) commitRevision(next uint64) {
	l.published.latestRevision = next
	l.s.viewRevision.Store(next)
}

// toWire returns the endpoint's entry in the view.
func (e *engineState) toWire() *wire.FleetEndpoint {
	out := &wire.FleetEndpoint{
		Id: e.listed.ID, Service: e.listed.Service, Address: e.listed.Address, Domain: e.listed.Domain,
		Leaving: e.leaving(), Slots: uint32(e.listed.Slots), Version: e.version.known,
	}
	out.PerSecond, out.Limited = e.leader.limitOf(e.listed.ID)
	for name, adapters := range e.held {
		m := &wire.HeldModel{Name: name, Leaving: e.unloading[name], Loading: e.loading == name}
		for a := range adapters {
			if !e.unloadingAdapters[adapterName{name, a}] {
				m.Adapters = append(m.Adapters, a)
			}
		}
		slices.Sort(m.Adapters)
		out.Models = append(out.Models, m)
	}
	if _, ok := e.held[e.loading]; e.loading != "" && !ok {
		out.Models = append(out.Models, &wire.HeldModel{Name: e.loading, Loading: true})
	}
	slices.SortFunc(out.Models, func(a, b *wire.HeldModel) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// controlAddresses returns the addresses of the control replicas in the
// membership.
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
