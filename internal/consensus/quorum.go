package consensus

import (
	"slices"
	"time"

	"parsleyramp/internal/wire"
)

// A decision (an election, a commit, a lease) needs a quorum in each active
// membership: in the current one and, until that is known to be committed, in the one
// before, which is committed because only then a new one may be proposed. Two replicas
// that differ by one membership change so decide on a common one, whatever the change is.
// A replica that knows that a membership is committed decides by it alone: a quorum of the
// one before stores it by then, and grants no vote to a replica whose log lacks it.
//
// A quorum is a majority of the voters without the discounted one. A replica
// discounts a voter whose disk is known to be lost, which can neither vote nor
// acknowledge again. Any majority of all voters and any majority of all but one have a
// member in common, so the replicas needn't agree on what they know. Each campaign
// fixes the discounted voter and starts without votes: whatever the replicas have
// decided under one lost voter precedes the loss of a second one.

// activeMemberships returns the memberships in each of which a decision needs a quorum.
func (c *Core) activeMemberships() []*wire.Membership {
	last := len(c.memberships) - 1
	if last > 0 && c.memberships[last].index > c.commitIndex {
		return []*wire.Membership{c.memberships[last-1].value, c.memberships[last].value}
	}
	return []*wire.Membership{c.Membership()}
}

// MembershipCommitted reports whether this replica knows that the current membership is
// committed.
func (c *Core) MembershipCommitted() bool { return len(c.activeMemberships()) == 1 }

// activeReplicas returns the ids of the replicas in the active memberships for which
// keep returns true.
func (c *Core) activeReplicas(keep func(*wire.Replica) bool) []uint64 {
	var ids []uint64
	for _, m := range c.activeMemberships() {
		for _, r := range m.GetReplicas() {
			if keep(r) && !slices.Contains(ids, r.Id) {
				ids = append(ids, r.Id)
			}
		}
	}
	return ids
}

// isActive reports whether the replica is in an active membership.
func (c *Core) isActive(id uint64) bool {
	return slices.ContainsFunc(c.activeMemberships(), func(m *wire.Membership) bool { return findReplica(m, id) != nil })
}

// isActiveVoter reports whether the replica is a voter in an active membership.
func (c *Core) isActiveVoter(id uint64) bool {
	return slices.ContainsFunc(c.activeMemberships(), func(m *wire.Membership) bool { return isVoter(m, id) })
}

// MarkLost records that a voter's disk is lost: another replica answers at its address.
// The next campaign discounts it. While an earlier one is still a voter in an active
// membership, the record does not change, because only one voter may be discounted at a
// time.
func (c *Core) MarkLost(id uint64) {
	if id == c.id || !c.isActiveVoter(id) || c.isActiveVoter(c.lostVoter) {
		return
	}
	c.lostVoter = id
}

// LostVoter returns the voter whose disk is known to be lost, or zero. It lasts until the
// voter's removal is known to be committed.
func (c *Core) LostVoter() uint64 {
	if !c.isActiveVoter(c.lostVoter) {
		return 0
	}
	return c.lostVoter
}

// MissingVotes returns the voters that have not granted this candidate or
// pre-candidate their vote, in the active memberships.
func (c *Core) MissingVotes() []uint64 {
	return slices.DeleteFunc(c.Voters(), func(id uint64) bool { return c.votes[id] })
}

// Voters returns the ids of the voters in the active memberships.
func (c *Core) Voters() []uint64 {
	return c.activeReplicas(func(r *wire.Replica) bool { return !r.Learner })
}

// Members returns the replicas of the active memberships, the current one first.
func (c *Core) Members() *wire.Membership {
	active := c.activeMemberships()
	if len(active) == 1 {
		return active[0]
	}
	before, current := active[0], active[1]
	union := &wire.Membership{Replicas: slices.Clone(current.GetReplicas())}
	for _, r := range before.GetReplicas() {
		if findReplica(current, r.Id) == nil {
			union.Replicas = append(union.Replicas, r)
		}
	}
	return union
}

// countedVoters returns the voters of the membership whose decisions count.
func (c *Core) countedVoters(m *wire.Membership) []uint64 {
	return slices.DeleteFunc(voters(m), func(id uint64) bool { return id == c.discounted })
}

// majority returns how many of n voters form a quorum.
func majority(n int) int { return n/2 + 1 }

// voteResult reports whether the votes elect this replica, and whether they can no
// longer do so.
func (c *Core) voteResult() (won, lost bool) {
	won = true
	for _, m := range c.activeMemberships() {
		counted := c.countedVoters(m)
		granted, rejected := 0, 0
		for _, id := range counted {
			if vote, ok := c.votes[id]; ok && vote {
				granted++
			} else if ok {
				rejected++
			}
		}
		won = won && granted >= majority(len(counted))
		lost = lost || rejected >= majority(len(counted))
	}
	return won, lost
}

// quorumOf returns the highest value that a quorum of voters has reached, or zero if
// there are no voters.
func quorumOf[T uint64 | time.Duration](c *Core, value func(*progress) T) T {
	var reached T
	for i, m := range c.activeMemberships() {
		var values []T
		for _, id := range c.countedVoters(m) {
			values = append(values, value(c.progressOf(id)))
		}
		if len(values) == 0 {
			var zero T
			return zero
		}
		slices.Sort(values)
		v := values[len(values)-majority(len(values))]
		if i == 0 || v < reached {
			reached = v
		}
	}
	return reached
}
