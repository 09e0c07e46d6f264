package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"parsleyramp/internal/fleet"
)

// slotCheckInterval is the time after which a waiting request checks for a slot although it was
// not woken. Its own limit rises with time, and held-off endpoints return without notice.
const slotCheckInterval = 250 * time.Millisecond

// slotQueueKey names the requests that the same endpoints can serve.
type slotQueueKey struct{ service, model, adapter string }

// servedBy reports whether the endpoint can serve the requests.
func (k slotQueueKey) servedBy(e *fleet.Endpoint) bool {
	return k.service == e.Service && e.Serves(k.model, k.adapter)
}

// waitOrder orders waiting requests: those of workspaces within their share first, then by
// priority, by when they have to be sent to be on time, and by arrival.
type waitOrder struct {
	overShare bool
	priority  int
	due       time.Duration
	sequence  uint64
}

func (a waitOrder) compare(b waitOrder) int {
	over := func(o waitOrder) int {
		if o.overShare {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(over(a), over(b)), cmp.Compare(a.priority, b.priority), cmp.Compare(a.due, b.due), cmp.Compare(a.sequence, b.sequence))
}

// slotWaiter is one waiting request.
type slotWaiter struct {
	key   slotQueueKey
	order waitOrder
	// asleep is set while the request waits to be woken; slotQueue.mu guards it.
	asleep bool
	// wakeup holds at most one wake-up.
	wakeup chan struct{}
}

// slotQueue holds the requests that wait for a slot, and decides which of them check again when
// room appears: one for each place, in their order. So a burst of waiting requests costs a few
// checks for each place, and not one for each request and poll. Its zero value is empty. It is
// safe for concurrent use.
type slotQueue struct {
	mu      sync.Mutex
	waiters map[slotQueueKey][]*slotWaiter
	joined  uint64
	// count is the number of waiters, and events that of the times room may have appeared.
	count  atomic.Int64
	events atomic.Uint64
}

// join adds a request that waits. Of its order, the sequence is set here.
func (s *slotQueue) join(k slotQueueKey, o waitOrder) *slotWaiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined++
	o.sequence = s.joined
	w := &slotWaiter{key: k, order: o, wakeup: make(chan struct{}, 1)}
	if s.waiters == nil {
		s.waiters = map[slotQueueKey][]*slotWaiter{}
	}
	at, _ := slices.BinarySearchFunc(s.waiters[k], w, compareWaiters)
	s.waiters[k] = slices.Insert(s.waiters[k], at, w)
	s.count.Add(1)
	return w
}

func compareWaiters(a, b *slotWaiter) int { return a.order.compare(b.order) }

// leave removes a request that waits no longer, and wakes the next one: there may be room for
// both, or the request may have been woken for a place that it does not take.
func (s *slotQueue) leave(w *slotWaiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.waiters[w.key]
	if at, found := slices.BinarySearchFunc(all, w, compareWaiters); found {
		all = slices.Delete(all, at, at+1)
		s.count.Add(-1)
	}
	if len(all) == 0 {
		delete(s.waiters, w.key)
		return
	}
	s.waiters[w.key] = all
	firstToWake(all).wake()
}

// firstToWake returns the first waiter that is asleep. If all are checking, it is the first one,
// which checks once more. There is at least one.
func firstToWake(inOrder []*slotWaiter) *slotWaiter {
	if i := slices.IndexFunc(inOrder, func(w *slotWaiter) bool { return w.asleep }); i >= 0 {
		return inOrder[i]
	}
	return inOrder[0]
}

