package fleetcontrol

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

const (
	// joinInterval is the time between two checks whether this replica belongs to
	// a group.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one attempt to join, including a redirect to the leader.
	joinTimeout = time.Second
	// joinFailuresPerLog is how many attempts to join share one line in the log.
	joinFailuresPerLog = 10
	// repairInterval is the time between two checks of the membership.
	repairInterval = 250 * time.Millisecond
	// domainInterval is the time between two requests of a member to record its domain.
	domainInterval = 2 * time.Second
	// learnerTimeout is the time since its last response after which a learner is
	// removed.
	learnerTimeout = 8 * time.Second
)

// joinGroup installs the initial membership on seeds at the first start, and asks
// the group to admit this replica as long as it is not a member with its domain: the first
// membership names no domains, and an older build records none. It tries again after a
// disk has refused either.
func (s *Server) joinGroup(ctx context.Context) {
	bootstrapped := !s.cfg.isSeed()
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	var nextRequest time.Duration
	for attempt := 0; ; attempt++ {
		if !bootstrapped {
			err := s.bootstrap(ctx)
			if bootstrapped = err == nil; err != nil && attempt%joinFailuresPerLog == 0 {
				s.log.WithError(err).Error("failed to install initial membership")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		status, err := s.node.Status(ctx)
		if err != nil || status.StorageFailing || s.leaving.Load() {
			continue
		}
		own := ownEntry(status)
		if own != nil && (own.Domain == s.cfg.Domain || s.clock() < nextRequest) {
			continue
		}
		if s.requestJoin(ctx, attempt) {
			nextRequest = s.clock() + domainInterval
		}
	}
}

// ownEntry returns this replica's entry in the membership, or nil if there is none or the
// replica knows no leader.
func ownEntry(status replica.Status) *wire.Replica {
	i := slices.IndexFunc(status.Membership.GetReplicas(), func(r *wire.Replica) bool { return r.Id == status.ID })
	if i < 0 || status.Leader == 0 {
		return nil
	}
	return status.Membership.Replicas[i]
}

// bootstrap installs the initial membership of all seeds. Each seed derives the
// same membership, because the ids follow from the addresses. It does nothing on
// a replica that has a random id, or belongs to another group, or to none after its first
// start. In the group of the seeds it completes a first start that was interrupted.
func (s *Server) bootstrap(ctx context.Context) error {
	m := firstMembership(s.cfg.seedPeers())
	name := replica.GroupName(m)
	joined := s.group.Name() == name
	begins := s.group.Name() == "" && s.cfg.FirstStart
	if s.node.Identity().ID != seedID(s.cfg.Address) || !joined && !begins {
		return nil
	}
	if err := s.group.Join(name); err != nil {
		return err
	}
	return s.node.Bootstrap(ctx, m)
}

// firstMembership returns the membership of the seeds. It doesn't depend on their
// order.
func firstMembership(peers []string) *wire.Membership {
	m := &wire.Membership{}
	for _, a := range peers {
		m.Replicas = append(m.Replicas, &wire.Replica{Id: seedID(a), Address: a})
	}
	slices.SortFunc(m.Replicas, func(a, b *wire.Replica) int { return cmp.Compare(a.Id, b.Id) })
	return m
}

// requestJoin asks one of the known control replicas, a different one with each
// attempt, to admit this replica, and reports whether the leader did. It follows one redirect
// to the leader.
func (s *Server) requestJoin(ctx context.Context, attempt int) bool {
	addresses := slices.DeleteFunc(s.knownReplicas(ctx), func(a string) bool { return a == s.cfg.Address })
	if len(addresses) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	req := &wire.JoinRequest{Id: s.node.Identity().ID, Address: s.cfg.Address, Group: s.group.Name(), Domain: s.cfg.Domain}
	address := addresses[attempt%len(addresses)]
	for range 2 {
		client := wireconnect.NewFleetServiceClient(s.peers, "http://"+address)
		_, err := client.Join(ctx, connect.NewRequest(req))
		if err == nil {
			return true
		}
		failure, leader := rpcerror.FromConnect(err)
		if leader == "" || leader == address {
			if attempt%joinFailuresPerLog == 0 {
				s.log.WithError(failure).WithField("asked", address).Warn("not a member of the group, and a join request failed")
			}
			return false
		}
		address = leader
	}
	return false
}

// knownReplicas returns the addresses of the seeds, of replicas that sent messages for
// one that had this address before, and of the members in the membership that this
// replica knows.
func (s *Server) knownReplicas(ctx context.Context) []string {
	out := append(slices.Clone(*s.seeds.Load()), s.sender.Contacts()...)
	// Without a status, the others are still known.
	status, _ := s.node.Status(ctx)
	for _, r := range status.Membership.GetReplicas() {
		out = append(out, r.Address)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// admit adds a replica to the membership as a learner, or records the domain of a member.
func (s *Server) admit(ctx context.Context, r *wire.JoinRequest) error {
	if group := s.group.Name(); r.Group != "" && r.Group != group {
		return replica.ErrOtherGroup
	}
	s.membershipMu.Lock()
	defer s.membershipMu.Unlock()
	status, err := s.node.Status(ctx)
	if err != nil {
		return err
	}
	next := withMember(status.Membership, r)
	if next == nil {
		return nil
	}
	s.log.WithFields(logrus.Fields{"replica": r.Id, "at": r.Address, "domain": r.Domain}).Info("replica admitted to the membership, or its domain recorded")
	return s.node.ProposeMembership(ctx, next)
}

// repairMembership proposes the membership changes that nextMembership returns
// while this replica leads.
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
		for s.changeMembership(ctx, &reach) {
		}
	}
}

// changeMembership proposes the next membership change, if there is one, and reports
// whether it was committed.
func (s *Server) changeMembership(ctx context.Context, reach *reachability) bool {
	s.membershipMu.Lock()
	defer s.membershipMu.Unlock()
	status, err := s.node.Status(ctx)
	if err != nil || !status.Leading {
		*reach = reachability{}
		return false
	}
	reach.record(status, s.clock())
	next, reason := nextMembership(status, reach.contacts(status, s.clock()), s.cfg.minVoters())
	if next == nil {
		return false
	}
	if err := s.node.ProposeMembership(ctx, next); err != nil {
		s.log.WithError(err).WithField("reason", reason).Warn("failed to change membership")
		return false
	}
	s.log.WithFields(logrus.Fields{"reason": reason, "replicas": len(next.Replicas)}).Info("membership changed")
	return true
}

// contact tells for how long a replica has not responded to this leader, and for how long it has
// not been silent.
type contact struct{ silent, steady time.Duration }

// reachability holds the time at which each replica in the membership last responded to
// this leader, and at which it was last silent; a replica without the latter never was.
type reachability struct {
	lastResponse map[uint64]time.Duration
	lastSilent   map[uint64]time.Duration
}

// record sets the time of the last response to now for each reachable replica, and for
// each replica that is new in the membership.
func (r *reachability) record(status replica.Status, now time.Duration) {
	lastResponse, lastSilent := map[uint64]time.Duration{}, map[uint64]time.Duration{}
	for _, x := range status.Membership.GetReplicas() {
		at, known := r.lastResponse[x.Id]
		if !known || status.Reachable[x.Id] {
			at = now
		}
		lastResponse[x.Id] = at
		if since, silent := r.lastSilent[x.Id]; silent {
			lastSilent[x.Id] = since
		}
		if now-at >= silentTimeout {
			lastSilent[x.Id] = now
		}
	}
	r.lastResponse, r.lastSilent = lastResponse, lastSilent
}

func (r *reachability) contacts(status replica.Status, now time.Duration) map[uint64]contact {
	out := map[uint64]contact{}
	for _, x := range status.Membership.GetReplicas() {
		c := contact{silent: now - r.lastResponse[x.Id], steady: settleTime}
		if since, silent := r.lastSilent[x.Id]; silent {
			c.steady = now - since
		}
		out[x.Id] = c
	}
	return out
}
