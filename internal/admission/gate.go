// Package admission decides at an endpoint's owner which request runs now,
// which waits and which is refused at once. It does no I/O; time is passed in.
package admission

import (
	"container/heap"
	"math"
	"time"
)

// Request is what a decision depends on. Times are monotonic.
type Request struct {
	ID   uint64
	Team string
	// Weight is the team's share within a priority; zero stands for one.
	Weight float64
	// Class names the requests whose service times are measured together.
	Class string
	// PromptSize is the size of the prompt, in any unit.
	PromptSize float64
	// Priority: a lower number goes first.
	Priority int32
	// FirstTokenBy is when the first token is due; zero for no target.
	FirstTokenBy time.Duration
	// FinishBy is when overnight work must be finished; zero for other work.
	FinishBy time.Duration
	// Isolated requests run only while nothing else runs on the endpoint.
	Isolated bool
}

// Decision is the decision on one request.
type Decision struct {
	Start  bool
	Reject bool
	// RetryAfter is when the refused request could meet its target, provided
	// that nothing else arrives.
	RetryAfter time.Duration
	// StartBy is when a waiting request must have started to meet its target;
	// zero for none. It is to be given up then.
	StartBy time.Duration
	// Evicted waited and is refused in favour of this request; zero for none.
	Evicted uint64
}

// Load is what a gate knows of its endpoint.
type Load struct {
	InFlight int
	Queued   int
	Slots    int
	// TimeToFirstToken is the predicted time to the first token of a request that
	// arrives now and is not overnight work.
	TimeToFirstToken time.Duration
}

const (
	// maxQueuePerSlot bounds the queue of one endpoint.
	maxQueuePerSlot = 8
	// agingLimit is how long a request without a target waits behind more
	// urgent ones.
	agingLimit = 30 * time.Second
	// lateSlackShare of the time that overnight work had on arrival is left
	// when it stops waiting for spare capacity and joins its own priority.
	lateSlackShare = 0.1
	// urgentSlackHolds, in expected service times, and minUrgentSlack bound the
	// slack below which overnight work goes first.
	urgentSlackHolds = 4
	minUrgentSlack   = 5 * time.Second
	// spareShare of the slots is kept free of overnight work.
	spareShare = 0.25
	// minStartShare of a first-token target may always be spent waiting, so
	// that a wrong estimate of the prefill cannot close an endpoint.
	minStartShare = 0.25
)

// Levels that lie outside the range of priorities.
const (
	urgentLevel = int64(math.MinInt32) - 1
	spareLevel  = int64(math.MaxInt32) + 1
)

// flow is a team's place in the fair order of one level.
type flow struct {
	level int64
	team  string
}

// run is one running request.
type run struct {
	req     Request
	started time.Duration
	hold    time.Duration
}

// Controller admits requests to one endpoint. Each call costs O(log n) in the
// number of waiting requests. It is not safe for concurrent use.
//
// Order: by priority; within one, teams share by start-time fair queueing
// (Goyal, Vin and Cheng, 1996) with the expected service time as cost.
// Overnight work comes last, earliest deadline first, until its slack shrinks.
type Controller struct {
	slots   int
	seq     uint64
	running map[uint64]*run
	// runningHold is the sum of the expected service times of running.
	runningHold time.Duration
	waiting     map[uint64]*entry
	queue       queue
	// promotions holds when waiting requests move up a level.
	promotions promotionHeap
	// virtual is each level's virtual time and finish each flow's last tag.
	virtual   map[int64]float64
	finish    map[flow]float64
	estimates estimator
	isolated  bool
	// overnight counts the running requests that run in spare capacity.
	overnight map[uint64]bool
}

// NewController returns a gate for an endpoint that runs slots requests at once.
func NewController(slots int) *Controller {
	return &Controller{
		slots: max(1, slots), running: map[uint64]*run{}, waiting: map[uint64]*entry{},
		virtual: map[int64]float64{}, finish: map[flow]float64{}, estimates: newEstimator(), overnight: map[uint64]bool{},
	}
}

// SetSlots changes how many requests run at once and returns the requests
// that start now.
func (g *Controller) SetSlots(now time.Duration, slots int) []uint64 {
	if slots = max(1, slots); slots == g.slots {
		return nil
	}
	g.slots = slots
	return g.startNext(now)
}

