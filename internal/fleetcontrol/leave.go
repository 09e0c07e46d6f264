package fleetcontrol

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

const (
	// leaveTimeout bounds all attempts of a stopping replica to leave the membership,
	// and leaveRetryInterval is the time between two of them.
	leaveTimeout       = 3 * time.Second
	leaveRetryInterval = 20 * time.Millisecond
)

// errTooFewVoters means that the group needs the voter that asks to leave, and
// errTooFewReachable that the leader has not heard from enough others: one that has just been
// elected has heard from none.
var (
	errTooFewVoters    = fail.New(fail.MembershipChange, "too few voters would remain")
	errTooFewReachable = fail.New(fail.Unavailable, "too few of the voters that would remain have responded yet")
)

// leaveGroup asks the leader to give the vote of this replica, which is about to stop, to
// another one, so that the quorum doesn't count it while it is gone. Nothing tells a
// removal from a restart, so the replica keeps its vote if the others are not enough for the
// tolerated losses. A replica without a vote has nothing to give.
func (s *Server) leaveGroup(ctx context.Context) {
	s.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		done, err := s.tryLeave(ctx)
		switch {
		case done && err == nil:
			s.log.Info("left the membership")
			return
		case done:
			s.log.WithError(err).Info("stays in the membership")
			return
		}
		select {
		case <-ctx.Done():
			s.log.WithError(err).Warn("failed to leave the membership before the shutdown")
			return
		case <-time.After(leaveRetryInterval):
		}
	}
}

// tryLeave makes one attempt to leave. done is true if no further one is needed; the
// error then tells why this replica stays a voter.
func (s *Server) tryLeave(ctx context.Context) (done bool, err error) {
	status, err := s.node.Status(ctx)
	if err != nil {
		return true, err
	}
	if !mayLeave(status, s.cfg.minVoters()) {
		return true, errTooFewVoters
	}
	if status.Leading {
		// Another replica that is stopping has handed its leadership over.
		s.node.TransferLeadership(ctx)
		return false, errNotLeading
	}
	leader := status.LeaderAddress()
	if leader == "" {
		return false, errNotLeading
	}
	client := wireconnect.NewFleetServiceClient(s.peers, "http://"+leader)
	_, err = client.Leave(ctx, connect.NewRequest(&wire.LeaveRequest{Id: status.ID, Group: s.group.Name()}))
	if err == nil {
		return true, nil
	}
	failure, _ := rpcerror.FromConnect(err)
	return failure.Message == errTooFewVoters.Message, failure
}

// mayLeave reports whether this replica is a voter that others may replace, as far as
// it knows.
func mayLeave(s replica.Status, minVoters int) bool {
	return isVoter(s.Membership, s.ID) && len(s.Membership.GetReplicas()) > minVoters
}

// removeVoter takes the vote from a replica that is about to stop, if the group can do
// without it.
func (s *Server) removeVoter(ctx context.Context, r *wire.LeaveRequest) error {
	if r.Group != s.group.Name() {
		return replica.ErrOtherGroup
	}
	s.membershipMu.Lock()
	defer s.membershipMu.Unlock()
	status, err := s.node.Status(ctx)
	if err != nil {
		return err
	}
	if !isVoter(status.Membership, r.Id) {
		return nil
	}
	next, err := membershipWithoutLeaving(status, r.Id, s.cfg.minVoters())
	if err != nil {
		return err
	}
	if err := s.node.ProposeMembership(ctx, next); err != nil {
		return err
	}
	s.log.WithFields(logrus.Fields{"reason": "voter is stopping", "voter": r.Id}).Info("membership changed")
	return nil
}

func isVoter(m *wire.Membership, id uint64) bool {
	return slices.ContainsFunc(m.GetReplicas(), func(r *wire.Replica) bool { return r.Id == id && !r.Learner })
}

// Leave takes the vote from a replica that is about to stop.
func (f *fleetService) Leave(ctx context.Context, req *connect.Request[wire.LeaveRequest]) (*connect.Response[wire.LeaveResponse], error) {
	if _, ok := f.s.leadingTerm(ctx); !ok {
		return nil, f.s.node.RPCError(ctx, errNotLeading)
	}
	if err := f.s.removeVoter(ctx, req.Msg); err != nil {
		return nil, f.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(&wire.LeaveResponse{}), nil
}
