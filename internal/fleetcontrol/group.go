package fleetcontrol

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

const (
	// formInterval is the time between two looks at whether this replica
	// belongs to a group.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one request to join.
	joinTimeout = time.Second
	// repairInterval is the time between two looks at the membership.
	repairInterval = 250 * time.Millisecond
	// lostAfter is how long a replica must not answer before the group may
	// shrink by it.
	voterTimeout = 2 * time.Second
	// forgetLearner is how long a learner must not answer before it is dropped.
	learnerTimeout = 8 * time.Second
)

// form installs the first membership on seeds at the first start, and asks the
// group to be let in wherever this replica is not part of it.
func (s *Server) joinGroup(ctx context.Context) {
	if s.cfg.FirstStart && s.cfg.isSeed() {
		if err := s.bootstrap(ctx); err != nil {
			s.log.WithError(err).Error("group not formed")
		}
	}
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	for attempt := 0; ; attempt++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if status, err := s.node.Status(ctx); err != nil || s.isMember(status) {
			continue
		}
		s.requestJoin(ctx, attempt)
	}
}

// member reports whether the replica hears a leader and knows itself in the
// membership.
func (s *Server) isMember(status replica.Status) bool {
	return status.Leader != 0 && slices.ContainsFunc(status.Membership.GetReplicas(), func(r *wire.Replica) bool { return r.Id == status.ID })
}

// bootstrap forms the group of all seeds. Each seed does the same by itself;
// their ids follow from their addresses. A replica that has a group, or an id
// of its own, changes nothing.
func (s *Server) bootstrap(ctx context.Context) error {
	if s.group.Name() != "" || s.node.Identity().ID != seedID(s.cfg.Address) {
		return nil
	}
	m := firstMembership(s.cfg.seedPeers())
	if err := s.group.Join(replica.GroupName(m)); err != nil {
		return err
	}
	return s.node.Bootstrap(ctx, m)
}

// firstMembership returns the group of the seeds, whatever their order.
func firstMembership(peers []string) *wire.Membership {
	m := &wire.Membership{}
	for _, a := range peers {
		m.Replicas = append(m.Replicas, &wire.Replica{Id: seedID(a), Address: a})
	}
	slices.SortFunc(m.Replicas, func(a, b *wire.Replica) int { return cmp.Compare(a.Id, b.Id) })
	return m
}

// askToJoin asks one control replica after the other to let this one in.
func (s *Server) requestJoin(ctx context.Context, attempt int) {
	addresses := slices.DeleteFunc(s.knownReplicas(ctx), func(a string) bool { return a == s.cfg.Address })
	if len(addresses) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	req := &wire.JoinRequest{Id: s.node.Identity().ID, Address: s.cfg.Address, Group: s.group.Name()}
	address := addresses[attempt%len(addresses)]
	for range 2 {
		client := wireconnect.NewFleetServiceClient(s.peers, "http://"+address)
		_, err := client.Join(ctx, connect.NewRequest(req))
		if err == nil {
			return
		}
		failure, leader := rpcerror.FromConnect(err)
		if leader == "" || leader == address {
			s.log.WithError(failure).WithField("asked", address).Debug("not let into the group yet")
			return
		}
		address = leader
	}
}

// knownReplicas returns the seeds and the members that this replica knows.
func (s *Server) knownReplicas(ctx context.Context) []string {
	out := slices.Clone(*s.seeds.Load())
	status, err := s.node.Status(ctx)
	if err != nil {
		return out
	}
	for _, r := range status.Membership.GetReplicas() {
		if !slices.Contains(out, r.Address) {
			out = append(out, r.Address)
		}
	}
	return out
}

// admit adds a replica to the membership as a learner.
func (s *Server) admit(ctx context.Context, r *wire.JoinRequest) error {
	if group := s.group.Name(); r.Group != "" && r.Group != group {
		return replica.ErrOtherGroup
	}
	status, err := s.node.Status(ctx)
	if err != nil {
		return err
	}
	next := withLearner(status.Membership, r.Id, r.Address)
	if next == nil {
		return nil
	}
	s.log.WithFields(logrus.Fields{"replica": r.Id, "at": r.Address}).Info("replica admitted as a learner")
	return s.node.ProposeMembership(ctx, next)
}

// withLearner returns the membership with the replica as a learner, or nil
// where it is in it. A learner that was at its address before is dropped, for
// that one's disk is gone.
func withLearner(m *wire.Membership, id uint64, address string) *wire.Membership {
	if slices.ContainsFunc(m.GetReplicas(), func(r *wire.Replica) bool { return r.Id == id }) {
		return nil
	}
	next := proto.Clone(m).(*wire.Membership)
	next.Replicas = slices.DeleteFunc(next.Replicas, func(r *wire.Replica) bool { return r.Learner && r.Address == address })
	next.Replicas = append(next.Replicas, &wire.Replica{Id: id, Address: address, Learner: true})
	return next
}

// repair carries out the changes of the membership that nextMembership decides.
func (s *Server) repairMembership(ctx context.Context) {
	tick := time.NewTicker(repairInterval)
	defer tick.Stop()
	var reach reachability
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		status, err := s.node.Status(ctx)
		if err != nil || !status.Leading {
			reach = reachability{}
			continue
		}
		reach.record(status, s.clock())
		next, reason := nextMembership(status, reach.sinceResponse(status, s.clock()))
		if next == nil {
			continue
		}
		if err := s.node.ProposeMembership(ctx, next); err != nil {
			s.log.WithError(err).WithField("reason", reason).Warn("membership not changed")
			continue
		}
		s.log.WithFields(logrus.Fields{"reason": reason, "replicas": len(next.Replicas)}).Info("membership changed")
	}
}

// reachability remembers when each replica last answered this leader.
type reachability struct {
	lastResponse map[uint64]time.Duration
}

func (r *reachability) record(status replica.Status, now time.Duration) {
	if r.lastResponse == nil {
		r.lastResponse = map[uint64]time.Duration{}
	}
	for _, x := range status.Membership.GetReplicas() {
		if _, ok := r.lastResponse[x.Id]; !ok || status.Reachable[x.Id] {
			r.lastResponse[x.Id] = now
		}
	}
}

func (r *reachability) sinceResponse(status replica.Status, now time.Duration) map[uint64]time.Duration {
	out := map[uint64]time.Duration{}
	for _, x := range status.Membership.GetReplicas() {
		out[x.Id] = now - r.lastResponse[x.Id]
	}
	return out
}
