package consensus

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/internal/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if !set[name] {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// fault is one disturbance of the replicas a and b.
type fault struct {
	kind, a, b int
}

const (
	faultNone = iota
	faultCutOneWay
	faultCutOff
	faultFreeze
	faultCrash
	faultBounce
	faultLoss
	faultEmptyDisk
	faultKinds
)

func drawFault(t *rapid.T) fault {
	return fault{
		kind: rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
		a:    rapid.IntRange(0, 4).Draw(t, "a"),
		b:    rapid.IntRange(0, 4).Draw(t, "b"),
	}
}

// phase is a time in which faults come together.
type phase struct {
	faults []fault
	steps  int
	quiet  bool
}

func drawPhase(t *rapid.T) phase {
	return phase{
		faults: rapid.SliceOfN(rapid.Custom(drawFault), 1, 3).Draw(t, "faults"),
		steps:  rapid.IntRange(1, 300).Draw(t, "steps"),
		quiet:  rapid.Bool().Draw(t, "quiet"),
	}
}

// schedule applies faults to a sim. At most one disk is lost at a time.
type schedule struct {
	s                 *sim
	lost, replacement uint64
}

func (c *schedule) begin(f fault) {
	s := c.s
	a := s.replicas[s.ids[f.a%len(s.ids)]]
	b := s.replicas[s.ids[f.b%len(s.ids)]]
	switch f.kind {
	case faultCutOneWay:
		s.cut[[2]uint64{a.id, b.id}] = true
	case faultCutOff:
		for _, id := range s.ids {
			s.cut[[2]uint64{a.id, id}], s.cut[[2]uint64{id, a.id}] = true, true
		}
	case faultFreeze:
		a.frozen = true
	case faultCrash:
		a.crashAt = f.b
	case faultLoss:
		s.loss = 0.3
	case faultEmptyDisk:
		c.emptyDisk(a)
	}
}

// bounce crashes and restarts replicas within a phase.
func (c *schedule) bounce(f fault) {
	r := c.s.replicas[c.s.ids[f.a%len(c.s.ids)]]
	if f.kind == faultBounce && r.id != c.lost && c.s.rng.IntN(60) == 0 {
		c.s.start(r)
	}
}

func (c *schedule) run(p phase) {
	s := c.s
	s.quiet = p.quiet
	for _, f := range p.faults {
		c.begin(f)
	}
	for range p.steps {
		for _, f := range p.faults {
			c.bounce(f)
		}
		s.step()
		if c.replacement != 0 && s.operate(c.lost, c.replacement) {
			c.lost, c.replacement = 0, 0
		}
	}
	c.mend(p.steps%3 == 0)
}

func (c *schedule) emptyDisk(r *simReplica) {
	l := c.s.leader()
	if c.replacement != 0 || l == nil || !isVoter(l.core.Membership(), r.id) || r == l {
		return
	}
	r.up = false
	c.s.nextID++
	c.lost, c.replacement = r.id, c.s.nextID
	c.s.add(c.replacement, disk{})
}

// mend ends the faults; a replaced replica's old process comes back at times.
func (c *schedule) mend(revive bool) {
	s := c.s
	clear(s.cut)
	s.quiet = false
	s.loss = 0.02
	for _, id := range s.ids {
		r := s.replicas[id]
		r.frozen, r.crashAt = false, -1
		if !r.up && id != c.lost && (revive || r.core == nil || isMember(s, id)) {
			s.start(r)
		}
	}
}

func isMember(s *sim, id uint64) bool {
	for _, r := range s.replicas {
		if r.up && replicaOf(r.core.Membership(), id) != nil {
			return true
		}
	}
	return false
}

// Election safety, log matching, no committed entry lost, equal states, an
// exclusive lease, durable commits; and progress once the faults stop.
func TestSafetyAndLivenessUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &schedule{s: newSim(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas"))}
		for range 150 {
			c.s.step()
		}
		for _, p := range rapid.SliceOfN(rapid.Custom(drawPhase), 1, 12).Draw(t, "phases") {
			c.run(p)
			if c.s.fault != "" {
				t.Fatal(c.s.fault)
			}
		}
		c.mend(true)
		c.mustProgress(t)
	})
}

func (c *schedule) mustProgress(t *rapid.T) {
	s := c.s
	s.loss = 0
	for range 1500 {
		s.step()
		if c.replacement != 0 && s.operate(c.lost, c.replacement) {
			c.lost, c.replacement = 0, 0
		}
	}
	before := s.maxCommit
	for range 300 {
		s.step()
	}
	if s.fault != "" {
		t.Fatal(s.fault)
	}
	l := s.leader()
	if l == nil || s.maxCommit <= before || c.replacement != 0 {
		t.Fatalf("no progress after the faults: leader %v, commit %d then %d, replacement %d", l, before, s.maxCommit, c.replacement)
	}
	for _, r := range l.core.Membership().Replicas {
		if x := s.replicas[r.Id]; x.up && x.applied < before {
			t.Fatalf("replica %d applied %d of %d", r.Id, x.applied, before)
		}
	}
	if l.core.LeaseUntil() <= s.local(l) {
		t.Fatal("the leader holds no lease")
	}
}

// A snapshot that comes late must not remove acknowledged entries after it.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	m := &wire.Membership{Replicas: []*wire.Replica{{Id: 1}, {Id: 2}, {Id: 3}}}
	c := New(simConfig(), Initial{ID: 2, HardState: &wire.HardState{Term: 2}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: m}}, 0, 1)
	entries := []*wire.LogEntry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}}
	c.Step(0, &wire.RaftMessage{Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, From: 1, To: 2, Term: 2, LogIndex: 1, LogTerm: 1, Entries: entries})
	c.Persisted(c.Effects())
	c.Step(time.Millisecond, &wire.RaftMessage{Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT, From: 1, To: 2, Term: 2, Snapshot: &wire.Snapshot{Index: 3, Term: 2, Membership: m}})
	e := c.Effects()
	if e.Snapshot != nil || c.log.lastIndex() != 4 || c.Commit() != 3 || len(e.Committed) != 2 {
		t.Fatalf("snapshot %v, last %d, commit %d, committed %d", e.Snapshot, c.log.lastIndex(), c.Commit(), len(e.Committed))
	}
}
