package admission

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// model mirrors what a gate was told and what it answered.
type model struct {
	g       *Controller
	now     time.Duration
	next    uint64
	running map[uint64]Request
	waiting map[uint64]Request
	arrived map[uint64]time.Duration
	holds   map[uint64]time.Duration
	// shrunk is true once the queue may be longer than its bound.
	shrunk bool
}

func newModel(slots int) *model {
	return &model{g: NewController(slots), running: map[uint64]Request{}, waiting: map[uint64]Request{}, arrived: map[uint64]time.Duration{}, holds: map[uint64]time.Duration{}}
}

func (m *model) offer(r Request) Decision {
	m.next++
	r.ID = m.next
	m.arrived[r.ID], m.holds[r.ID] = m.now, m.g.estimates.hold(r)
	v := m.g.Admit(m.now, r)
	delete(m.waiting, v.Evicted)
	switch {
	case v.Start:
		m.running[r.ID] = r
	case !v.Reject:
		m.waiting[r.ID] = r
		if len(m.waiting) > m.g.slots*maxQueuePerSlot && !m.shrunk {
			panic(fmt.Sprintf("%d wait at %d slots", len(m.waiting), m.g.slots))
		}
	}
	return v
}

func (m *model) done(id uint64) []uint64 {
	delete(m.running, id)
	delete(m.waiting, id)
	started := m.g.Done(m.now, id)
	m.noteStarted(started)
	return started
}

func (m *model) noteStarted(started []uint64) {
	for _, id := range started {
		m.running[id] = m.waiting[id]
		delete(m.waiting, id)
	}
}

// spare reports whether the request still waits for spare capacity.
func (m *model) spare(id uint64, r Request) bool {
	e := &entry{req: r, arrived: m.arrived[id], hold: m.holds[id]}
	return r.FinishBy > 0 && m.now < lateAt(e)
}

func drawRequest(t *rapid.T, now time.Duration) Request {
	r := Request{
		Team:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Priority: int32(rapid.IntRange(0, 2).Draw(t, "priority")),
		Class:    "all",
		Isolated: rapid.IntRange(0, 9).Draw(t, "isolated") == 0,
	}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		r.FirstTokenBy = now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "target"))*time.Millisecond
	case 1:
		r.FinishBy = now + time.Duration(rapid.IntRange(1, 10000).Draw(t, "finish"))*time.Second
	}
	return r
}

// TestGateInvariants drives a gate with arrivals, ends, cancels, changes of
// size and passing time.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		m := newModel(slots)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond
			var started []uint64
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op < 6:
				m.offer(drawRequest(t, m.now))
			case op < 9 && len(m.running) > 0:
				started = m.done(rapid.SampledFrom(sorted(m.running)).Draw(t, "done"))
			case op == 9 && len(m.waiting) > 0:
				started = m.done(rapid.SampledFrom(sorted(m.waiting)).Draw(t, "cancel"))
			default:
				size := rapid.IntRange(1, 6).Draw(t, "resize")
				m.shrunk = m.shrunk || size < slots
				slots = size
				started = m.g.SetSlots(m.now, slots)
				m.noteStarted(started)
			}
			m.checkInvariants(t, slots, started)
		}
	})
}

func sorted(m map[uint64]Request) []uint64 { return slices.Sorted(maps.Keys(m)) }

