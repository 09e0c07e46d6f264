package quota

import (
	"slices"
	"time"
)

// bucket is the token bucket of one workspace at the leader. Its level is the burst less the
// deficit, the reserves and the part that silent gateways may hold; the deficit never falls
// below zero, so that level and reserves together never exceed the burst.
type bucket struct {
	limit    Limit
	deficit  float64
	reserved float64
	// withheld is the part of the burst that silent gateways may hold.
	withheld float64
	// refilled are the seconds of refill of the ledger that the bucket has got.
	refilled float64
	lows     []low
	spent    record
	// unknown is what may have been spent before the leader began, and was booked then.
	unknown float64
	// promisedUntil is when the tokens are there that refused requests were promised.
	promisedUntil time.Duration
	held          heldPromise
	limited       bool
}

// low states that the deficit was amount at a time, and not less since.
type low struct {
	at     time.Duration
	amount float64
}

// maxLows bounds the record of lows; beyond it, two neighbors become one that is as low as
// the lower of them.
const maxLows = 24

// heldPromise keeps tokens for a request that was refused, so that smaller later ones do not
// take them each time.
type heldPromise struct {
	cost       float64
	due, until time.Duration
}

func (b *bucket) level() float64 {
	return b.limit.Burst*(1-b.withheld) - b.deficit - b.reserved
}

// advance refills the bucket.
func (b *bucket) advance(refilled float64) {
	b.deficit = max(b.deficit-b.limit.Rate*(refilled-b.refilled), 0)
	b.refilled = refilled
}

// setLimit applies a changed quota: what is spent and leased counts against it.
func (b *bucket) setLimit(l Limit) {
	if b.limit == l {
		return
	}
	if b.unknown > 0 {
		// What is not known scales with what the quota allows.
		change := max(b.unknown+l.Burst-b.limit.Burst, 0) - b.unknown
		b.deficit, b.unknown = max(b.deficit+change, 0), b.unknown+change
	}
	b.limit = l
	b.promisedUntil, b.held = 0, heldPromise{}
}

// book adds what was spent.
func (b *bucket) book(amount float64, now time.Duration) {
	if amount <= 0 {
		return
	}
	b.pushLow(now)
	b.deficit += amount
	b.spent.add(amount, now)
}

// pushLow records the deficit before it rises.
func (b *bucket) pushLow(now time.Duration) {
	for len(b.lows) > 0 && b.lows[len(b.lows)-1].amount >= b.deficit {
		b.lows = b.lows[:len(b.lows)-1]
	}
	if len(b.lows) == maxLows {
		b.mergeLows()
	}
	b.lows = append(b.lows, low{now, b.deficit})
}

// mergeLows merges the two neighbors that differ least.
func (b *bucket) mergeLows() {
	best := 1
	for i := 2; i < len(b.lows); i++ {
		if b.lows[i].amount-b.lows[i-1].amount < b.lows[best].amount-b.lows[best-1].amount {
			best = i
		}
	}
	b.lows[best-1].at = b.lows[best].at
	b.lows = slices.Delete(b.lows, best, best+1)
}

// unbook takes back a booking of the given time, and returns by how much the deficit falls.
// The bucket is then as if the amount had never been booked: what the refill has made up for
// since would have overflowed. That is the least deficit since then.
func (b *bucket) unbook(amount float64, booked time.Duration) float64 {
	credit := min(amount, b.deficit)
	i := len(b.lows)
	for i > 0 && b.lows[i-1].at > booked {
		i--
		credit = min(credit, b.lows[i].amount)
	}
	if credit <= 0 {
		return 0
	}
	b.deficit -= credit
	for j := i; j < len(b.lows); j++ {
		b.lows[j].amount -= credit
	}
	b.orderLows()
	return credit
}

