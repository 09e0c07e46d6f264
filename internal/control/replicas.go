package control

import (
	"context"
	"math/rand/v2"

	"connectrpc.com/connect"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/wire"
)

// newReplicaID returns an id that no other replica has. A seed of zero takes
// the system's randomness.
func newReplicaID(seed uint64) uint64 {
	if seed == 0 {
		return rand.Uint64() | 1
	}
	return rand.New(rand.NewPCG(seed, 0)).Uint64() | 1
}

// replicaService takes messages from other replicas.
type replicaService struct{ s *Server }

// Deliver passes messages to the replica, and drops those of another group.
func (r *replicaService) Deliver(_ context.Context, req *connect.Request[wire.DeliverRequest]) (*connect.Response[wire.DeliverResponse], error) {
	group := *r.s.group.Load()
	if group == "" && req.Msg.Group != "" {
		// A blank replica joins the group that first adds it as a learner.
		if err := r.s.joinGroup(req.Msg.Group); err != nil {
			return nil, rpcerror.ToConnect(err, "")
		}
		group = req.Msg.Group
	}
	if req.Msg.Group != group {
		return nil, rpcerror.ToConnect(fail.New(fail.ForeignFolder, "the replica belongs to another group"), "")
	}
	r.s.node.Deliver(req.Msg.Messages)
	return connect.NewResponse(&wire.DeliverResponse{}), nil
}

// joinGroup stores the group in the replica's identity.
func (s *Server) joinGroup(group string) error {
	id := s.node.Identity()
	if err := journal.SaveIdentity(s.cfg.DataFolder, journal.Identity{ID: id.ID, Group: group}); err != nil {
		return err
	}
	s.group.Store(&group)
	return nil
}

// bootstrapService forms a new group.
type bootstrapService struct{ s *Server }

// Identify tells the replica's id, which a new group is made of.
func (b *bootstrapService) Identify(context.Context, *connect.Request[wire.IdentifyRequest]) (*connect.Response[wire.IdentifyResponse], error) {
	return connect.NewResponse(&wire.IdentifyResponse{
		Id: b.s.node.Identity().ID, Group: *b.s.group.Load(), Domain: b.s.cfg.Domain, Address: b.s.cfg.Address,
	}), nil
}

// Bootstrap installs the first membership of a new group.
func (b *bootstrapService) Bootstrap(ctx context.Context, req *connect.Request[wire.BootstrapRequest]) (*connect.Response[wire.BootstrapResponse], error) {
	group := *b.s.group.Load()
	if group != "" && group != req.Msg.Group {
		return nil, rpcerror.ToConnect(fail.New(fail.MembershipChange, "the replica belongs to another group"), "")
	}
	if group == "" {
		if err := b.s.joinGroup(req.Msg.Group); err != nil {
			return nil, rpcerror.ToConnect(err, "")
		}
	}
	if err := b.s.node.Bootstrap(ctx, req.Msg.Membership); err != nil && group == "" {
		return nil, rpcerror.ToConnect(err, "")
	}
	return connect.NewResponse(&wire.BootstrapResponse{}), nil
}
