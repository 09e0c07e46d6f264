package consensus

import (
	"slices"
	"time"

	"parsleyramp/internal/wire"
)

// progress is the replication state of one replica, as known to the leader.
type progress struct {
	// match is the highest index known to be replicated to the replica.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// acked is the latest heartbeat round that the replica responded to.
	acked uint64
	// contactAt is when the last response of the replica arrived.
	contactAt time.Duration
	// resendAt is when unacknowledged entries are considered lost.
	resendAt time.Duration
	// snapshotAt is the earliest time at which the snapshot may be sent again.
	snapshotAt time.Duration
	// stopping is true if the replica is about to stop.
	stopping bool
	// probing is true until the replica's log is known to match at next-1. A
	// probing replica gets only empty appends.
	probing bool
}

// rounds records when the leader's recent heartbeat rounds were sent. A round
// that a quorum has responded to proves that the leader was still the leader
// when it sent the round.
type rounds struct {
	sequence uint64
	sent     []round
}

type round struct {
	sequence uint64
	at       time.Duration
}

// start adds a round sent at the given time and returns its sequence number.
func (r *rounds) start(at time.Duration) uint64 {
	r.sequence++
	r.sent = append(r.sent, round{sequence: r.sequence, at: at})
	return r.sequence
}

// sentAt returns when the latest round up to the sequence number was sent. It
// drops the rounds before that one.
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

// progressOf returns the progress of the replica, which it creates if needed.
func (c *Core) progressOf(id uint64) *progress {
	p := c.progress[id]
	if p == nil {
		p = &progress{next: c.log.lastIndex() + 1, probing: true, contactAt: c.now}
		c.progress[id] = p
	}
	return p
}

// updateProgress adds and removes progress entries to match the active memberships.
func (c *Core) updateProgress() {
	for id := range c.progress {
		if !c.isActive(id) && id != c.id {
			delete(c.progress, id)
		}
	}
	for _, id := range c.activeReplicas(func(*wire.Replica) bool { return true }) {
		c.progressOf(id)
	}
}

// quorumContactAt returns the latest time since which a quorum of voters, this
// replica included, has responded.
func (c *Core) quorumContactAt() time.Duration {
	c.progressOf(c.id).contactAt = c.now
	return quorumOf(c, func(p *progress) time.Duration { return p.contactAt })
}

// LeaseUntil returns the expiry of the leader lease: until then no other replica
// can become leader. It is zero if this replica is not the leader or has not
// committed an entry of its term.
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

// advanceCommit advances the commit index to the highest entry that a quorum
// stores. Only entries of the current term are committed by counting replicas
// (Raft, 5.4.2). A leader that is no voter of the committed membership hands its
// leadership over.
func (c *Core) advanceCommit() {
	index := quorumOf(c, func(p *progress) uint64 { return p.match })
	if t, ok := c.log.term(index); !ok || t != c.term || index <= c.commitIndex {
		return
	}
	for i := max(c.commitIndex+1, c.termStart); i <= index; i++ {
		c.uncommittedBytes -= len(c.log.entries[i-c.log.snapIndex-1].Data)
	}
	wasCommitted := c.MembershipCommitted()
	c.commitIndex = index
	if !wasCommitted && c.MembershipCommitted() {
		// The others may need to know that the quorums of the membership before no
		// longer count.
		c.broadcast()
		c.updateProgress()
	}
	if c.memberships.currentIndex() <= c.commitIndex && !isVoter(c.Membership(), c.id) {
		c.broadcast()
		if request := c.StepDown(); request != nil {
			c.send(request)
		}
	}
}
