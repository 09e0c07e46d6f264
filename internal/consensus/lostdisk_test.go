package consensus

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"parsleyramp/internal/wire"
)

// churn changes the membership of a sim at random while disks are lost, one at a
// time, and some of the replicas learn of it.
type churn struct {
	schedule
}

const (
	minChurnVoters = 2
	maxChurnVoters = 6
)

// changeMembership proposes a random change through the leader: a new learner, a learner that
// becomes a voter, in half of the changes in place of another one, or a voter, whether it is up
// or not, that leaves.
func (c *churn) changeMembership() {
	s := c.s
	l := s.leader()
	if l == nil {
		return
	}
	m := proto.Clone(l.core.Membership()).(*wire.Membership)
	i := s.rng.IntN(len(m.Replicas))
	switch r := m.Replicas[i]; {
	case s.rng.IntN(2) == 0 && len(m.Replicas) < maxChurnVoters:
		s.nextID++
		m.Replicas = append(m.Replicas, &wire.Replica{Id: s.nextID, Learner: true})
		s.add(s.nextID, disk{})
	case r.Learner && (!l.core.CaughtUp(r.Id) || !l.core.Reachable(r.Id)):
		return
	case r.Learner:
		if s.rng.IntN(2) == 0 {
			ids := voters(m)
			findReplica(m, ids[s.rng.IntN(len(ids))]).Learner = true
		}
		r.Learner = false
	case len(voters(m)) > minChurnVoters:
		m.Replicas = slices.Delete(m.Replicas, i, i+1)
	}
	// The proposal fails while an earlier change is not committed.
	_, _ = l.core.ProposeMembership(m)
	s.runEffects(l)
}

// loseVoter loses the disk of a random voter, unless the leader's membership still has
// an earlier lost one or is not committed, or the group tolerates no loss.
func (c *churn) loseVoter() {
	s := c.s
	l := s.leader()
	if l == nil || l.core.memberships.currentIndex() > l.core.commitIndex {
		return
	}
	m := l.core.Membership()
	if isVoter(m, s.lostDisk) || len(voters(m)) < 3 {
		return
	}
	ids := voters(m)
	lost := s.replicas[ids[s.rng.IntN(len(ids))]]
	lost.up, lost.wiped = false, true
	s.lostDisk = lost.id
}

// losePower ends all replicas within a step, each at a random crash point, and starts
// those again whose disk is not lost. Half of the messages in flight arrive.
func (c *churn) losePower() {
	s := c.s
	for _, id := range s.ids {
		s.replicas[id].crashAt = s.rng.IntN(5)
	}
	if s.rng.IntN(2) == 0 {
		c.loseVoter()
	}
	s.step()
	s.inFlight = slices.DeleteFunc(s.inFlight, func(delivery) bool { return s.rng.IntN(2) == 0 })
	for _, id := range s.ids {
		if r := s.replicas[id]; !r.wiped {
			s.start(r)
		}
	}
}

// tell lets a random replica learn that the disk is lost.
func (c *churn) tell() {
	r := c.s.replicas[c.s.ids[c.s.rng.IntN(len(c.s.ids))]]
	if c.s.lostDisk != 0 && r.up {
		r.core.MarkLost(c.s.lostDisk)
	}
}

func (c *churn) run(p phase) {
	s := c.s
	s.noProposals = p.noProposals
	for _, f := range p.faults {
		if f.kind != faultDiskLoss {
			c.applyFault(f)
		}
	}
	for range p.steps {
		for _, f := range p.faults {
			c.maybeRestart(f)
		}
		s.step()
		switch s.rng.IntN(60) {
		case 0:
			c.changeMembership()
		case 1, 2, 3:
			c.tell()
		case 4:
			if s.rng.IntN(4) == 0 {
				c.loseVoter()
			}
		case 5:
			if s.rng.IntN(2) == 0 {
				c.losePower()
			}
		}
	}
	c.endFaults(p.steps%3 == 0)
}

// requireProgress fails unless the group commits once all replicas run but those that have lost
// their disks, and know of the last one.
func (c *churn) requireProgress(t *rapid.T) {
	s := c.s
	c.endFaults(true)
	s.lossRate, s.lateRate = 0, 0
	step := func() {
		for _, id := range s.ids {
			if s.replicas[id].up && s.lostDisk != 0 {
				s.replicas[id].core.MarkLost(s.lostDisk)
			}
		}
		s.step()
	}
	for range 1500 {
		step()
	}
	before := s.maxCommit
	for range 300 {
		step()
	}
	if s.violation != "" || s.leader() == nil || s.maxCommit <= before {
		t.Fatalf("no progress after the faults ended: commit index %d, later %d; %s", before, s.maxCommit, s.violation)
	}
}

// TestSafetyWhileDisksAreLostAndMembershipsChange guards against two leaders of a term
// and against the loss of committed entries where some replicas do not count a voter
// whose disk is lost, and others do. At the end it asks for progress.
func TestSafetyWhileDisksAreLostAndMembershipsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "seed")
		n := rapid.SampledFrom([]int{3, 4, 5, 6}).Draw(t, "replicas")
		c := &churn{schedule{s: newSim(binary.LittleEndian.Uint64(seed), n)}}
		for range 150 {
			c.s.step()
		}
		for range rapid.IntRange(4, 16).Draw(t, "phases") {
			p := newPhase(c.s.rng)
			c.run(p)
			if c.s.violation != "" {
				t.Fatalf("%s, in %+v", c.s.violation, p)
			}
		}
		c.requireProgress(t)
	})
}

