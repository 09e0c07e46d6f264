package consensus

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/wire"
)

// withoutVoteOf1 is threeReplicas in which replica 4 votes in place of replica 1.
var withoutVoteOf1 = &wire.Membership{Replicas: []*wire.Replica{{Id: 1, Learner: true}, {Id: 2}, {Id: 3}, {Id: 4}}}

// TestVoterThatLosesItsVoteCampaignsUntilThatIsCommitted guards against a group that never has a
// leader again: the leader is lost when only a voter that is to lose its vote has stored that
// change, so that the others need its vote and can't give it theirs.
func TestVoterThatLosesItsVoteCampaignsUntilThatIsCommitted(t *testing.T) {
	data, err := proto.Marshal(withoutVoteOf1)
	if err != nil {
		t.Fatal(err)
	}
	c := New(simConfig(), InitialState{
		ID: 1, HardState: &wire.HardState{Term: 2}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: threeReplicas},
		Entries: []*wire.LogEntry{{Index: 2, Term: 2, Kind: wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP, Data: data}},
	}, 0, 1)
	now := 2 * simConfig().ElectionTimeout
	c.Tick(now)
	for _, kind := range []wire.RaftMessageType{wire.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY, wire.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY} {
		for _, from := range []uint64{3, 4} {
			c.Step(now, &wire.RaftMessage{Type: kind, From: from, To: 1, Term: 3})
		}
	}
	c.Persisted(c.Effects())
	if c.Role() != Leader {
		t.Fatalf("replica 1 with the votes of 3 and 4 is a %v and lacks %v", c.Role(), c.MissingVotes())
	}
	for _, from := range []uint64{3, 4} {
		c.Step(now, &wire.RaftMessage{Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY, From: from, To: 1, Term: 3, LogIndex: 3, Sequence: 1})
	}
	if c.Role() != Follower || !c.MembershipCommitted() {
		t.Errorf("role %v, membership committed %t, want a follower and a committed membership", c.Role(), c.MembershipCommitted())
	}
}
