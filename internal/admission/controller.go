// Package admission decides whether a request to an endpoint starts now, is
// queued or is rejected at once. The entry that owns the endpoint makes these
// decisions. The package does no I/O; time is passed in.
package admission

import (
	"container/heap"
	"math"
	"time"
)

// Request holds the properties of a request that admission depends on. Times
// are monotonic.
type Request struct {
	ID   uint64
	Team string
	// Weight is the team's share within a priority; zero means one.
	Weight float64
	// Class names the group of requests whose service times are averaged
	// together.
	Class string
	// RequestSize is a measure of the prompt's length, in any unit that is the
	// same for all requests.
	RequestSize float64
	// Priority is the priority class; requests with a lower number go first.
	Priority int32
	// FirstTokenBy is the time by which the first token is due; zero for no
	// target.
	FirstTokenBy time.Duration
	// FinishBy is the deadline of a deferred request; zero for other requests.
	FinishBy time.Duration
	// Isolated requests run only while no other request runs on the endpoint.
	Isolated bool
}

// Decision is the decision on one request.
type Decision struct {
	Start  bool
	Reject bool
	// RetryAfter is how long after its rejection the request could meet its
	// target, provided that no other request arrives.
	RetryAfter time.Duration
	// StartBy is the time by which a queued request must start to meet its
	// target; zero for none. The caller of Admit must abandon it at that time.
	StartBy time.Duration
	// Evicted is the ID of a queued request that is rejected in favor of this
	// one; zero for none.
	Evicted uint64
}

// Load is the load of one endpoint, as its admission controller counts it.
type Load struct {
	InFlight int
	Queued   int
	Slots    int
	// TimeToFirstToken is the predicted time to the first token of a request
	// that arrives now and is not deferred.
	TimeToFirstToken time.Duration
}

const (
	// maxQueuePerSlot is the maximum number of queued requests for each slot of
	// an endpoint.
	maxQueuePerSlot = 8
	// agingLimit is how long a request without a target waits behind requests
	// of higher priority.
	agingLimit = 30 * time.Second
	// reservedSlackShare is the share of a deferred request's slack on arrival
	// for which it is queued at its own priority: after it has waited for spare
	// capacity and before it goes ahead of all others.
	reservedSlackShare = 0.1
	// A deferred request goes before all others once the time left until its
	// deadline is at most urgentSlackServiceTimes expected service times, or
	// minUrgentSlack if that is longer.
	urgentSlackServiceTimes = 4
	minUrgentSlack          = 5 * time.Second
	// spareShare is the share of the slots that deferred requests waiting for
	// spare capacity may not use.
	spareShare = 0.25
	// minQueueTimeShare is the share of a first-token target that a request may
	// always spend in the queue, so that an overestimated prefill time cannot
	// make an endpoint reject every request.
	minQueueTimeShare = 0.25
)

// Levels of the queue outside the range of priorities: urgentLevel goes before
// and spareLevel after all of them.
const (
	urgentLevel = int64(math.MinInt32) - 1
	spareLevel  = int64(math.MaxInt32) + 1
)

// flow identifies the requests of one team at one level for fair queueing.
type flow struct {
	level int64
	team  string
}

// runningRequest is one running request with its expected service time.
type runningRequest struct {
	req         Request
	started     time.Duration
	serviceTime time.Duration
}

// Controller admits requests to one endpoint. Each call costs O(log n) in the
// number of waiting requests. It is not safe for concurrent use.
//
// Requests are ordered by priority. Within one priority, teams share by
// start-time fair queueing (Goyal, Vin and Cheng, 1996) with the expected
// service time as cost. Deferred requests come last, earliest deadline first,
// until little of their slack is left.
type Controller struct {
	slots   int
	seq     uint64
	running map[uint64]*runningRequest
	// runningServiceTime is the sum of the expected service times of running.
	runningServiceTime time.Duration
	waiting            map[uint64]*queuedRequest
	queue              queue
	// promotions holds the times at which waiting requests move up a level.
	promotions promotionHeap
	// virtualTime is the virtual time of each level, and finishTags holds the
	// last finish tag of each flow.
	virtualTime     map[int64]float64
	finishTags      map[flow]float64
	estimates       estimator
	runningIsolated bool
	// runningInSpareCapacity holds the running requests that were started in
	// spare capacity.
	runningInSpareCapacity map[uint64]bool
}

