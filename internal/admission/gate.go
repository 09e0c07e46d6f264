// Package admission decides at an endpoint's owner which request runs now,
// which waits and which is refused at once. It does no I/O; time is passed in.
package admission

import (
	"slices"
	"time"
)

// Request is what a decision depends on. Times are monotonic.
type Request struct {
	ID uint64
	// Priority: a lower number goes first.
	Priority int32
	// StartBy is when the request must start to meet its target; zero for none.
	StartBy time.Duration
}

// Verdict is the decision on one request.
type Verdict struct {
	Start  bool
	Refuse bool
	// RetryAfter is when the refused request could meet its target.
	RetryAfter time.Duration
}

// Load is what a gate knows of its endpoint.
type Load struct {
	InFlight int
	Queued   int
	Slots    int
	// Wait is the predicted time until a request that arrives now starts.
	Wait time.Duration
}

// averageWeight is the share of the newest service time in the average.
const averageWeight = 0.1

// maxQueuePerSlot bounds the queue of one endpoint.
const maxQueuePerSlot = 8

// Gate admits requests to one endpoint. It is not safe for concurrent use.
type Gate struct {
	slots   int
	running map[uint64]time.Duration
	waiting []Request
	// service is the average time that a request holds a slot.
	service time.Duration
}

// NewGate returns a gate for an endpoint that runs slots requests at once.
func NewGate(slots int) *Gate {
	return &Gate{slots: max(1, slots), running: map[uint64]time.Duration{}}
}

// SetSlots changes how many requests run at once.
func (g *Gate) SetSlots(slots int) { g.slots = max(1, slots) }

// Offer decides on a request that arrives now.
func (g *Gate) Offer(now time.Duration, r Request) Verdict {
	if len(g.running) < g.slots && len(g.waiting) == 0 {
		g.running[r.ID] = now
		return Verdict{Start: true}
	}
	at := g.position(r)
	wait := g.waitAt(at)
	if late := now + wait - r.StartBy; r.StartBy > 0 && late > 0 {
		return Verdict{Refuse: true, RetryAfter: late}
	}
	if len(g.waiting) >= g.slots*maxQueuePerSlot {
		return Verdict{Refuse: true, RetryAfter: wait}
	}
	g.waiting = slices.Insert(g.waiting, at, r)
	return Verdict{}
}

// position returns where the request goes in the queue.
func (g *Gate) position(r Request) int {
	at := len(g.waiting)
	for at > 0 && g.waiting[at-1].Priority > r.Priority {
		at--
	}
	return at
}

// waitAt predicts how long a request with that many before it waits.
func (g *Gate) waitAt(ahead int) time.Duration {
	return g.service * time.Duration(ahead+1) / time.Duration(g.slots)
}

// Done ends a request, whether it ran or waited, and returns the requests
// that start now.
func (g *Gate) Done(now time.Duration, id uint64) []uint64 {
	if started, ok := g.running[id]; ok {
		delete(g.running, id)
		g.observe(now - started)
	} else {
		g.waiting = slices.DeleteFunc(g.waiting, func(r Request) bool { return r.ID == id })
	}
	var start []uint64
	for len(g.running) < g.slots && len(g.waiting) > 0 {
		next := g.waiting[0]
		g.waiting = g.waiting[1:]
		g.running[next.ID] = now
		start = append(start, next.ID)
	}
	return start
}

func (g *Gate) observe(service time.Duration) {
	if g.service == 0 {
		g.service = service
		return
	}
	g.service += time.Duration(float64(service-g.service) * averageWeight)
}

// Load returns the gate's exact load.
func (g *Gate) Load() Load {
	l := Load{InFlight: len(g.running), Queued: len(g.waiting), Slots: g.slots}
	if len(g.running) >= g.slots {
		l.Wait = g.waitAt(len(g.waiting))
	}
	return l
}
