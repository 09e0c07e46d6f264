package fleetcontrol

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/wire"
)

const (
	// minVoters is the size below which a group does not shrink.
	minVoters = 3
	// maxVoters bounds the replicas that vote; the rest stay learners.
	maxVoters = 9
)

// nextMembership returns the next change of the membership and its reason, or
// nil. Each changes one voter at most:
//
//   - a voter whose address a caught-up learner has taken over is removed, for
//     its disk is gone, and so is one that has been silent while a caught-up
//     learner waits to take its place, before the learner may vote: until then
//     it only raises the quorum;
//   - a caught-up learner becomes a voter;
//   - a silent voter of an even number is removed, which lowers the quorum;
//   - a silent learner is dropped.
func nextMembership(s replica.Status, sinceResponse map[uint64]time.Duration) (*wire.Membership, string) {
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
		if v := voterReplacedBy(voters, l, sinceResponse); v != nil && keepsQuorum(s, voters, v.Id) {
			return withoutReplica(s.Membership, v.Id), "voter replaced"
		}
		if len(voters) < maxVoters {
			return withVoter(s.Membership, l.Id), "learner caught up"
		}
	}
	for _, v := range voters {
		if len(voters) > minVoters && len(voters)%2 == 0 && sinceResponse[v.Id] >= voterTimeout && keepsQuorum(s, voters, v.Id) {
			return withoutReplica(s.Membership, v.Id), "voter silent"
		}
	}
	for _, l := range learners {
		if sinceResponse[l.Id] >= learnerTimeout {
			return withoutReplica(s.Membership, l.Id), "learner silent"
		}
	}
	return nil, ""
}

// replacedBy returns the voter that the learner takes the place of, or nil.
func voterReplacedBy(voters []*wire.Replica, l *wire.Replica, sinceResponse map[uint64]time.Duration) *wire.Replica {
	for _, v := range voters {
		if v.Address == l.Address {
			return v
		}
	}
	for _, v := range voters {
		if sinceResponse[v.Id] >= voterTimeout {
			return v
		}
	}
	return nil
}

// keepsQuorum reports whether the voters that remain without one can decide.
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
