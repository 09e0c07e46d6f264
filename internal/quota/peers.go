package quota

import "time"

// checkInterval is the time between two checks of which gateways are silent and which leases
// have expired. The leader withholds the part of a silent gateway that much earlier.
const checkInterval = 50 * time.Millisecond

// peer is what the ledger knows of a gateway.
type peer struct {
	incarnation, former string
	sequence            uint64
	// gateways is the number by which it divides the rate when it spends alone.
	gateways int
	// contactAt is when it had an answer of the leader, as far as the leader knows.
	contactAt time.Duration
	// wasWithheld is set if its part was withheld since its last call, and share is the part
	// that is withheld now.
	wasWithheld bool
	share       float64
	// told is set if it has told what it spent before the leader began.
	told   bool
	leases map[string]*lease
	// pending are the leases that its last call changed.
	pending []*lease
}

// lease is the reserve of a gateway for a workspace, and what its last call was given.
type lease struct {
	workspace       string
	held            float64
	leased, granted float64
	booked, until   time.Duration
}

// peerCounts sums up the gateways.
type peerCounts struct {
	// known is set once what was spent before the leader began is known, or no longer matters.
	known bool
	// expected is the largest number of gateways that others have known of, left how many
	// have taken leave, and withheld the part of the rate that is not refilled.
	expected, left int
	withheld       float64
}

func (p *peer) lease(workspace string) *lease {
	s := p.leases[workspace]
	if s == nil {
		s = &lease{workspace: workspace}
		p.leases[workspace] = s
	}
	return s
}

// peerOf returns what is known of the gateway, which is new to the ledger if it must be.
func (l *Ledger) peerOf(id, incarnation string, now time.Duration) *peer {
	p := l.peers[id]
	if p == nil {
		p = &peer{incarnation: incarnation, contactAt: now - AloneAfter, wasWithheld: l.missing(now) > 0, leases: map[string]*lease{}}
		l.peers[id] = p
	}
	return p
}

// Contact records that the gateway had an answer of the leader that long ago. Gateways tell it
// with each exchange, so that one that has no requests is not taken for one that spends alone.
func (l *Ledger) Contact(id, incarnation string, gateways int, answeredAgo, now time.Duration) {
	p := l.peerOf(id, incarnation, now)
	if incarnation == p.former {
		return
	}
	l.contact(p, gateways, answeredAgo, now)
}

func (l *Ledger) contact(p *peer, gateways int, answeredAgo, now time.Duration) {
	p.contactAt = max(p.contactAt, now-answeredAgo)
	p.gateways = max(gateways, 1)
	if now-l.startedAt < Window {
		l.expected = max(l.expected, gateways)
	}
}

// Leave records that the gateway ends: it spends nothing alone.
func (l *Ledger) Leave(id string, now time.Duration) {
	p := l.peers[id]
	if p == nil {
		return
	}
	l.endLeases(p, now)
	delete(l.peers, id)
	l.left++
}

// admit returns the gateway of the call, or false if the call is older than one that was
// answered.
func (l *Ledger) admit(c *Call, now time.Duration) (*peer, bool) {
	p := l.peerOf(c.Gateway, c.Incarnation, now)
	switch {
	case c.Incarnation == p.former:
		return nil, false
	case c.Incarnation != p.incarnation:
		l.endLeases(p, now)
		p.former, p.incarnation, p.sequence = p.incarnation, c.Incarnation, 0
	case c.Sequence <= p.sequence:
		return nil, false
	}
	return p, true
}

// endLeases books the reserves of a process that states no more of them.
func (l *Ledger) endLeases(p *peer, now time.Duration) {
	for name, s := range p.leases {
		if b := l.buckets[name]; b != nil {
			b.reserved -= s.held + s.leased
			b.book(s.held+s.leased, now)
		}
	}
	p.leases, p.pending = map[string]*lease{}, p.pending[:0]
}

// notWithheld returns how much of what the gateway has spent alone is not in what was withheld
// for it: the rate was, and what its bucket held may have been the leader's again since.
func (p *peer) notWithheld(spent float64, limit Limit) float64 {
	if p.wasWithheld {
		return min(spent, limit.Burst/float64(max(p.gateways, 1)))
	}
	return spent
}

// hear records that the gateway has called, and what was spent before the leader began.
func (l *Ledger) hear(p *peer, c *Call, now time.Duration) {
	p.wasWithheld = false
	p.told = p.told || c.Covered >= Window
	if known := l.known; !known {
		if l.learn(now); l.known {
			l.check(now)
		}
	}
}

