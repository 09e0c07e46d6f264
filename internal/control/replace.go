package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

const catchUpPoll = 100 * time.Millisecond

func (s *Server) replaceReplica(ctx context.Context, r *wire.ReplaceReplicaRequest) (*wire.Membership, error) {
	if add := r.Add; add != nil {
		if err := s.addLearner(ctx, add); err != nil {
			return nil, err
		}
		if err := s.waitCaughtUp(ctx, add.Id); err != nil {
			return nil, err
		}
		if err := s.changeMembership(ctx, func(m *wire.Membership) { setLearner(m, add.Id, false) }); err != nil {
			return nil, err
		}
	}
	if r.RemoveId != 0 {
		if err := s.changeMembership(ctx, func(m *wire.Membership) { remove(m, r.RemoveId) }); err != nil {
			return nil, err
		}
	}
	status, err := s.node.Status(ctx)
	return status.Membership, err
}

func (s *Server) addLearner(ctx context.Context, add *wire.Replica) error {
	return s.changeMembership(ctx, func(m *wire.Membership) {
		if !slices.ContainsFunc(m.Replicas, func(x *wire.Replica) bool { return x.Id == add.Id }) {
			added := proto.Clone(add).(*wire.Replica)
			added.Learner = true
			m.Replicas = append(m.Replicas, added)
		}
	})
}

func (s *Server) waitCaughtUp(ctx context.Context, id uint64) error {
	for {
		ok, err := s.node.CaughtUp(ctx, id)
		if err != nil || ok {
			return err
		}
		select {
		case <-ctx.Done():
			return fail.Wrap(ctx.Err(), fail.MembershipChange, "the new replica has not caught up yet; run the same command again")
		case <-time.After(catchUpPoll):
		}
	}
}

// changeMembership commits the edited membership, or nothing where the edit
// changes nothing.
func (s *Server) changeMembership(ctx context.Context, edit func(*wire.Membership)) error {
	status, err := s.node.Status(ctx)
	if err != nil {
		return err
	}
	if !status.Leading {
		return fail.New(fail.NotLeader, "this replica does not lead")
	}
	next := proto.Clone(status.Membership).(*wire.Membership)
	edit(next)
	if proto.Equal(next, status.Membership) {
		return nil
	}
	return s.node.ProposeMembership(ctx, next)
}

func setLearner(m *wire.Membership, id uint64, learner bool) {
	for _, r := range m.Replicas {
		if r.Id == id {
			r.Learner = learner
		}
	}
}

func remove(m *wire.Membership, id uint64) {
	m.Replicas = slices.DeleteFunc(m.Replicas, func(r *wire.Replica) bool { return r.Id == id })
}
