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

// TestMain fixes the seed of rapid, so that the verdict is the same every time.
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

// clock turns true time into the time of one VM.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

func drawClock(t *rapid.T) clock {
	return clock{
		offset: time.Duration(rapid.IntRange(0, 100000).Draw(t, "offset")) * time.Millisecond,
		rate:   rapid.SampledFrom([]float64{0.9, 0.95, 1, 1.05, 1.1}).Draw(t, "rate"),
	}
}

// fakeLeader is a control replica of which at most one holds the leader lease.
type fakeLeader struct {
	clock   clock
	machine *state.Machine
	table   leaseTable
	term    uint64
	// leaseUntil is the true time at which the leader lease ends.
	leaseUntil time.Duration
	isolated   bool
	// dead waits between the decision to mark entries and the proposal.
	dead []*wire.SetEntry
}

// process is one incarnation of an entry.
type process struct {
	id, incarnation string
	clock           clock
	holder          lease.Holder
	frozen, gone    bool
}

// call is one heartbeat on its way through network and leader.
type call struct {
	from     *process
	to       *fakeLeader
	sent     time.Duration
	req      *wire.HeartbeatRequest
	register *wire.SetEntry
	term     uint64
	resp     *wire.HeartbeatResponse
}

// world is a leader pair with the entries; the leader's log is shared by those
// who hold the leader lease.
type world struct {
	now       time.Duration
	log       []*wire.Command
	leaders   []*fakeLeader
	leader    *fakeLeader
	processes []*process
	calls     []*call
	nextInc   int
	// served is the highest revision that each entry has served by.
	served map[string]uint64
	// inForce is the highest revision of which a status said in force.
	inForce uint64
	changes int
}

func (w *world) elect(t *rapid.T) {
	if w.leader != nil && w.now <= w.leader.leaseUntil {
		w.now = w.leader.leaseUntil + time.Millisecond
	}
	next := &fakeLeader{clock: drawClock(t), machine: state.New(), term: uint64(len(w.leaders) + 1)}
	w.leaders = append(w.leaders, next)
	w.leader = next
	w.catchUp(next)
}

func (w *world) catchUp(l *fakeLeader) {
	for i := l.machine.AppliedIndex(); i < uint64(len(w.log)); i++ {
		l.machine.Apply(i+1, proto.Clone(w.log[i]).(*wire.Command))
	}
}

// holds renews the leader lease, where the leader can reach a quorum, and
// reports whether it holds.
func (w *world) holds(l *fakeLeader) bool {
	if l == w.leader && !l.isolated {
		l.leaseUntil = w.now + testLeaderLease
	}
	return w.now < l.leaseUntil
}

func (w *world) commit(l *fakeLeader, term uint64, c *wire.Command) bool {
	if l != w.leader || l.isolated || l.term != term {
		return false
	}
	w.log = append(w.log, c)
	w.catchUp(l)
	return true
}

func (w *world) start(t *rapid.T, id string) {
	w.nextInc++
	w.processes = append(w.processes, &process{id: id, incarnation: fmt.Sprint("i", w.nextInc), clock: drawClock(t)})
}

func (w *world) send(p *process) {
	if p.frozen || p.gone {
		return
	}
	w.calls = append(w.calls, &call{
		from: p, to: w.leader, sent: p.clock.at(w.now),
		req: &wire.HeartbeatRequest{Entry: &wire.EntryVM{Id: p.id, Incarnation: p.incarnation}, ViewRevision: p.holder.Revision()},
	})
}

// step moves a call on by one event. It returns false where the call is over.
func (w *world) step(c *call) bool {
	if c.resp != nil {
		if !c.from.frozen && !c.from.gone {
			c.from.holder.Apply(c.sent, c.resp)
		}
		return false
	}
	l := c.to
	if c.register != nil {
		set := &wire.Command{Body: &wire.Command_SetEntry{SetEntry: c.register}}
		c.register = nil
		return w.commit(l, c.term, set)
	}
	if !w.holds(l) {
		return false
	}
	now := l.clock.at(w.now)
	l.table.enterTerm(l.term, now)
	resp, register, err := l.table.renew(l.machine, c.req, testLease, now)
	c.resp, c.register, c.term = resp, register, l.term
	return err == nil
}