// Admit decides on a request that arrives now.
func (g *Controller) Admit(now time.Duration, r Request) Decision {
	g.promote(now)
	g.seq++
	e := &entry{req: r, hold: g.estimates.hold(r), arrived: now}
	e.key = g.place(e)
	if first := g.queue.first(); (first == nil || e.key.compare(first.key) < 0) && g.fits(e) {
		g.start(now, e)
		return Decision{Start: true}
	}
	wait := g.wait(e.key)
	var startBy time.Duration
	if r.FirstTokenBy > 0 {
		budget := g.startBudget(r, r.FirstTokenBy-now)
		if wait > budget {
			return Decision{Reject: true, RetryAfter: wait - budget + g.estimates.all.hold}
		}
		startBy = now + budget
	}
	v := Decision{StartBy: startBy}
	if g.queue.len() >= g.slots*maxQueuePerSlot {
		last := g.queue.last()
		if last.key.level <= e.key.level {
			return Decision{Reject: true, RetryAfter: wait + g.estimates.all.hold}
		}
		g.drop(last)
		v.Evicted = last.req.ID
	}
	g.enqueue(e)
	return v
}

// startBudget returns how much of the time to the first token may be waited.
func (g *Controller) startBudget(r Request, target time.Duration) time.Duration {
	return max(target-g.estimates.prefill(r), time.Duration(float64(target)*minStartShare))
}

// place returns the place of a request that arrives now.
func (g *Controller) place(e *entry) key {
	switch {
	case e.req.FinishBy > 0 && e.arrived >= urgentAt(e):
		return key{urgentLevel, float64(urgentAt(e)), g.seq}
	case e.req.FinishBy > 0 && e.arrived < lateAt(e):
		return key{spareLevel, float64(e.req.FinishBy), g.seq}
	}
	return g.fairKey(int64(e.req.Priority), e)
}

// fairKey returns the place in the fair order of a level.
func (g *Controller) fairKey(level int64, e *entry) key {
	return key{level, max(g.virtual[level], g.finish[flow{level, e.req.Team}]), g.seq}
}

// charge moves the team's place behind the request.
func (g *Controller) charge(e *entry) {
	if e.key.level == spareLevel || e.key.level == urgentLevel {
		return
	}
	weight := e.req.Weight
	if weight <= 0 {
		weight = 1
	}
	g.finish[flow{e.key.level, e.req.Team}] = e.key.tag + max(1, float64(e.hold))/weight
}

// lateAt is when overnight work joins its own priority.
func lateAt(e *entry) time.Duration {
	slack := e.req.FinishBy - e.arrived
	return urgentAt(e) - time.Duration(float64(slack)*lateSlackShare)
}

// urgentAt is when a waiting request goes first; zero for never.
func urgentAt(e *entry) time.Duration {
	switch {
	case e.req.FinishBy > 0:
		return e.req.FinishBy - max(minUrgentSlack, urgentSlackHolds*e.hold)
	case e.req.FirstTokenBy == 0:
		return e.arrived + agingLimit
	}
	return 0
}

func (g *Controller) enqueue(e *entry) {
	g.charge(e)
	g.waiting[e.req.ID] = e
	g.queue.insert(e)
	if e.key.level == spareLevel {
		heap.Push(&g.promotions, promotion{lateAt(e), e.req.ID})
	}
	if at := urgentAt(e); at > 0 {
		heap.Push(&g.promotions, promotion{at, e.req.ID})
	}
}

// promote moves up the requests whose time has come.
func (g *Controller) promote(now time.Duration) {
	for len(g.promotions) > 0 && g.promotions[0].at <= now {
		p := heap.Pop(&g.promotions).(promotion)
		e := g.waiting[p.id]
		if e == nil || e.key.level == urgentLevel {
			continue
		}
		g.queue.remove(e.key)
		if at := urgentAt(e); now >= at {
			e.key.level, e.key.tag = urgentLevel, float64(at)
		} else {
			seq := e.key.seq
			e.key = g.fairKey(int64(e.req.Priority), e)
			e.key.seq = seq
			g.charge(e)
		}
		g.queue.insert(e)
	}
	g.trimPromotions()
}

