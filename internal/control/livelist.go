package control

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/livelist"
	"parsleyramp/internal/membership"
	"parsleyramp/internal/wire"
)

func endpointOf(vm livelist.VM) *wire.Endpoint {
	kind := wire.EndpointKind_ENDPOINT_KIND_ENGINE
	if vm.Kind == livelist.KindService {
		kind = wire.EndpointKind_ENDPOINT_KIND_SERVICE
	}
	return &wire.Endpoint{
		Id: vm.ID, Kind: kind, Address: vm.Address, Domain: vm.Domain, Service: vm.Service,
		Accelerators: vm.Accelerators, Leaving: vm.State == livelist.Leaving, Reachable: true,
	}
}

// followLiveList records what the platform says. A VM that the list no longer
// names is leaving; it is forgotten only once it holds nothing.
func (s *Server) followLiveList(ctx context.Context, p *picture) {
	vms, err := s.list.VMs(ctx)
	if err != nil {
		s.log.WithError(err).Warn("live list not read")
		return
	}
	fencing := checksFencing(p.view.Sections)
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
		e := endpointOf(vm)
		e.ChecksFencing = fencing[vm.ID]
		if !s.knows(p, e) {
			s.setEndpoint(ctx, p, e)
		}
	}
	for _, e := range p.view.Endpoints {
		if !listed[e.Id] && !e.Leaving {
			gone := proto.Clone(e).(*wire.Endpoint)
			gone.Leaving = true
			s.setEndpoint(ctx, p, gone)
		}
	}
}

// setEndpoint records an endpoint, in the picture as well, so that a later
// duty of the same look does not write back what it said before.
func (s *Server) setEndpoint(ctx context.Context, p *picture, e *wire.Endpoint) {
	if !s.tryInTerm(ctx, p.term, &wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: e}}}, "follow live list") {
		return
	}
	at := slices.IndexFunc(p.view.Endpoints, func(old *wire.Endpoint) bool { return old.Id == e.Id })
	if at < 0 {
		return
	}
	// Others read the same view: it is replaced, not changed.
	old := p.view
	p.view = &wire.View{
		Revision: old.Revision, Sections: old.Sections, Entries: old.Entries, Endpoints: slices.Clone(old.Endpoints),
		Residents: old.Residents, Suspects: old.Suspects,
	}
	p.view.Endpoints[at] = proto.Clone(e).(*wire.Endpoint)
}

// knows reports whether the view holds what the platform says of an endpoint.
func (s *Server) knows(p *picture, e *wire.Endpoint) bool {
	for _, old := range p.view.Endpoints {
		if old.Id != e.Id {
			continue
		}
		e.Owner, e.OwnerEpoch = old.Owner, old.OwnerEpoch
		e.Incarnation, e.MemoryBytes, e.Slots = old.Incarnation, old.MemoryBytes, old.Slots
		e.Reachable = old.Reachable
		return proto.Equal(old, e)
	}
	return false
}

// checksFencing returns the engines of which a section says that they refuse
// older fencing numbers.
func checksFencing(sections []*wire.Section) map[string]bool {
	out := map[string]bool{}
	for _, s := range sections {
		parsed, err := parsedSections.ParseSection(s.Team, s.Text)
		if err != nil {
			continue
		}
		for _, id := range parsed.ChecksFencing {
			out[id] = true
		}
	}
	return out
}

func (s *Server) assignOwners(ctx context.Context, p *picture) {
	for _, a := range membership.AssignOwners(p.view.Entries, p.view.Endpoints) {
		s.try(ctx, &wire.Command{Body: &wire.Command_AssignOwner{AssignOwner: a}}, "assign owner")
	}
}
