package control

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"parsleyramp/internal/lease"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// TestMain fixes the seed of rapid, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.steps": "80", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	testLease       = 2 * time.Second
	testLeaderLease = 900 * time.Millisecond
)

// clock converts true time to the time of the clock of one VM.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

func randomClock(t *rapid.T) clock {
	return clock{
		offset: time.Duration(rapid.IntRange(0, 100000).Draw(t, "offset")) * time.Millisecond,
		rate:   rapid.SampledFrom([]float64{0.9, 0.95, 1, 1.05, 1.1}).Draw(t, "rate"),
	}
}

// fakeLeader is a control replica that was elected leader. At most one holds the
// leader lease.
type fakeLeader struct {
	clock   clock
	machine *state.Machine
	table   leaseTable
	term    uint64
	// leaseUntil is the true time at which the leader lease ends.
	leaseUntil time.Duration
	isolated   bool
	// dead holds the commands of findDead until markDead proposes them.
	dead []*wire.SetEntry
}

// entryProcess is one incarnation of an entry.
type entryProcess struct {
	id, incarnation string
	clock           clock
	holder          lease.Holder
	paused, exited  bool
}

// heartbeatCall is one heartbeat in flight.
type heartbeatCall struct {
	from     *entryProcess
	to       *fakeLeader
	sent     time.Duration
	req      *wire.HeartbeatRequest
	register *wire.SetEntry
	term     uint64
	resp     *wire.HeartbeatResponse
}

// simulation is a series of leaders with the entries. The leaders share the log;
// only the newest leader that is not isolated appends to it.
type simulation struct {
	now             time.Duration
	log             []*wire.Command
	leaders         []*fakeLeader
	leader          *fakeLeader
	entries         []*entryProcess
	calls           []*heartbeatCall
	nextIncarnation int
	// served is the highest view revision that each entry has served from.
	served map[string]uint64
	// applied is the highest revision that a leader has reported as applied on all
	// entries.
	applied uint64
	changes int
}

func (s *simulation) elect(t *rapid.T) {
	if s.leader != nil && s.now <= s.leader.leaseUntil {
		s.now = s.leader.leaseUntil + time.Millisecond
	}
	next := &fakeLeader{clock: randomClock(t), machine: state.New(), term: uint64(len(s.leaders) + 1)}
	s.leaders = append(s.leaders, next)
	s.leader = next
	s.catchUp(next)
}

func (s *simulation) catchUp(l *fakeLeader) {
	for i := l.machine.AppliedIndex(); i < uint64(len(s.log)); i++ {
		l.machine.Apply(i+1, proto.Clone(s.log[i]).(*wire.Command))
	}
}

// holds renews the leader lease if the leader can reach a quorum, and reports
// whether the lease is valid.
func (s *simulation) holds(l *fakeLeader) bool {
	if l == s.leader && !l.isolated {
		l.leaseUntil = s.now + testLeaderLease
	}
	return s.now < l.leaseUntil
}

func (s *simulation) commit(l *fakeLeader, term uint64, c *wire.Command) bool {
	if l != s.leader || l.isolated || l.term != term {
		return false
	}
	s.log = append(s.log, c)
	s.catchUp(l)
	return true
}

func (s *simulation) start(t *rapid.T, id string) {
	s.nextIncarnation++
	s.entries = append(s.entries, &entryProcess{id: id, incarnation: fmt.Sprint("i", s.nextIncarnation), clock: randomClock(t)})
}

func (s *simulation) send(p *entryProcess) {
	if p.paused || p.exited {
		return
	}
	s.calls = append(s.calls, &heartbeatCall{
		from: p, to: s.leader, sent: p.clock.at(s.now),
		req: &wire.HeartbeatRequest{Entry: &wire.EntryVM{Id: p.id, Incarnation: p.incarnation}, ViewRevision: p.holder.Revision()},
	})
}

// advance processes the next event of a call. It returns false when the call has
// ended.
func (s *simulation) advance(c *heartbeatCall) bool {
	if c.resp != nil {
		if !c.from.paused && !c.from.exited {
			c.from.holder.Apply(c.sent, c.resp)
		}
		return false
	}
	l := c.to
	if c.register != nil {
		set := &wire.Command{Body: &wire.Command_SetEntry{SetEntry: c.register}}
		c.register = nil
		return s.commit(l, c.term, set)
	}
	if !s.holds(l) {
		return false
	}
	now := l.clock.at(s.now)
	l.table.enterTerm(l.term, now)
	resp, register, err := l.table.renew(l.machine, c.req, testLease, now)
	c.resp, c.register, c.term = resp, register, l.term
	return err == nil
}