// trimPromotions drops the promotions of requests that have left, once they
// outnumber those that wait.
func (g *Controller) trimPromotions() {
	if len(g.promotions) <= 4*len(g.waiting)+64 {
		return
	}
	kept := g.promotions[:0]
	for _, p := range g.promotions {
		if g.waiting[p.id] != nil {
			kept = append(kept, p)
		}
	}
	g.promotions = kept
	heap.Init(&g.promotions)
}

// fits reports whether the request may start beside those that run.
func (g *Controller) fits(e *entry) bool {
	switch {
	case g.isolated || len(g.running) >= g.slots:
		return false
	case e.req.Isolated:
		return len(g.running) == 0
	case e.key.level == spareLevel:
		return len(g.overnight) < g.slots-int(float64(g.slots)*spareShare)
	}
	return true
}

func (g *Controller) start(now time.Duration, e *entry) {
	if _, queued := g.waiting[e.req.ID]; !queued {
		g.charge(e)
	}
	if e.key.level != spareLevel && e.key.level != urgentLevel {
		g.virtual[e.key.level] = max(g.virtual[e.key.level], e.key.tag)
	}
	g.running[e.req.ID] = &run{req: e.req, started: now, hold: e.hold}
	g.runningHold += e.hold
	g.isolated = e.req.Isolated
	if e.key.level == spareLevel {
		g.overnight[e.req.ID] = true
	}
}

// wait predicts how long a request at that place waits.
func (g *Controller) wait(k key) time.Duration {
	_, ahead := g.queue.before(k)
	if len(g.running) >= g.slots || g.isolated {
		ahead += g.runningHold / time.Duration(len(g.running))
	}
	return ahead / time.Duration(g.slots)
}

// ObserveFirstToken notes that a running request has produced its first token.
func (g *Controller) ObserveFirstToken(now time.Duration, id uint64) {
	if r := g.running[id]; r != nil {
		g.estimates.observePrefill(r.req, now-r.started)
	}
}

// Done ends a request, whether it ran or waited, and returns the requests
// that start now.
func (g *Controller) Done(now time.Duration, id uint64) []uint64 {
	if r := g.running[id]; r != nil {
		delete(g.running, id)
		delete(g.overnight, id)
		g.runningHold -= r.hold
		g.isolated = g.isolated && !r.req.Isolated
		g.estimates.observeHold(r.req, now-r.started)
	} else if e := g.waiting[id]; e != nil {
		g.drop(e)
	}
	return g.startNext(now)
}

func (g *Controller) startNext(now time.Duration) []uint64 {
	g.promote(now)
	var started []uint64
	for e := g.queue.first(); e != nil && g.fits(e); e = g.queue.first() {
		g.start(now, e)
		g.drop(e)
		started = append(started, e.req.ID)
	}
	if g.queue.len() == 0 {
		clear(g.virtual)
		clear(g.finish)
		g.promotions = g.promotions[:0]
	}
	return started
}

func (g *Controller) drop(e *entry) {
	g.queue.remove(e.key)
	delete(g.waiting, e.req.ID)
}

// Busy reports whether a request that arrives now would wait.
func (g *Controller) Busy() bool {
	return len(g.running) >= g.slots || g.queue.len() > 0 || g.isolated
}

// Load returns the gate's exact load.
func (g *Controller) Load() Load {
	l := Load{InFlight: len(g.running), Queued: g.queue.len(), Slots: g.slots, TimeToFirstToken: g.estimates.all.prefill}
	if g.Busy() {
		l.TimeToFirstToken += g.wait(key{level: spareLevel, tag: math.Inf(-1)})
	}
	return l
}

// promotion is when a waiting request moves up.
type promotion struct {
	at time.Duration
	id uint64
}

type promotionHeap []promotion

func (h promotionHeap) Len() int { return len(h) }
func (h promotionHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].id < h[j].id
}
func (h promotionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a promotion, as container/heap asks.
func (h *promotionHeap) Push(x any) { *h = append(*h, x.(promotion)) }

// Pop removes the last promotion, as container/heap asks.
func (h *promotionHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