func (m *model) checkInvariants(t *rapid.T, slots int, started []uint64) {
	l := m.g.Load()
	if l.InFlight != len(m.running) || l.Queued != len(m.waiting) {
		t.Fatalf("load %+v, but %d run and %d wait", l, len(m.running), len(m.waiting))
	}
	if len(started) > 0 && len(m.running) > slots {
		t.Fatalf("%d run in %d slots", len(m.running), slots)
	}
	alone, isolatedWaits, fair := 0, false, 0
	for _, r := range m.running {
		if r.Isolated {
			alone++
		}
	}
	if alone > 0 && len(m.running) > 1 {
		t.Fatalf("an isolated request runs beside %d", len(m.running)-1)
	}
	for id, r := range m.waiting {
		isolatedWaits = isolatedWaits || r.Isolated
		if !m.spare(id, r) {
			fair++
		}
	}
	if fair > 0 && len(m.running) < slots && alone == 0 && !isolatedWaits {
		t.Fatalf("%d wait while %d of %d slots run", fair, len(m.running), slots)
	}
	for _, id := range started {
		for other, r := range m.waiting {
			if s := m.running[id]; m.spare(id, s) && m.spare(other, r) && r.FinishBy < s.FinishBy {
				t.Fatalf("overnight %d started before %d, whose deadline is earlier", id, other)
			}
		}
	}
}

// train teaches the gate a service time.
func (m *model) train(hold time.Duration) {
	m.offer(Request{Class: "all", Team: "train"})
	m.now += hold
	m.done(m.next)
}

// drain ends what runs, oldest first, until the time, with service times of
// exactly hold.
func (m *model) drain(until, hold time.Duration, since map[uint64]time.Duration) {
	for {
		first, at := uint64(0), until
		for _, id := range sorted(m.running) {
			if _, ok := since[id]; !ok {
				since[id] = m.now
			}
			if end := since[id] + hold; end <= at && (first == 0 || end < at) {
				first, at = id, end
			}
		}
		if first == 0 {
			m.now = until
			return
		}
		m.now = at
		for _, id := range m.done(first) {
			since[id] = m.now
		}
	}
}

// TestRefusalIsTruthful lets a refused request come back after the time that
// it was told: with no other arrival it is taken.
func TestRefusalIsTruthful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hold := time.Duration(rapid.IntRange(10, 500).Draw(t, "hold")) * time.Millisecond
		m := newModel(rapid.IntRange(1, 5).Draw(t, "slots"))
		m.train(hold)
		since := map[uint64]time.Duration{}
		for range 120 {
			target := time.Duration(rapid.IntRange(20, 1000).Draw(t, "target")) * time.Millisecond
			r := Request{Team: "a", Class: "all"}
			if rapid.Bool().Draw(t, "timed") {
				r.FirstTokenBy = m.now + target
			}
			v := m.offer(r)
			if v.Start {
				since[m.next] = m.now
			}
			if !v.Reject {
				continue
			}
			m.drain(m.now+v.RetryAfter, hold, since)
			if r.FirstTokenBy > 0 {
				r.FirstTokenBy = m.now + target
			}
			if again := m.offer(r); again.Reject {
				t.Fatalf("refused again after %v: come back in %v", v.RetryAfter, again.RetryAfter)
			} else if again.Start {
				since[m.next] = m.now
			}
		}
	})
}

// TestPredictionHolds starts every request that is taken with a target, while
// service times are as measured and nothing more urgent arrives.
func TestPredictionHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hold := time.Duration(rapid.IntRange(10, 500).Draw(t, "hold")) * time.Millisecond
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		m := newModel(slots)
		m.train(hold)
		since := map[uint64]time.Duration{}
		startBy := map[uint64]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(t, "arrivals") {
			m.drain(m.now+time.Duration(rapid.IntRange(0, 50).Draw(t, "gap"))*time.Millisecond, hold, since)
			v := m.offer(Request{Team: "a", Class: "all", FirstTokenBy: m.now + time.Duration(rapid.IntRange(20, 2000).Draw(t, "target"))*time.Millisecond})
			if v.Start {
				since[m.next] = m.now
			} else if !v.Reject {
				startBy[m.next] = v.StartBy
			}
		}
		m.drain(m.now+time.Hour, hold, since)
		for id, by := range startBy {
			// The prediction takes what runs to end at even distances.
			if late := since[id] - by; late > hold {
				t.Fatalf("request %d started %v after its time; a slot takes %v", id, late, hold)
			}
		}
	})
}