func (s *simulation) advanceOne(t *rapid.T) {
	if len(s.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.calls)-1).Draw(t, "call")
	if !s.advance(s.calls[i]) {
		s.calls = append(s.calls[:i:i], s.calls[i+1:]...)
	}
}

// findDead revokes the expired leases. markDead proposes the changes later, so
// that other events come in between.
func (s *simulation) findDead(l *fakeLeader) {
	if !s.holds(l) {
		return
	}
	now := l.clock.at(s.now)
	l.table.enterTerm(l.term, now)
	l.dead = l.table.revokeExpired(l.machine.Entries(), testLease, now)
}

func (s *simulation) markDead(l *fakeLeader) {
	for _, d := range l.dead {
		s.commit(l, l.term, &wire.Command{Body: &wire.Command_SetEntry{SetEntry: d}})
	}
	l.dead = nil
}

func (s *simulation) applySection() {
	s.changes++
	section := fmt.Sprintf(`{"team": "t", "models": [{"name": "m", "version": "%d", "memory_mb": 1}]}`, s.changes)
	revision := s.leader.machine.Section("t").GetRevision()
	s.commit(s.leader, s.leader.term, &wire.Command{Body: &wire.Command_ApplySection{ApplySection: &wire.ApplySection{
		Team: "t", BaseRevision: revision, OrderId: fmt.Sprint(s.changes), Text: []byte(section),
	}}})
}

// leaderReportsApplied reports whether a leader considers its newest section
// applied on all entries.
func (s *simulation) leaderReportsApplied(l *fakeLeader) bool {
	if !s.holds(l) {
		return false
	}
	now := l.clock.at(s.now)
	l.table.enterTerm(l.term, now)
	revision := l.machine.Section("t").GetLogIndex()
	if len(l.table.lagging(l.machine.Entries(), revision, testLease, now)) > 0 {
		return false
	}
	s.applied = max(s.applied, revision)
	return true
}

func (s *simulation) check(t *rapid.T) {
	for _, p := range s.entries {
		if p.exited || !p.holder.Valid(p.clock.at(s.now)) {
			continue
		}
		r := p.holder.Revision()
		if r < s.applied {
			t.Fatalf("entry %s/%s serves from revision %d although a leader reported revision %d as applied on all entries", p.id, p.incarnation, r, s.applied)
		}
		if p.paused {
			continue
		}
		if r < s.served[p.id] {
			t.Fatalf("entry %s/%s went back from revision %d to %d", p.id, p.incarnation, s.served[p.id], r)
		}
		s.served[p.id] = r
	}
}

// heartbeat sends a heartbeat and processes it without delay.
func (s *simulation) heartbeat(p *entryProcess) {
	earlier := len(s.calls)
	s.send(p)
	for _, c := range s.calls[earlier:] {
		for s.advance(c) {
		}
	}
	s.calls = s.calls[:earlier]
}

func (s *simulation) actions(t *rapid.T) map[string]func(*rapid.T) {
	entry := func(t *rapid.T) *entryProcess {
		// The most recent processes are the likeliest to run.
		return s.entries[len(s.entries)-1-rapid.IntRange(0, min(3, len(s.entries)-1)).Draw(t, "process")]
	}
	leader := func(t *rapid.T) *fakeLeader {
		return s.leaders[len(s.leaders)-1-rapid.IntRange(0, min(1, len(s.leaders)-1)).Draw(t, "leader")]
	}
	wait := func(t *rapid.T) {
		s.now += time.Duration(rapid.SampledFrom([]int{1, 40, 200, 400, 900, 1700, 2100, 2600}).Draw(t, "ms")) * time.Millisecond
	}
	heartbeat := func(t *rapid.T) { s.heartbeat(entry(t)) }
	send := func(t *rapid.T) { s.send(entry(t)) }
	findDead := func(t *rapid.T) { s.findDead(s.leader) }
	change := func(*rapid.T) { s.applySection() }
	markDead := func(t *rapid.T) { s.markDead(leader(t)) }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			s.check(t)
			for _, l := range s.leaders[max(0, len(s.leaders)-2):] {
				s.leaderReportsApplied(l)
			}
			s.check(t)
		},
		"step": s.advanceOne, "step2": s.advanceOne, "step3": s.advanceOne,
		"wait": wait, "wait2": wait, "beat": heartbeat, "beat2": heartbeat, "beat3": heartbeat, "send": send, "send2": send,
		"change": change, "change2": change, "look": findDead,
		"lose": func(t *rapid.T) {
			if len(s.calls) > 0 {
				s.calls = s.calls[1:]
			}
		},
		"markDead": markDead, "markDead2": markDead, "look2": findDead,
		"isolate": func(t *rapid.T) {
			s.leader.isolated = true
			if rapid.Bool().Draw(t, "elect") {
				s.elect(t)
			}
		},
		"elect":  func(t *rapid.T) { s.elect(t) },
		"freeze": func(t *rapid.T) { p := entry(t); p.paused = !p.paused },
		"overtake": func(t *rapid.T) {
			// A new incarnation registers just when the unresponsive one resumes.
			p := entry(t)
			s.now += 2600 * time.Millisecond
			s.start(t, p.id)
			s.send(s.entries[len(s.entries)-1])
			s.advance(s.calls[len(s.calls)-1])
			s.heartbeat(p)
		},
		"restart": func(t *rapid.T) {
			p := entry(t)
			p.exited = rapid.Bool().Draw(t, "gone")
			p.paused = p.paused || rapid.Bool().Draw(t, "frozen")
			s.start(t, p.id)
		},
	}
}