// NewController returns a controller for an endpoint with the number of slots.
func NewController(slots int) *Controller {
	return &Controller{
		slots: max(1, slots), running: map[uint64]*runningRequest{}, waiting: map[uint64]*queuedRequest{},
		virtualTime: map[int64]float64{}, finishTags: map[flow]float64{}, estimates: newEstimator(), runningInSpareCapacity: map[uint64]bool{},
	}
}

// SetSlots changes the number of slots and returns the requests that start now.
func (c *Controller) SetSlots(now time.Duration, slots int) []uint64 {
	if slots = max(1, slots); slots == c.slots {
		return nil
	}
	c.slots = slots
	return c.startNext(now)
}

// Admit decides whether a request that arrives now starts, waits or is
// rejected.
func (c *Controller) Admit(now time.Duration, r Request) Decision {
	c.promote(now)
	c.seq++
	e := &queuedRequest{req: r, serviceTime: c.estimates.serviceTime(r), arrived: now}
	e.key = c.arrivalKey(e)
	if first := c.queue.first(); (first == nil || e.key.compare(first.key) < 0) && c.canStart(e) {
		c.start(now, e)
		return Decision{Start: true}
	}
	wait := c.predictWait(e.key)
	var startBy time.Duration
	if r.FirstTokenBy > 0 {
		budget := c.queueTimeBudget(r, r.FirstTokenBy-now)
		if wait > budget {
			return Decision{Reject: true, RetryAfter: wait - budget + c.estimates.overall.serviceTime}
		}
		startBy = now + budget
	}
	d := Decision{StartBy: startBy}
	if c.queue.len() >= c.slots*maxQueuePerSlot {
		last := c.queue.last()
		if last.key.level <= e.key.level {
			return Decision{Reject: true, RetryAfter: wait + c.estimates.overall.serviceTime}
		}
		c.drop(last)
		d.Evicted = last.req.ID
	}
	c.enqueue(e)
	return d
}

// queueTimeBudget returns how long a request may wait in the queue and still
// meet its target for the first token.
func (c *Controller) queueTimeBudget(r Request, target time.Duration) time.Duration {
	return max(target-c.estimates.prefill(r), time.Duration(float64(target)*minQueueTimeShare))
}

// arrivalKey returns the queue key of a request that arrives now.
func (c *Controller) arrivalKey(e *queuedRequest) key {
	switch {
	case e.req.FinishBy > 0 && e.arrived >= urgentAt(e):
		return key{urgentLevel, float64(urgentAt(e)), c.seq}
	case e.req.FinishBy > 0 && e.arrived < spareCapacityUntil(e):
		return key{spareLevel, float64(e.req.FinishBy), c.seq}
	}
	return c.fairKey(int64(e.req.Priority), e)
}

// fairKey returns the queue key that fair queueing gives a request at a level.
func (c *Controller) fairKey(level int64, e *queuedRequest) key {
	return key{level, max(c.virtualTime[level], c.finishTags[flow{level, e.req.Team}]), c.seq}
}

// charge advances the finish tag of the team by the cost of the request.
func (c *Controller) charge(e *queuedRequest) {
	if e.key.level == spareLevel || e.key.level == urgentLevel {
		return
	}
	weight := e.req.Weight
	if weight <= 0 {
		weight = 1
	}
	c.finishTags[flow{e.key.level, e.req.Team}] = e.key.tag + max(1, float64(e.serviceTime))/weight
}

// spareCapacityUntil returns the time at which a deferred request stops waiting
// for spare capacity and is queued at its own priority.
func spareCapacityUntil(e *queuedRequest) time.Duration {
	slack := e.req.FinishBy - e.arrived
	return urgentAt(e) - time.Duration(float64(slack)*reservedSlackShare)
}

