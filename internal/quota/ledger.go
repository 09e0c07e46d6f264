package quota

import (
	"slices"
	"time"
)

// Ledger is the state of a leader: the buckets of the workspaces and what it knows of the
// gateways. It is not safe for concurrent use.
type Ledger struct {
	leadership uint64
	startedAt  time.Duration
	buckets    map[string]*bucket
	peers      map[string]*peer
	peerCounts
	checkedAt time.Duration
	// refilled counts the seconds of refill until advanced, without the withheld part.
	refilled  float64
	advanced  time.Duration
	histories map[string]*history
}

// NewLedger returns the ledger of a leadership that starts now.
func NewLedger(leadership uint64, now time.Duration) *Ledger {
	return &Ledger{
		leadership: leadership, startedAt: now, advanced: now, checkedAt: now, buckets: map[string]*bucket{}, peers: map[string]*peer{},
		peerCounts: peerCounts{withheld: 1}, histories: map[string]*history{},
	}
}

// Charge books what a gateway states and grants what it asks for. limitOf returns the quota
// of a workspace. It returns false if the call is older than one that has been answered.
func (l *Ledger) Charge(c *Call, limitOf func(workspace string) (Limit, bool), now time.Duration) (Answer, bool) {
	out := Answer{Leadership: l.leadership, Booked: now}
	if c.Leadership != l.leadership {
		// Its statements are those to another leader.
		return out, true
	}
	p, ok := l.admit(c, now)
	if !ok {
		return Answer{}, false
	}
	l.settle(p, c.Answered)
	p.sequence = c.Sequence
	l.contact(p, c.Gateways, c.AnsweredAgo, now)
	l.advance(now)
	for i := range c.Charges {
		x := &c.Charges[i]
		limit, ok := limitOf(x.Workspace)
		if !ok {
			continue
		}
		b := l.bucketOf(p, x.Workspace, limit, now)
		l.state(p, b, x, now)
	}
	l.hear(p, c, now)
	out.Gateways = l.number(now)
	for i := range c.Charges {
		x := &c.Charges[i]
		if b := l.buckets[x.Workspace]; b != nil {
			if _, ok := limitOf(x.Workspace); ok {
				out.Grants = append(out.Grants, l.grant(p, b, x, now))
			}
		}
	}
	return out, true
}

// bucketOf returns the bucket of the workspace, refilled.
func (l *Ledger) bucketOf(p *peer, workspace string, limit Limit, now time.Duration) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{limit: limit}
		if now-l.startedAt < Window && !l.known {
			b.pushLow(l.startedAt)
			b.unknown = max(limit.Burst-learnMargin*limit.perWindow(), 0)
			b.deficit = b.unknown
		} else if h := l.histories[workspace]; h != nil {
			b.deficit = h.deficitOf(limit)
		}
		l.buckets[workspace] = b
	}
	b.setLimit(limit)
	l.refill(b, p)
	return b
}

// refill refills the bucket for a call of the gateway. The part of the burst that silent
// gateways may hold is withheld, except while it is booked as unknown, and except that of the
// gateway itself: once it has the answer it does not spend alone.
func (l *Ledger) refill(b *bucket, p *peer) {
	b.withheld = 0
	if l.known {
		b.withheld = max(l.withheld-p.share, 0)
	}
	b.advance(l.refilled)
}

// state books what the gateway states of its reserve and of its own spending.
func (l *Ledger) state(p *peer, b *bucket, x *Charge, now time.Duration) {
	s := p.lease(x.Workspace)
	held := min(max(x.Held, 0), s.held)
	unused := min(max(x.Unused, 0), s.held-held)
	b.reserved -= s.held - held
	b.book(s.held-held-unused, now)
	s.held, s.until = held, now+LeaseTTL+leaseGrace
	for _, r := range x.Returned {
		b.unbook(r.Amount, r.Booked)
	}
	b.book(p.notWithheld(x.SpentAlone, b.limit), now)
	l.addHistory(p, x, now)
}

// grant grants the costs of the charge in their order and renews the reserve.
func (l *Ledger) grant(p *peer, b *bucket, x *Charge, now time.Duration) Grant {
	l.refill(b, p)
	s := p.lease(x.Workspace)
	out := Grant{Workspace: x.Workspace, RetryAfter: make([]time.Duration, len(x.Costs)), Learning: !l.known && now-l.startedAt < learnTime}
	for i, cost := range x.Costs {
		ok, retryAfter := false, time.Duration(0)
		if out.Learning && !b.grantable(cost, now) {
			retryAfter = time.Millisecond
		} else if ok, retryAfter = b.take(cost, now); ok {
			s.granted += cost
			continue
		}
		out.RetryAfter[i] = retryAfter
	}
	b.limited = out.Refused()
	s.leased = l.leasable(b, s.held, now)
	b.reserved += s.leased
	s.booked = now
	if s.leased > 0 || s.granted > 0 {
		p.pending = append(p.pending, s)
	}
	out.Reserve, out.ReserveTTL, out.Level = s.held+s.leased, LeaseTTL, b.level()
	if out.Reserve == 0 && s.granted == 0 {
		delete(p.leases, x.Workspace)
	}
	return out
}

// leasable returns by how much the reserve of a gateway may grow: to its part of what exceeds
// half of the burst, and of what may be leased at all.
func (l *Ledger) leasable(b *bucket, held float64, now time.Duration) float64 {
	if !l.known || b.limited {
		return 0
	}
	plenty := b.level() - leasableLevel*b.limit.Burst
	most := b.maxReserved() - b.reserved
	part := min(plenty, b.maxReserved()) / float64(l.number(now))
	return max(min(part-held, most), 0)
}

// settle closes the last call of the gateway: if its answer was not used, neither were the
// grants and the leases in it.
func (l *Ledger) settle(p *peer, answered uint64) {
	for _, s := range p.pending {
		if answered == p.sequence {
			s.held += s.leased
		} else if b := l.buckets[s.workspace]; b != nil {
			b.reserved -= s.leased
			b.unbook(s.granted, s.booked)
		}
		s.leased, s.granted = 0, 0
	}
	p.pending = p.pending[:0]
}

// Withheld returns the part of the rate that is withheld for gateways that may spend alone.
func (l *Ledger) Withheld() float64 { return l.withheld }

// Level returns the level of the workspace's bucket and the sum of its reserves at the time.
func (l *Ledger) Level(workspace string, now time.Duration) (level, reserved float64, ok bool) {
	b := l.buckets[workspace]
	if b == nil {
		return 0, 0, false
	}
	l.advance(now)
	l.refill(b, &peer{})
	return b.level(), b.reserved, true
}

// Retain drops the buckets of workspaces that have no quota any more, with what calls in flight
// were given: it must not count for the bucket of a later quota.
func (l *Ledger) Retain(limited func(workspace string) bool) {
	for name := range l.buckets {
		if !limited(name) {
			delete(l.buckets, name)
			for _, p := range l.peers {
				delete(p.leases, name)
				p.pending = slices.DeleteFunc(p.pending, func(s *lease) bool { return s.workspace == name })
			}
		}
	}
}
