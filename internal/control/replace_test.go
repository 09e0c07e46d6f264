package control

import (
	"flag"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/wire"
)

// init fixes the seed of rapid, so that every run gives the same result. Flags on
// the command line are parsed later and take precedence.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "100")
	flag.Set("rapid.nofailfile", "true")
}

func statusOf(learners, reachable, caughtUp []uint64, ids ...uint64) replica.Status {
	s := replica.Status{Leading: true, Membership: &wire.Membership{}, Reachable: map[uint64]bool{}, CaughtUp: map[uint64]bool{}}
	for _, id := range ids {
		s.Membership.Replicas = append(s.Membership.Replicas, &wire.Replica{Id: id})
	}
	for _, id := range learners {
		findReplica(s.Membership, id).Learner = true
	}
	for _, id := range reachable {
		s.Reachable[id] = true
	}
	for _, id := range caughtUp {
		s.CaughtUp[id] = true
	}
	return s
}

func votersOf(m *wire.Membership) []uint64 {
	var ids []uint64
	for _, r := range m.GetReplicas() {
		if !r.Learner {
			ids = append(ids, r.Id)
		}
	}
	return ids
}

// A replacement that is repeated from any intermediate membership ends with the
// new replica as a voter and the lost replica removed. After each step the
// reachable voters are a quorum, and no step raises the quorum while the lost
// replica is unreachable.
func TestReplacementIsResumableAndKeepsQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lostReachable := rapid.Bool().Draw(t, "lostReachable")
		reachable := []uint64{1, 2}
		if lostReachable {
			reachable = append(reachable, 3)
		}
		s := statusOf(nil, append(reachable, 4), nil, 1, 2, 3)
		r := &wire.ReplaceReplicaRequest{RemoveId: 3, Add: &wire.Replica{Id: 4}}
		for range 20 {
			s.CaughtUp[4] = findReplica(s.Membership, 4) != nil && rapid.Bool().Draw(t, "caughtUp")
			next, err := nextMembership(s, r)
			if fail.From(err).RetryAfter > 0 {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			if next == nil {
				break
			}
			quorum := len(votersOf(next))/2 + 1
			reachableVoters := 0
			for _, id := range votersOf(next) {
				if s.Reachable[id] {
					reachableVoters++
				}
			}
			if reachableVoters < quorum || !lostReachable && quorum > 2 {
				t.Fatalf("voters %v: %d are reachable, the quorum is %d", votersOf(next), reachableVoters, quorum)
			}
			s.Membership = next
		}
		s.CaughtUp[4] = true
		for {
			next, err := nextMembership(s, r)
			if err != nil {
				t.Fatal(err)
			}
			if next == nil {
				break
			}
			s.Membership = next
		}
		want := &wire.Membership{Replicas: []*wire.Replica{{Id: 1}, {Id: 2}, {Id: 4}}}
		if !proto.Equal(s.Membership, want) {
			t.Fatalf("final membership %v, want voters 1, 2 and 4", s.Membership)
		}
	})
}

func TestReplacementRejections(t *testing.T) {
	tests := []struct {
		name string
		s    replica.Status
		r    *wire.ReplaceReplicaRequest
		code fail.Code
		wait bool
	}{
		{"no replica given", statusOf(nil, nil, nil, 1), &wire.ReplaceReplicaRequest{}, fail.BadRequest, false},
		{"same replica", statusOf(nil, nil, nil, 1), &wire.ReplaceReplicaRequest{RemoveId: 1, Add: &wire.Replica{Id: 1}}, fail.BadRequest, false},
		{"reachable replica while another is lost", statusOf(nil, []uint64{1, 2}, nil, 1, 2, 3), &wire.ReplaceReplicaRequest{RemoveId: 2}, fail.MembershipChange, false},
		{"learner behind", statusOf([]uint64{4}, []uint64{1, 2, 4}, nil, 1, 2, 3, 4), &wire.ReplaceReplicaRequest{Add: &wire.Replica{Id: 4}}, fail.MembershipChange, true},
		{"learner unresponsive", statusOf([]uint64{4}, []uint64{1, 2}, nil, 1, 2, 3, 4), &wire.ReplaceReplicaRequest{Add: &wire.Replica{Id: 4}}, fail.MembershipChange, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, err := nextMembership(tt.s, tt.r)
			if !fail.Is(err, tt.code) || next != nil || fail.From(err).RetryAfter > 0 != tt.wait {
				t.Fatalf("got membership %v and error %v", next, err)
			}
		})
	}
}