// wake wakes the waiter. slotQueue.mu must be held.
func (w *slotWaiter) wake() {
	w.asleep = false
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// wakeAt wakes one request that the endpoint can serve: it has got room for one.
func (s *slotQueue) wakeAt(e *fleet.Endpoint) {
	s.events.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *slotWaiter
	for k, waiters := range s.waiters {
		if !k.servedBy(e) {
			continue
		}
		if w := firstToWake(waiters); best == nil || w.asleep && !best.asleep || w.asleep == best.asleep && compareWaiters(w, best) < 0 {
			best = w
		}
	}
	if best != nil {
		best.wake()
	}
}

// wakeHeads wakes the first request of each queue: the counts of all endpoints are new. It
// wakes the next one once it is sent.
func (s *slotQueue) wakeHeads() {
	s.events.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, waiters := range s.waiters {
		firstToWake(waiters).wake()
	}
}

// wakeAll wakes all requests, some of which may have to end.
func (s *slotQueue) wakeAll() {
	s.events.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, waiters := range s.waiters {
		for _, w := range waiters {
			w.wake()
		}
	}
}

// passOn wakes the next request, of those that the endpoint can serve, after one that was woken
// and has to wait on, if its limit may be higher: if the share of the workspace alone held the
// first one, or if the next one has less slack. Only later ones are woken, so that it ends.
func (s *slotQueue) passOn(w *slotWaiter, e *fleet.Endpoint, heldByShare bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next *slotWaiter
	for k, waiters := range s.waiters {
		if k != w.key && !k.servedBy(e) {
			continue
		}
		at, found := slices.BinarySearchFunc(waiters, w, compareWaiters)
		if found {
			at++
		}
		for _, x := range waiters[at:] {
			if x.asleep && (heldByShare && !x.order.overShare || x.order.due < w.order.due) {
				if next == nil || compareWaiters(x, next) < 0 {
					next = x
				}
				break
			}
		}
	}
	if next != nil {
		next.wake()
	}
}

// sleep waits until the request is woken, d has passed or ctx ends. It reports whether it was
// woken.
func (s *slotQueue) sleep(ctx context.Context, w *slotWaiter, d time.Duration) bool {
	s.mu.Lock()
	w.asleep = true
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	defer func() {
		s.mu.Lock()
		w.asleep = false
		s.mu.Unlock()
	}()
	select {
	case <-w.wakeup:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// roomAppeared wakes a request that waits for the endpoint, one of whose requests has ended or
// has been read.
func (g *Gateway) roomAppeared(endpoint string) {
	v := g.view.Load()
	if v == nil || g.slots.count.Load() == 0 {
		g.slots.events.Add(1)
		return
	}
	if e := v.Endpoint(endpoint); e != nil {
		g.slots.wakeAt(e)
	}
}

// waitForSlot waits until it is worth checking again whether the request gets a slot.
// c is the choice that was full.
func (q *request) waitForSlot(c fleet.Choice, r fleet.WaitingRequest, s *search) {
	now := q.g.clock()
	if q.slotWaiter == nil {
		k := slotQueueKey{q.requirements.Service, q.requirements.Model, q.requirements.Adapter}
		q.slotWaiter = q.g.slots.join(k, waitOrder{overShare: r.Excess > 1, priority: r.Priority, due: now + r.Slack()})
		if q.g.slots.events.Load() != s.eventsSeen {
			// Room may have appeared since the choice, which woke others at most.
			return
		}
	} else if s.woken {
		q.g.slots.passOn(q.slotWaiter, c.Endpoint, c.Utilization <= r.LimitWithinShare())
	}
	d := min(slotCheckInterval, r.SlotWaitLeft())
	if c.HeldOffUntil > now {
		d = min(d, c.HeldOffUntil-now)
	}
	s.woken = q.g.slots.sleep(q.ctx, q.slotWaiter, max(d, time.Millisecond))
	if q.ctx.Err() != nil {
		q.recordWait(r, waitCanceled)
	}
}

// leaveSlotQueue ends the wait of the request for a slot, if it waits. One that is sent is
// counted at its endpoint first, so that the next one does not take the same place.
func (q *request) leaveSlotQueue() {
	if q.slotWaiter != nil {
		q.g.slots.leave(q.slotWaiter)
		q.slotWaiter = nil
	}
}