// TestBurstDoesNotStarve lets one team fill the queue: another team's request
// starts after at most one service of the first in each slot, and work of a
// lower priority starts in the end.
func TestBurstDoesNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hold := 100 * time.Millisecond
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		m := newModel(slots)
		m.train(hold)
		for range rapid.IntRange(slots+1, slots*maxQueuePerSlot).Draw(t, "burst") {
			m.offer(Request{Team: "market", Class: "all", Priority: 1})
		}
		m.offer(Request{Team: "quiet", Class: "all", Priority: 1})
		quiet := m.next
		since := map[uint64]time.Duration{}
		arrived := m.now
		m.drain(m.now+time.Hour, hold, since)
		if waited := since[quiet] - arrived; waited > 2*hold {
			t.Fatalf("the quiet team waited %v behind the burst", waited)
		}
	})
}

// TestFloodOfUrgentWork keeps a gate full of urgent work. A request without a
// target starts or is refused within a bound; overnight work, offered again
// after each refusal, starts before its time is over.
func TestFloodOfUrgentWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hold := time.Duration(rapid.IntRange(100, 400).Draw(t, "hold")) * time.Millisecond
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		// A full queue evicts what is least urgent; another one only lets it wait.
		full := rapid.Bool().Draw(t, "full")
		m := newModel(slots)
		m.train(hold)
		for range slots {
			m.offer(Request{Team: "a", Class: "all"})
		}
		m.offer(Request{Team: "b", Class: "all", Priority: 5})
		patient, answered := m.next, time.Duration(0)
		finish := m.now + time.Duration(rapid.IntRange(40, 60).Draw(t, "finish"))*time.Second
		since := map[uint64]time.Duration{}
		overnight, again := uint64(0), time.Duration(0)
		for m.now < finish {
			if overnight == 0 && m.now >= again {
				if v := m.offer(Request{Team: "c", Class: "all", Priority: 9, FinishBy: finish}); v.Reject {
					again = m.now + 500*time.Millisecond
				} else {
					overnight = m.next
				}
			}
			m.drain(m.now+hold/time.Duration(2*slots), hold, since)
			if !full && len(m.waiting) >= 2*slots+2 {
				if _, ok := since[patient]; ok && answered == 0 {
					answered = m.now
				}
				continue
			}
			v := m.offer(Request{Team: "a", Class: "all", FirstTokenBy: m.now + time.Hour})
			if v.Evicted == overnight && overnight > 0 {
				overnight, again = 0, m.now+500*time.Millisecond
			}
			if _, ok := since[patient]; answered == 0 && (ok || v.Evicted == patient) {
				answered = m.now
			}
		}
		if limit := agingLimit + hold*(2+maxQueuePerSlot); answered == 0 || answered > limit {
			t.Fatalf("work without target answered at %v, limit %v", answered, limit)
		}
		if at, ok := since[overnight]; !ok || at > finish-hold {
			t.Fatalf("overnight work started at %v, due at %v", at, finish)
		}
	})
}

// BenchmarkOffer measures one arrival and one end at a gate with a full queue.
func BenchmarkOffer(b *testing.B) {
	for _, slots := range []int{2, 20, 200} {
		b.Run(fmt.Sprintf("queued=%d", slots*maxQueuePerSlot), func(b *testing.B) {
			g := NewController(slots)
			var id, oldest uint64
			for range slots * (maxQueuePerSlot + 1) {
				id++
				g.Admit(0, Request{ID: id, Team: fmt.Sprint("t", id%7), Class: "all"})
			}
			running := make([]uint64, 0, slots)
			for oldest = 1; oldest <= uint64(slots); oldest++ {
				running = append(running, oldest)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := time.Duration(i) * time.Millisecond
				started := g.Done(now, running[i%slots])
				running[i%slots] = started[0]
				id++
				g.Admit(now, Request{ID: id, Team: "t1", Class: "all"})
			}
		})
	}
}
