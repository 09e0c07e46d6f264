package admission

import (
	"container/heap"
	"time"
)

// promote moves up the requests whose promotion is due.
func (c *Controller) promote(now time.Duration) {
	for len(c.promotions) > 0 && c.promotions[0].at <= now {
		p := heap.Pop(&c.promotions).(promotion)
		e := c.waiting[p.id]
		if e == nil || e.key.level == urgentLevel {
			continue
		}
		c.queue.remove(e.key)
		if at := urgentAt(e); now >= at {
			e.key.level, e.key.tag = urgentLevel, float64(at)
		} else {
			seq := e.key.seq
			e.key = c.fairKey(int64(e.req.Priority), e)
			e.key.seq = seq
			c.charge(e)
		}
		c.queue.insert(e)
	}
	c.trimPromotions()
}

// trimPromotions drops the promotions of requests that no longer wait, once
// they far outnumber the waiting ones.
func (c *Controller) trimPromotions() {
	if len(c.promotions) <= 4*len(c.waiting)+64 {
		return
	}
	kept := c.promotions[:0]
	for _, p := range c.promotions {
		if c.waiting[p.id] != nil {
			kept = append(kept, p)
		}
	}
	c.promotions = kept
	heap.Init(&c.promotions)
}

// promotion is the time at which a waiting request moves up a level.
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

// Push implements heap.Interface.
func (h *promotionHeap) Push(x any) { *h = append(*h, x.(promotion)) }

// Pop implements heap.Interface.
func (h *promotionHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