// converge ends all faults and reports whether the newest revision is applied on
// every running entry within the bound.
func (s *simulation) converge(t *rapid.T) bool {
	const interval = 500 * time.Millisecond
	s.elect(t)
	s.calls = nil
	newest := map[string]*entryProcess{}
	for _, p := range s.entries {
		p.paused = true
		newest[p.id] = p
	}
	for _, p := range newest {
		p.paused = false
	}
	// The lease of the entry with the slowest clock, on the leader's clock and then
	// in true time for the slowest leader clock, plus one interval each to send the
	// view and to acknowledge it.
	bound := time.Duration(float64(maxLeaseDuration(testLease))/(1-clockDrift)) + 3*interval
	for end := s.now + bound; s.now < end; s.now += interval {
		for _, p := range newest {
			s.heartbeat(p)
		}
		s.findDead(s.leader)
		s.markDead(s.leader)
		s.check(t)
	}
	for _, p := range newest {
		if p.exited {
			continue
		}
		if !p.holder.Valid(p.clock.at(s.now)) || p.holder.Revision() != s.leader.machine.ViewRevision() {
			return false
		}
	}
	return s.leaderReportsApplied(s.leader)
}

// No entry serves from an older view than before, none serves from an older view
// than a leader has reported as applied on all entries, and an accepted section
// is applied on all entries within a bound once faults stop (guarantee G8).
func TestEntriesNeverServeOlderView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{served: map[string]uint64{}}
		s.elect(t)
		for _, id := range []string{"a", "b"}[:rapid.IntRange(1, 2).Draw(t, "entries")] {
			s.start(t, id)
		}
		t.Repeat(s.actions(t))
		if !s.converge(t) {
			t.Fatalf("revision %d is not applied on every entry within the bound", s.leader.machine.ViewRevision())
		}
	})
}

// Applying the deltas to the view held gives exactly the newest view.
func TestDeltasReproduceTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := state.New()
		var h viewHistory
		var held lease.Holder
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			m.Apply(uint64(i+1), randomViewChange(t, m, id))
			if m.ViewRevision() == 0 {
				continue
			}
			h.update(m)
			if rapid.Bool().Draw(t, "skip") {
				continue
			}
			resp := &wire.HeartbeatResponse{LeaseMs: 1}
			h.fill(held.Revision(), resp)
			held.Apply(0, resp)
			if !proto.Equal(held.View(), m.View()) {
				t.Fatalf("held %v, want %v", held.View(), m.View())
			}
		}
	})
}

func randomViewChange(t *rapid.T, m *state.Machine, id string) *wire.Command {
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		e := &wire.EntryVM{Id: id, Incarnation: fmt.Sprint(rapid.IntRange(1, 9).Draw(t, "incarnation")), Live: true}
		return &wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: e, ExpectedRegistration: m.Entry(id).GetRegistration()}}}
	case 1:
		return &wire.Command{Body: &wire.Command_RemoveEndpoint{RemoveEndpoint: &wire.RemoveEndpoint{Id: id}}}
	case 2:
		e := &wire.Endpoint{Id: id, Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, Domain: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain")}
		return &wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: e}}}
	}
	f := uint64(rapid.IntRange(1, 3).Draw(t, "fingerprint"))
	if rapid.Bool().Draw(t, "clear") {
		return &wire.Command{Body: &wire.Command_ClearSuspect{ClearSuspect: &wire.ClearSuspect{Fingerprint: f}}}
	}
	return &wire.Command{Body: &wire.Command_ReportCrash{ReportCrash: &wire.ReportCrash{Endpoint: id, Incarnation: fmt.Sprint(rapid.Int().Draw(t, "crash")), Fingerprints: []uint64{f}}}}
}
