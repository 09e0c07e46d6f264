package control

import (
	"context"
	"math/rand/v2"
	"slices"

	"connectrpc.com/connect"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/replica"
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
	if *r.s.group.Load() == "" && r.s.node.Invited(req.Msg.Messages) {
		if err := r.s.joinGroup(req.Msg.Group); err != nil {
			return nil, rpcerror.ToConnect(err, "")
		}
	}
	if req.Msg.Group == "" || req.Msg.Group != *r.s.group.Load() {
		return nil, rpcerror.ToConnect(errOtherGroup, "")
	}
	r.s.sender.Learn(req.Msg.Messages, req.Msg.Address)
	r.s.node.Deliver(req.Msg.Messages)
	return connect.NewResponse(&wire.DeliverResponse{}), nil
}

var errOtherGroup = fail.New(fail.MembershipChange, "the replica belongs to another group or to none")

// joinGroup stores the group in the replica's identity. The first of two that
// race wins. The identity is written before anything of the group's log.
func (s *Server) joinGroup(group string) error {
	s.joining.Lock()
	defer s.joining.Unlock()
	switch *s.group.Load() {
	case group:
		return nil
	case "":
	default:
		return errOtherGroup
	}
	if err := s.journal.SetGroup(group); err != nil {
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

// Bootstrap installs the first membership of a new group. A repeated call
// changes nothing and succeeds.
func (b *bootstrapService) Bootstrap(ctx context.Context, req *connect.Request[wire.BootstrapRequest]) (*connect.Response[wire.BootstrapResponse], error) {
	if err := b.s.bootstrap(ctx, req.Msg); err != nil {
		return nil, rpcerror.ToConnect(err, "")
	}
	return connect.NewResponse(&wire.BootstrapResponse{}), nil
}

func (s *Server) bootstrap(ctx context.Context, r *wire.BootstrapRequest) error {
	if r.Group != replica.GroupName(r.Membership) {
		return fail.New(fail.BadRequest, "the name of the group does not stand for its replicas")
	}
	self := func(x *wire.Replica) bool { return x.Id == s.node.Identity().ID && !x.Learner }
	if !slices.ContainsFunc(r.Membership.GetReplicas(), self) {
		return fail.New(fail.BadRequest, "the replica is not a voter of the group")
	}
	if err := s.joinGroup(r.Group); err != nil {
		return err
	}
	return s.node.Bootstrap(ctx, r.Membership)
}
