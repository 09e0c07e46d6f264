package fleetcontrol

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/wire"
)

const (
	// goneTimeout is used in place of voterTimeout while several voters are unresponsive and
	// the removal of one doesn't lower the quorum.
	goneTimeout = 4 * time.Second
	// maxVoters bounds the number of voters; further replicas stay learners.
	maxVoters = 9
)

// nextMembership returns the next membership and the reason for the change, or
// nil if there is nothing to change. Each change affects at most one voter:
//
//   - A voter is removed if a caught-up learner has its address, because the
//     voter's disk is gone, or if it is unresponsive and a caught-up learner can
//     replace it. It is removed before the learner becomes a voter, because until
//     then it only raises the quorum.
//   - A caught-up learner becomes a voter. While several voters are silent and may turn
//     out to be gone, it waits, unless there are fewer than minVoters: more voters
//     would raise the quorum further.
//   - An unresponsive voter is removed, whether or not that lowers the quorum, because
//     it would count against the next loss. At least minVoters remain, so that a commit is
//     on as many disks as the group needs to bear the losses that it tolerates.
//   - An unresponsive learner is removed.
func nextMembership(s replica.Status, sinceResponse map[uint64]time.Duration, minVoters int) (*wire.Membership, string) {
	var voters, learners []*wire.Replica
	for _, r := range s.Membership.GetReplicas() {
		if r.Learner {
			learners = append(learners, r)
		} else {
			voters = append(voters, r)
		}
	}
	for _, l := range learners {
		if !s.Reachable[l.Id] || !s.CaughtUp[l.Id] {
			continue
		}
		v := voterReplacedBy(voters, l, sinceResponse, minVoters)
		if v != nil && keepsQuorum(s, voters, v.Id) {
			return withoutReplica(s.Membership, v.Id), "voter replaced"
		}
		if len(voters) < maxVoters && (v != nil || len(voters) < minVoters || unreachable(s, voters) < 2) {
			return withVoter(s.Membership, l.Id), "learner caught up"
		}
	}
	if v := removableVoter(s, voters, sinceResponse); v != nil && len(voters) > minVoters {
		return withoutReplica(s.Membership, v.Id), "voter unresponsive"
	}
	for _, l := range learners {
		if sinceResponse[l.Id] >= learnerTimeout {
			return withoutReplica(s.Membership, l.Id), "learner unresponsive"
		}
	}
	return nil, ""
}

// membershipWithoutLeaving returns the membership without a voter that is about to
// stop, or a step towards it: one with a caught-up learner as another voter. It returns
// errTooFewVoters if fewer than minVoters would be left, and errTooFewReachable if that, or
// no quorum of those that remain, is so only as long as no more replicas respond.
func membershipWithoutLeaving(s replica.Status, leaving uint64, minVoters int) (*wire.Membership, error) {
	var voters []*wire.Replica
	var successor *wire.Replica
	for _, r := range s.Membership.GetReplicas() {
		switch {
		case !r.Learner:
			voters = append(voters, r)
		case s.Reachable[r.Id] && s.CaughtUp[r.Id]:
			successor = r
		}
	}
	if len(voters) > minVoters && keepsQuorum(s, voters, leaving) {
		return withoutReplica(s.Membership, leaving), nil
	}
	if successor != nil && len(voters) < maxVoters {
		return withVoter(s.Membership, successor.Id), nil
	}
	if len(s.Membership.GetReplicas()) > minVoters {
		return nil, errTooFewReachable
	}
	return nil, errTooFewVoters
}

// removableVoter returns the voter that has been unresponsive for the longest time, if the group
// can do without it, or nil. Several unresponsive voters may be cut off together, so the timeout
// is longer for them unless the removal of one lowers the quorum.
func removableVoter(s replica.Status, voters []*wire.Replica, sinceResponse map[uint64]time.Duration) *wire.Replica {
	timeout := voterTimeout
	if len(voters)%2 == 1 && unreachable(s, voters) > 1 {
		timeout = goneTimeout
	}
	v := longestSilent(voters, sinceResponse)
	if sinceResponse[v.Id] < timeout || !keepsQuorum(s, voters, v.Id) {
		return nil
	}
	return v
}

// longestSilent returns the voter that has not responded for the longest time: a voter that
// is gone for good is silent for longer than one that is cut off and comes back.
func longestSilent(voters []*wire.Replica, sinceResponse map[uint64]time.Duration) *wire.Replica {
	return slices.MaxFunc(voters, func(a, b *wire.Replica) int { return cmp.Compare(sinceResponse[a.Id], sinceResponse[b.Id]) })
}

// voterReplacedBy returns the voter that the learner replaces, or nil. An unresponsive voter is
// replaced only if there are minVoters with it.
func voterReplacedBy(voters []*wire.Replica, l *wire.Replica, sinceResponse map[uint64]time.Duration, minVoters int) *wire.Replica {
	for _, v := range voters {
		if v.Address == l.Address {
			return v
		}
	}
	if v := longestSilent(voters, sinceResponse); sinceResponse[v.Id] >= voterTimeout && len(voters) >= minVoters {
		return v
	}
	return nil
}

// unreachable returns the number of voters that have not responded within an election timeout.
func unreachable(s replica.Status, voters []*wire.Replica) int {
	n := 0
	for _, v := range voters {
		if !s.Reachable[v.Id] {
			n++
		}
	}
	return n
}

// keepsQuorum reports whether a majority of the voters that remain without the
// given one is reachable.
func keepsQuorum(s replica.Status, voters []*wire.Replica, without uint64) bool {
	remaining, reachable := 0, 0
	for _, v := range voters {
		if v.Id == without {
			continue
		}
		remaining++
		if s.Reachable[v.Id] {
			reachable++
		}
	}
	return reachable >= remaining/2+1
}

func withoutReplica(m *wire.Membership, id uint64) *wire.Membership {
	next := proto.Clone(m).(*wire.Membership)
	next.Replicas = slices.DeleteFunc(next.Replicas, func(r *wire.Replica) bool { return r.Id == id })
	return next
}

func withVoter(m *wire.Membership, id uint64) *wire.Membership {
	next := proto.Clone(m).(*wire.Membership)
	for _, r := range next.Replicas {
		if r.Id == id {
			r.Learner = false
		}
	}
	return next
}
