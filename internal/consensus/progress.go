package consensus

import (
	"slices"
	"time"
)

// progress is what a leader knows of one replica.
type progress struct {
	// match is the last index known to be stored there.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// acked is the newest broadcast round that the replica answered.
	acked     uint64
	contactAt time.Duration
	// resendAt is when unanswered entries are sent again.
	resendAt time.Duration
	// snapshotAt is when a snapshot may be sent again.
	snapshotAt time.Duration
	// probing is true until the replica's log is known to match at next-1.
	probing bool
}

// rounds remembers when the leader's recent broadcast rounds were sent. A
// round that a quorum answered proves the leadership as of its sending.
type rounds struct {
	sequence uint64
	sent     []round
}

type round struct {
	sequence uint64
	at       time.Duration
}

// start opens a round at the time and returns its number.
func (r *rounds) start(at time.Duration) uint64 {
	r.sequence++
	r.sent = append(r.sent, round{sequence: r.sequence, at: at})
	return r.sequence
}

// sentAt returns when the newest round up to the sequence was sent, dropping
// those before it.
func (r *rounds) sentAt(sequence uint64) (time.Duration, bool) {
	i, found := slices.BinarySearchFunc(r.sent, sequence, func(x round, s uint64) int {
		return int(int64(x.sequence) - int64(s))
	})
	if !found {
		i--
	}
	if i < 0 {
		return 0, false
	}
	at := r.sent[i].at
	r.sent = r.sent[i:]
	return at, true
}

func (c *Core) progressOf(id uint64) *progress {
	p := c.progress[id]
	if p == nil {
		p = &progress{next: c.log.lastIndex() + 1, probing: true, contactAt: c.now}
		c.progress[id] = p
	}
	return p
}

// updateProgress makes one progress for each replica of the membership.
func (c *Core) updateProgress() {
	for id := range c.progress {
		if findReplica(c.Membership(), id) == nil && id != c.id {
			delete(c.progress, id)
		}
	}
	for _, r := range c.Membership().GetReplicas() {
		c.progressOf(r.Id)
	}
}

// quorumOf returns the highest value that a quorum of voters has reached.
func quorumOf[T uint64 | time.Duration](c *Core, value func(*progress) T) T {
	var values []T
	for _, id := range voters(c.Membership()) {
		values = append(values, value(c.progressOf(id)))
	}
	if len(values) == 0 {
		var zero T
		return zero
	}
	slices.Sort(values)
	return values[len(values)-quorum(c.Membership())]
}

func (c *Core) quorumContactAt() time.Duration {
	c.progressOf(c.id).contactAt = c.now
	return quorumOf(c, func(p *progress) time.Duration { return p.contactAt })
}

// LeaseUntil returns until when no other replica can have become leader. It
// is zero on a replica that does not lead or has not committed in its term.
func (c *Core) LeaseUntil() time.Duration {
	if c.role != Leader || c.commitIndex < c.termStart {
		return 0
	}
	c.progressOf(c.id).acked = c.rounds.sequence
	acked := quorumOf(c, func(p *progress) uint64 { return p.acked })
	at, ok := c.rounds.sentAt(acked)
	if !ok {
		return 0
	}
	return at + time.Duration(float64(c.cfg.ElectionTimeout)*(1-c.cfg.ClockDrift))
}

// advanceCommit commits what a quorum has stored. Only an entry of the own
// term is counted directly (Raft, 5.4.2).
func (c *Core) advanceCommit() {
	index := quorumOf(c, func(p *progress) uint64 { return p.match })
	if t, ok := c.log.term(index); !ok || t != c.term || index <= c.commitIndex {
		return
	}
	for i := max(c.commitIndex+1, c.termStart); i <= index; i++ {
		c.uncommittedBytes -= len(c.log.entries[i-c.log.snapIndex-1].Data)
	}
	c.commitIndex = index
	if c.memberships.currentIndex() <= c.commitIndex && !isVoter(c.Membership(), c.id) {
		c.broadcast()
		c.becomeFollower(c.term, 0)
	}
}
