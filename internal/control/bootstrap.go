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

// newReplicaID returns a random, nonzero ID, so that no two replicas share one. A
// seed of zero uses the system's randomness.
func newReplicaID(seed uint64) uint64 {
	if seed == 0 {
		return rand.Uint64() | 1
	}
	return rand.New(rand.NewPCG(seed, 0)).Uint64() | 1
}

// bootstrapService forms a new group.
type bootstrapService struct{ s *Server }

// Identify returns the replica's ID, from which the membership of a new group is
// built, with its group, failure domain and address.
func (b *bootstrapService) Identify(context.Context, *connect.Request[wire.IdentifyRequest]) (*connect.Response[wire.IdentifyResponse], error) {
	return connect.NewResponse(&wire.IdentifyResponse{
		Id: b.s.node.Identity().ID, Group: b.s.group.Name(), Domain: b.s.cfg.Domain, Address: b.s.cfg.Address,
	}), nil
}

// Bootstrap installs the initial membership of a new group. It is idempotent.
func (b *bootstrapService) Bootstrap(ctx context.Context, req *connect.Request[wire.BootstrapRequest]) (*connect.Response[wire.BootstrapResponse], error) {
	if err := b.s.bootstrap(ctx, req.Msg); err != nil {
		return nil, rpcerror.ToConnect(err, "")
	}
	return connect.NewResponse(&wire.BootstrapResponse{}), nil
}

func (s *Server) bootstrap(ctx context.Context, r *wire.BootstrapRequest) error {
	if r.Group != replica.GroupName(r.Membership) {
		return fail.New(fail.BadRequest, "the name of the group does not match its replicas")
	}
	self := func(x *wire.Replica) bool { return x.Id == s.node.Identity().ID && !x.Learner }
	if !slices.ContainsFunc(r.Membership.GetReplicas(), self) {
		return fail.New(fail.BadRequest, "the replica is not a voter of the group")
	}
	if err := s.group.Join(r.Group); err != nil {
		return err
	}
	return s.node.Bootstrap(ctx, r.Membership)
}