// orderLows drops the lows that a later one undercuts.
func (b *bucket) orderLows() {
	kept := len(b.lows)
	least := b.deficit
	for i := len(b.lows) - 1; i >= 0; i-- {
		if b.lows[i].amount <= least {
			least = b.lows[i].amount
			kept--
			b.lows[kept] = b.lows[i]
		}
	}
	b.lows = slices.Delete(b.lows, 0, kept)
}

// take grants the cost, or returns when to come back.
func (b *bucket) take(cost float64, now time.Duration) (ok bool, retryAfter time.Duration) {
	if b.grantable(cost, now) {
		if cost >= b.held.cost {
			b.held = heldPromise{}
		}
		b.book(cost, now)
		return true, 0
	}
	return false, b.promise(cost, now)
}

// grantable reports whether the cost may be spent now. One that exceeds the burst may if the
// bucket is full and no window gets more by it than the quota allows: the deficit is then
// more than the burst until the refill has made up for it.
func (b *bucket) grantable(cost float64, now time.Duration) bool {
	if cost > b.limit.Burst {
		return b.deficit+b.reserved <= tolerance && b.spent.sum(now)+cost <= b.limit.perWindow()
	}
	return b.available()-b.heldBack(cost, now)+tolerance >= cost
}

// available returns how much may be granted: the level, and as much as the reserves may hold
// of it.
func (b *bucket) available() float64 {
	return b.level() + min(b.reserved, b.maxReserved())
}

func (b *bucket) maxReserved() float64 { return reserveMargin * b.limit.perWindow() }

// heldBack returns how much of the level is kept for a larger request that came before.
func (b *bucket) heldBack(cost float64, now time.Duration) float64 {
	h := b.held
	if cost >= h.cost || now > h.until {
		return 0
	}
	return max(min(h.cost, b.limit.Burst)-b.limit.Rate*max(h.due-now, 0).Seconds(), 0)
}

// promise returns after which time the tokens for the cost are there, beside those that were
// promised before.
func (b *bucket) promise(cost float64, now time.Duration) time.Duration {
	if cost > b.limit.perWindow() || b.limit.Rate <= 0 {
		return Never
	}
	missing := cost - b.available() + b.heldBack(cost, now)
	if cost > b.limit.Burst {
		missing = max(b.deficit+b.reserved, b.spent.sum(now)+cost-b.limit.perWindow())
	}
	start := now
	if b.promisedUntil > now {
		start, missing = b.promisedUntil, cost
	}
	due := start + seconds(max(missing, 0)/b.limit.Rate)
	due = min(max(due, now+time.Millisecond), now+MaxRetryAfter)
	b.promisedUntil = due
	if now > b.held.until || cost > b.held.cost {
		b.held = heldPromise{cost: cost, due: due, until: due + heldGrace}
	}
	return due - now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// record holds what was spent in each of the latest slots.
type record struct {
	amounts [slots]float64
	slot    int64
}

func (r *record) advance(now time.Duration) {
	slot := int64(now / slotTime)
	for ; r.slot < slot; r.slot++ {
		if slot-r.slot > int64(slots) {
			r.slot = slot - int64(slots)
		}
		r.amounts[(r.slot+1)%int64(slots)] = 0
	}
}

// add adds the amount to the slot of the time, if that is still recorded.
func (r *record) add(amount float64, at time.Duration) {
	r.advance(at)
	if slot := int64(at / slotTime); r.slot-slot < int64(slots) {
		r.amounts[slot%int64(slots)] += amount
	}
}

// list returns the amounts, the latest first.
func (r *record) list(now time.Duration) []float64 {
	r.advance(now)
	out := make([]float64, slots)
	for i := range out {
		out[i] = max(r.amounts[((r.slot-int64(i))%int64(slots)+int64(slots))%int64(slots)], 0)
	}
	return out
}

// sum returns what was spent in the latest window at most.
func (r *record) sum(now time.Duration) float64 {
	r.advance(now)
	total := 0.0
	for _, x := range r.amounts {
		total += x
	}
	return total
}