// urgentAt returns the time from which a waiting request goes before all
// priorities; zero if it never does.
func urgentAt(e *queuedRequest) time.Duration {
	switch {
	case e.req.FinishBy > 0:
		return e.req.FinishBy - max(minUrgentSlack, urgentSlackServiceTimes*e.serviceTime)
	case e.req.FirstTokenBy == 0:
		return e.arrived + agingLimit
	}
	return 0
}

func (c *Controller) enqueue(e *queuedRequest) {
	c.charge(e)
	c.waiting[e.req.ID] = e
	c.queue.insert(e)
	if e.key.level == spareLevel {
		heap.Push(&c.promotions, promotion{spareCapacityUntil(e), e.req.ID})
	}
	if at := urgentAt(e); at > 0 {
		heap.Push(&c.promotions, promotion{at, e.req.ID})
	}
}

// canStart reports whether the request may start now beside the running ones.
func (c *Controller) canStart(e *queuedRequest) bool {
	switch {
	case c.runningIsolated || len(c.running) >= c.slots:
		return false
	case e.req.Isolated:
		return len(c.running) == 0
	case e.key.level == spareLevel:
		return len(c.runningInSpareCapacity) < c.slots-int(float64(c.slots)*spareShare)
	}
	return true
}

func (c *Controller) start(now time.Duration, e *queuedRequest) {
	if _, queued := c.waiting[e.req.ID]; !queued {
		c.charge(e)
	}
	if e.key.level != spareLevel && e.key.level != urgentLevel {
		c.virtualTime[e.key.level] = max(c.virtualTime[e.key.level], e.key.tag)
	}
	c.running[e.req.ID] = &runningRequest{req: e.req, started: now, serviceTime: e.serviceTime}
	c.runningServiceTime += e.serviceTime
	c.runningIsolated = e.req.Isolated
	if e.key.level == spareLevel {
		c.runningInSpareCapacity[e.req.ID] = true
	}
}

// predictWait predicts how long a request with the queue key waits for a slot.
func (c *Controller) predictWait(k key) time.Duration {
	_, ahead := c.queue.before(k)
	if len(c.running) >= c.slots || c.runningIsolated {
		ahead += c.runningServiceTime / time.Duration(len(c.running))
	}
	return ahead / time.Duration(c.slots)
}

// ObserveFirstToken records that a running request has produced its first token.
func (c *Controller) ObserveFirstToken(now time.Duration, id uint64) {
	if r := c.running[id]; r != nil {
		c.estimates.observePrefill(r.req, now-r.started)
	}
}

// Done removes a request, whether it ran or waited, and returns the requests
// that start now.
func (c *Controller) Done(now time.Duration, id uint64) []uint64 {
	if r := c.running[id]; r != nil {
		delete(c.running, id)
		delete(c.runningInSpareCapacity, id)
		c.runningServiceTime -= r.serviceTime
		c.runningIsolated = c.runningIsolated && !r.req.Isolated
		c.estimates.observeServiceTime(r.req, now-r.started)
	} else if e := c.waiting[id]; e != nil {
		c.drop(e)
	}
	return c.startNext(now)
}

func (c *Controller) startNext(now time.Duration) []uint64 {
	c.promote(now)
	var started []uint64
	for e := c.queue.first(); e != nil && c.canStart(e); e = c.queue.first() {
		c.start(now, e)
		c.drop(e)
		started = append(started, e.req.ID)
	}
	if c.queue.len() == 0 {
		clear(c.virtualTime)
		clear(c.finishTags)
		c.promotions = c.promotions[:0]
	}
	return started
}

func (c *Controller) drop(e *queuedRequest) {
	c.queue.remove(e.key)
	delete(c.waiting, e.req.ID)
}

// Busy reports whether a request that arrives now would wait.
func (c *Controller) Busy() bool {
	return len(c.running) >= c.slots || c.queue.len() > 0 || c.runningIsolated
}

// Load returns the exact counts of requests and the predicted time to the
// first token.
func (c *Controller) Load() Load {
	l := Load{InFlight: len(c.running), Queued: c.queue.len(), Slots: c.slots, TimeToFirstToken: c.estimates.overall.prefill}
	if c.Busy() {
		l.TimeToFirstToken += c.predictWait(key{level: spareLevel, tag: math.Inf(-1)})
	}
	return l
}
