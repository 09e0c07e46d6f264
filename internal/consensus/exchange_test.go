package consensus

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/wire"
)

// TestLeaderThatLosesItsVoteHandsOver guards against a group without a leader for an election
// timeout each time the leader changes places with a learner.
func TestLeaderThatLosesItsVoteHandsOver(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(seed, 3)
		s.lossRate, s.lateRate = 0, 0
		for s.leader() == nil || s.now < 3*time.Second {
			s.step()
		}
		l := s.leader()
		m := proto.Clone(l.core.Membership()).(*wire.Membership)
		s.nextID++
		m.Replicas = append(m.Replicas, &wire.Replica{Id: s.nextID, Learner: true})
		s.add(s.nextID, disk{})
		for _, exchange := range []bool{false, true} {
			if exchange {
				findReplica(m, l.id).Learner, findReplica(m, s.nextID).Learner = true, false
			}
			if _, err := l.core.ProposeMembership(proto.Clone(m).(*wire.Membership)); err != nil {
				t.Fatal(err)
			}
			s.runEffects(l)
			for range 50 {
				s.step()
			}
		}
		// 50 steps are half of an election timeout.
		next := s.leader()
		if next == nil || next == l || s.violation != "" {
			t.Fatalf("seed %d: no other leader within half an election timeout; %s", seed, s.violation)
		}
	}
}