// TestEvenGroupElectsALeaderAfterOneVoterIsGoneAndOneDiskIsLost guards against a group
// that ends for good when a voter whose successor has joined is gone and a disk is lost
// before the voter is removed.
func TestEvenGroupElectsALeaderAfterOneVoterIsGoneAndOneDiskIsLost(t *testing.T) {
	for seed := range uint64(100) {
		s := newSim(seed, 4)
		for s.leader() == nil || s.now < 3*time.Second {
			s.step()
		}
		order := s.rng.Perm(4)
		gone, lost := s.replicas[s.ids[order[0]]], s.replicas[s.ids[order[1]]]
		gone.up = false
		for range s.rng.IntN(60) {
			s.step()
		}
		lost.up, s.lostDisk = false, lost.id
		for range 100 {
			s.step()
		}
		// Only one of the other two learns of it, and later the other one. Both are
		// told again and again, since a late message of the lost one refutes it.
		for i := range 800 {
			for _, r := range order[2 : 3+min(i/100, 1)] {
				s.replicas[s.ids[r]].core.MarkLost(lost.id)
			}
			s.step()
		}
		before := s.maxCommit
		for range 300 {
			s.step()
		}
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
		if l := s.leader(); l == nil || s.maxCommit <= before || l.core.LeaseUntil() <= s.localTime(l) {
			t.Fatalf("seed %d: replicas %d and %d of 4 remain and do not commit", seed, s.ids[order[2]], s.ids[order[3]])
		}
	}
}

// TestGroupsOfAnySizeElectALeaderAfterALostDisk guards against a discounted voter that leaves a
// group of another size than four without a leader.
func TestGroupsOfAnySizeElectALeaderAfterALostDisk(t *testing.T) {
	for _, n := range []int{2, 3, 5, 6} {
		s := newSim(uint64(n), n)
		for s.leader() == nil || s.now < 3*time.Second {
			s.step()
		}
		// The leader's disk is lost, and besides as many are gone as leave a majority of
		// the others.
		lost := s.leader()
		lost.up, s.lostDisk = false, lost.id
		gone := (n - 1) - majority(n-1)
		for _, id := range s.ids {
			if r := s.replicas[id]; r.up && gone > 0 {
				r.up = false
				gone--
			}
		}
		for range 800 {
			for _, r := range s.replicas {
				if r.up {
					r.core.MarkLost(lost.id)
				}
			}
			s.step()
		}
		before := s.maxCommit
		for range 300 {
			s.step()
		}
		if s.violation != "" || s.leader() == nil || s.maxCommit <= before {
			t.Errorf("group of %d: leader %v, commit index %d, before %d; %s", n, s.leader(), s.maxCommit, before, s.violation)
		}
	}
}

// TestLostDiskIsDiscountedUntilItsRemovalIsCommitted guards against a group that waits for ever for
// a lost disk: its removal is in the log, not known to be committed, and another voter is gone.
func TestLostDiskIsDiscountedUntilItsRemovalIsCommitted(t *testing.T) {
	four := &wire.Membership{Replicas: []*wire.Replica{{Id: 1}, {Id: 2}, {Id: 3}, {Id: 4}}}
	removal, err := proto.Marshal(&wire.Membership{Replicas: []*wire.Replica{{Id: 1}, {Id: 2}, {Id: 4}}})
	if err != nil {
		t.Fatal(err)
	}
	c := New(simConfig(), InitialState{
		ID: 1, HardState: &wire.HardState{Term: 2}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: four},
		Entries: []*wire.LogEntry{{Index: 2, Term: 2, Kind: wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP, Data: removal}},
	}, 0, 1)
	c.MarkLost(3)
	now := 2 * simConfig().ElectionTimeout
	c.Tick(now)
	for _, kind := range []wire.RaftMessageType{wire.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY, wire.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY} {
		c.Step(now, &wire.RaftMessage{Type: kind, From: 4, To: 1, Term: 3})
	}
	if c.Role() != Leader || findReplica(c.Members(), 3) == nil {
		t.Errorf("replica 1 with the vote of 4 is a %v and lacks %v; voter 2 is gone and 3 has lost its disk", c.Role(), c.MissingVotes())
	}
}

// TestSecondLostDiskIsNotDiscountedUntilTheRemovalOfTheFirstIsCommitted guards against a discount that
// moves on while an active membership still has the first voter.
func TestSecondLostDiskIsNotDiscountedUntilTheRemovalOfTheFirstIsCommitted(t *testing.T) {
	five := &wire.Membership{Replicas: []*wire.Replica{{Id: 1}, {Id: 2}, {Id: 3}, {Id: 4}, {Id: 5}}}
	removal, err := proto.Marshal(&wire.Membership{Replicas: []*wire.Replica{{Id: 1}, {Id: 2}, {Id: 4}, {Id: 5}}})
	if err != nil {
		t.Fatal(err)
	}
	for commit, want := range map[uint64]uint64{1: 3, 2: 2} {
		c := New(simConfig(), InitialState{
			ID: 1, HardState: &wire.HardState{Term: 2, Commit: commit}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: five},
			Entries: []*wire.LogEntry{{Index: 2, Term: 2, Kind: wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP, Data: removal}},
		}, 0, 1)
		c.MarkLost(3)
		c.MarkLost(2)
		if got := c.LostVoter(); got != want {
			t.Errorf("with commit index %d, voter %d is discounted, want %d", commit, got, want)
		}
	}
}
