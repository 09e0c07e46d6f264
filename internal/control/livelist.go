package control

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/livelist"
	"parsleyramp/internal/ownership"
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

// syncLiveList records the endpoints of the platform's live list. A VM that is
// no longer listed is recorded as leaving, not removed: it may still hold
// residents.
func (s *Server) syncLiveList(ctx context.Context, snap *snapshot) {
	vms, err := s.list.VMs(ctx)
	if err != nil {
		s.log.WithError(err).Warn("reading the live list failed")
		return
	}
	fencing := enginesCheckingFencing(snap.view.Sections)
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
		e := endpointOf(vm)
		e.ChecksFencing = fencing[vm.ID]
		if !s.isRecorded(snap, e) {
			s.setEndpoint(ctx, snap, e)
		}
	}
	for _, e := range snap.view.Endpoints {
		if !listed[e.Id] && !e.Leaving {
			leaving := proto.Clone(e).(*wire.Endpoint)
			leaving.Leaving = true
			s.setEndpoint(ctx, snap, leaving)
		}
	}
}

// setEndpoint records an endpoint, in the snapshot too, so that a later task of
// the same pass does not overwrite it with the earlier value.
func (s *Server) setEndpoint(ctx context.Context, snap *snapshot, e *wire.Endpoint) {
	if !s.proposeInTermAndLog(ctx, snap.term, &wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: e}}}, "sync live list") {
		return
	}
	index := slices.IndexFunc(snap.view.Endpoints, func(old *wire.Endpoint) bool { return old.Id == e.Id })
	if index < 0 {
		return
	}
	// Other goroutines read the same view, so it is replaced, not modified.
	old := snap.view
	snap.view = &wire.View{
		Revision: old.Revision, Sections: old.Sections, Entries: old.Entries, Endpoints: slices.Clone(old.Endpoints),
		Residents: old.Residents, Suspects: old.Suspects,
	}
	snap.view.Endpoints[index] = proto.Clone(e).(*wire.Endpoint)
}

// isRecorded reports whether the view already holds the endpoint as the live
// list describes it. It copies into e the fields that come from other sources.
func (s *Server) isRecorded(snap *snapshot, e *wire.Endpoint) bool {
	for _, old := range snap.view.Endpoints {
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

// enginesCheckingFencing returns the engines that the sections declare to reject
// orders with an older fencing token.
func enginesCheckingFencing(sections []*wire.Section) map[string]bool {
	out := map[string]bool{}
	for _, s := range sections {
		parsed, err := sectionCache.ParseSection(s.Team, s.Text)
		if err != nil {
			continue
		}
		for _, id := range parsed.ChecksFencing {
			out[id] = true
		}
	}
	return out
}

func (s *Server) assignOwners(ctx context.Context, snap *snapshot) {
	for _, a := range ownership.AssignOwners(snap.view.Entries, snap.view.Endpoints) {
		s.proposeAndLog(ctx, &wire.Command{Body: &wire.Command_AssignOwner{AssignOwner: a}}, "assign owner")
	}
}