func (w *world) stepSome(t *rapid.T) {
	if len(w.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
	if !w.step(w.calls[i]) {
		w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	}
}

// look is the leader's duty to find dead entries; the proposal comes later.
func (w *world) look(l *fakeLeader) {
	if !w.holds(l) {
		return
	}
	now := l.clock.at(w.now)
	l.table.enterTerm(l.term, now)
	l.dead = l.table.revokeExpired(l.machine.Entries(), testLease, now)
}

func (w *world) markDead(l *fakeLeader) {
	for _, d := range l.dead {
		w.commit(l, l.term, &wire.Command{Body: &wire.Command_SetEntry{SetEntry: d}})
	}
	l.dead = nil
}

func (w *world) change() {
	w.changes++
	section := fmt.Sprintf(`{"team": "t", "models": [{"name": "m", "version": "%d", "memory_mb": 1}]}`, w.changes)
	revision := w.leader.machine.Section("t").GetRevision()
	w.commit(w.leader, w.leader.term, &wire.Command{Body: &wire.Command_ApplySection{ApplySection: &wire.ApplySection{
		Team: "t", BaseRevision: revision, OrderId: fmt.Sprint(w.changes), Text: []byte(section),
	}}})
}

// status asks a leader whether its newest revision is in force.
func (w *world) status(l *fakeLeader) bool {
	if !w.holds(l) {
		return false
	}
	now := l.clock.at(w.now)
	l.table.enterTerm(l.term, now)
	revision := l.machine.Section("t").GetLogIndex()
	if len(l.table.lagging(l.machine.Entries(), revision, testLease, now)) > 0 {
		return false
	}
	w.inForce = max(w.inForce, revision)
	return true
}

func (w *world) check(t *rapid.T) {
	for _, p := range w.processes {
		if p.gone || !p.holder.Valid(p.clock.at(w.now)) {
			continue
		}
		r := p.holder.Revision()
		if r < w.inForce {
			t.Fatalf("entry %s/%s serves revision %d though %d is in force", p.id, p.incarnation, r, w.inForce)
		}
		if p.frozen {
			continue
		}
		if r < w.served[p.id] {
			t.Fatalf("entry %s/%s steps back from revision %d to %d", p.id, p.incarnation, w.served[p.id], r)
		}
		w.served[p.id] = r
	}
}

// beat is a heartbeat that nothing delays.
func (w *world) beat(p *process) {
	earlier := len(w.calls)
	w.send(p)
	for _, c := range w.calls[earlier:] {
		for w.step(c) {
		}
	}
	w.calls = w.calls[:earlier]
}

func (w *world) actions(t *rapid.T) map[string]func(*rapid.T) {
	process := func(t *rapid.T) *process {
		// The newest processes are the likeliest to do anything.
		return w.processes[len(w.processes)-1-rapid.IntRange(0, min(3, len(w.processes)-1)).Draw(t, "process")]
	}
	leader := func(t *rapid.T) *fakeLeader {
		return w.leaders[len(w.leaders)-1-rapid.IntRange(0, min(1, len(w.leaders)-1)).Draw(t, "leader")]
	}
	wait := func(t *rapid.T) {
		w.now += time.Duration(rapid.SampledFrom([]int{1, 40, 200, 400, 900, 1700, 2100, 2600}).Draw(t, "ms")) * time.Millisecond
	}
	beat := func(t *rapid.T) { w.beat(process(t)) }
	send := func(t *rapid.T) { w.send(process(t)) }
	look := func(t *rapid.T) { w.look(w.leader) }
	change := func(*rapid.T) { w.change() }
	markDead := func(t *rapid.T) { w.markDead(leader(t)) }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			w.check(t)
			for _, l := range w.leaders[max(0, len(w.leaders)-2):] {
				w.status(l)
			}
			w.check(t)
		},
		"step": w.stepSome, "step2": w.stepSome, "step3": w.stepSome,
		"wait": wait, "wait2": wait, "beat": beat, "beat2": beat, "beat3": beat, "send": send, "send2": send,
		"change": change, "change2": change, "look": look,
		"lose": func(t *rapid.T) {
			if len(w.calls) > 0 {
				w.calls = w.calls[1:]
			}
		},
		"markDead": markDead, "markDead2": markDead, "look2": look,
		"isolate": func(t *rapid.T) {
			w.leader.isolated = true
			if rapid.Bool().Draw(t, "elect") {
				w.elect(t)
			}
		},
		"elect":  func(t *rapid.T) { w.elect(t) },
		"freeze": func(t *rapid.T) { p := process(t); p.frozen = !p.frozen },
		"overtake": func(t *rapid.T) {
			// A new incarnation registers just as the silent one comes back.
			p := process(t)
			w.now += 2600 * time.Millisecond
			w.start(t, p.id)
			w.send(w.processes[len(w.processes)-1])
			w.step(w.calls[len(w.calls)-1])
			w.beat(p)
		},
		"restart": func(t *rapid.T) {
			p := process(t)
			p.gone = rapid.Bool().Draw(t, "gone")
			p.frozen = p.frozen || rapid.Bool().Draw(t, "frozen")
			w.start(t, p.id)
		},
	}
}

// settle ends the faults and returns whether the newest revision is in force
// on every running entry within the stated bound.
func (w *world) settle(t *rapid.T) bool {
	const interval = 500 * time.Millisecond
	w.elect(t)
	w.calls = nil
	newest := map[string]*process{}
	for _, p := range w.processes {
		p.frozen = true
		newest[p.id] = p
	}
	for _, p := range newest {
		p.frozen = false
	}
	// One lease of the slowest entry by the slowest leader's clock, then a round
	// that brings the view and one that acknowledges it.
	bound := time.Duration(float64(overAfter(testLease))/(1-clockDrift)) + 3*interval
	for end := w.now + bound; w.now < end; w.now += interval {
		for _, p := range newest {
			w.beat(p)
		}
		w.look(w.leader)
		w.markDead(w.leader)
		w.check(t)
	}
	for _, p := range newest {
		if p.gone {
			continue
		}
		if !p.holder.Valid(p.clock.at(w.now)) || p.holder.Revision() != w.leader.machine.ViewRevision() {
			return false
		}
	}
	return w.status(w.leader)
}

// TestConfigurationNeverStepsBack checks G8: no entry serves by an older view
// than before, none serves by an older one than the leader says is in force,
// and what was accepted is in force within a bound once faults stop.
func TestConfigurationNeverStepsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{served: map[string]uint64{}}
		w.elect(t)
		for _, id := range []string{"a", "b"}[:rapid.IntRange(1, 2).Draw(t, "entries")] {
			w.start(t, id)
		}
		t.Repeat(w.actions(t))
		if !w.settle(t) {
			t.Fatalf("revision %d is not in force on every entry in time", w.leader.machine.ViewRevision())
		}
	})
}

// TestDeltasLeadToTheWholeView checks that patches give exactly the newest view.
func TestDeltasLeadToTheWholeView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := state.New()
		var h viewHistory
		var held lease.Holder
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			m.Apply(uint64(i+1), drawViewChange(t, m, id))
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

func drawViewChange(t *rapid.T, m *state.Machine, id string) *wire.Command {
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