// addHistory adds what a gateway has spent, by the time before the leader began. What it has
// spent since counts as spent then.
func (l *Ledger) addHistory(p *peer, x *Charge, now time.Duration) {
	if l.known || p.told || len(x.History) == 0 {
		return
	}
	h := l.histories[x.Workspace]
	if h == nil {
		h = &history{}
		l.histories[x.Workspace] = h
	}
	shift := int((now - l.startedAt) / slotTime)
	if (now-l.startedAt)%slotTime > 0 {
		shift++
	}
	for i, amount := range x.History {
		if i < slots {
			h[max(i-shift, 0)] += amount
		}
	}
}

// deficitOf returns the deficit that the history leaves, each slot spent at its end.
func (h *history) deficitOf(limit Limit) float64 {
	deficit := 0.0
	for i := slots - 1; i >= 0; i-- {
		deficit = max(deficit-limit.Rate*slotTime.Seconds(), 0) + h[i]
	}
	return deficit
}

// history is what all gateways have spent in each slot before the leader began, the latest
// first.
type history [slots]float64

// learn replaces the assumption of what was spent before the leader began by what is known:
// once all gateways have told it, or once all of it has left the window.
func (l *Ledger) learn(now time.Duration) {
	if l.known || now-l.startedAt < Window && !l.allTold(now) {
		return
	}
	l.known = true
	complete := now-l.startedAt < Window
	for name, b := range l.buckets {
		if complete {
			l.correct(name, b)
		} else {
			b.unbook(b.unknown, l.startedAt)
		}
		b.unknown = 0
	}
	if complete {
		// Nobody spends alone; what was spent since the start is in the histories.
		l.refilled = (now - l.startedAt).Seconds()
	}
}

// correct sets the bucket to the deficit that the histories leave.
func (l *Ledger) correct(name string, b *bucket) {
	h := l.histories[name]
	if h == nil {
		b.unbook(b.unknown, l.startedAt)
		return
	}
	if d := h.deficitOf(b.limit); d < b.unknown {
		b.unbook(b.unknown-d, l.startedAt)
	} else {
		b.deficit += d - b.unknown
	}
	for i, amount := range h {
		b.spent.add(amount, max(l.startedAt-time.Duration(i)*slotTime, 0))
	}
}

func (l *Ledger) allTold(now time.Duration) bool {
	for _, p := range l.peers {
		if !p.told {
			return false
		}
	}
	return l.missing(now) == 0
}

// missing returns how many gateways the others know of that this leader has not heard from.
func (l *Ledger) missing(now time.Duration) int {
	if now-l.startedAt > SilentTTL {
		return 0
	}
	return max(l.expected-len(l.peers)-l.left, 0)
}

// number returns the number of gateways that may spend.
func (l *Ledger) number(now time.Duration) int { return max(len(l.peers)+l.missing(now), 1) }

// advance counts the refill until now.
func (l *Ledger) advance(now time.Duration) {
	if now-l.checkedAt >= checkInterval || l.checkedAt == l.startedAt {
		l.check(now)
	}
	l.refilled += (now - l.advanced).Seconds() * (1 - l.withheld)
	l.advanced = now
}

// check determines the part of the rate that gateways may spend alone, and ends leases.
func (l *Ledger) check(now time.Duration) {
	l.refilled += (now - l.advanced).Seconds() * (1 - l.withheld)
	l.advanced, l.checkedAt = now, now
	l.learn(now)
	l.withheld = 0
	for id, p := range l.peers {
		silent := now - p.contactAt
		if silent > SilentTTL {
			l.Leave(id, now)
			continue
		}
		p.share = 0
		if silent > AloneAfter-2*checkInterval {
			p.share, p.wasWithheld = 1/float64(max(p.gateways, 1)), true
			l.withheld += p.share
		}
		l.expireLeases(p, now)
	}
	if n := l.missing(now); n > 0 {
		l.withheld += float64(n) / float64(l.number(now))
	}
	l.withheld = min(l.withheld, 1)
}

// expireLeases books the reserves that a gateway no longer states: it may have spent them.
func (l *Ledger) expireLeases(p *peer, now time.Duration) {
	for name, s := range p.leases {
		if now <= s.until {
			continue
		}
		if b := l.buckets[name]; b != nil {
			b.reserved -= s.held + s.leased
			b.book(s.held+s.leased, now)
		}
		s.held, s.leased = 0, 0
		if s.granted == 0 {
			delete(p.leases, name)
		}
	}
}
