package consensus

import (
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// Propose appends a command to the leader's log and returns its index. The
// command is committed once the entry with this index and the current term is. A leader that
// loses its vote takes no commands, so that the next one has the whole log.
func (c *Core) Propose(data []byte) (uint64, error) {
	if c.role != Leader {
		return 0, fail.New(fail.NotLeader, "this replica is not the leader")
	}
	if !isVoter(c.Membership(), c.id) {
		return 0, fail.New(fail.NotLeader, "this replica hands its leadership over")
	}
	if len(data) > c.cfg.MaxCommandBytes {
		return 0, fail.New(fail.BodyTooLarge, "the command exceeds the size limit of the replicated log")
	}
	if c.uncommittedBytes+len(data) > c.cfg.MaxUncommittedBytes {
		return 0, fail.New(fail.Overloaded, "too many commands are appended to the replicated log and not yet committed").WithRetryAfter(c.cfg.HeartbeatInterval)
	}
	return c.appendLocal(wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND, data), nil
}

// ProposeMembership appends a membership that differs from the current one by at
// most one voter. It fails until the previous membership change and the first
// entry of the leader's term are committed.
func (c *Core) ProposeMembership(m *wire.Membership) (uint64, error) {
	if c.role != Leader {
		return 0, fail.New(fail.NotLeader, "this replica is not the leader")
	}
	if c.commitIndex < c.termStart || c.memberships.currentIndex() > c.commitIndex {
		return 0, fail.New(fail.MembershipChange, "the previous membership change, or the first entry of the leader's term, is not committed yet").WithRetryAfter(c.cfg.ElectionTimeout)
	}
	if err := checkChange(c.Membership(), m); err != nil {
		return 0, err
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return 0, fail.Wrap(err, fail.Internal, "encode membership")
	}
	index := c.appendLocal(wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP, data)
	c.updateProgress()
	return index, nil
}

// Flush sends new entries to the replicas whose logs are known to match. It
// starts no heartbeat round.
func (c *Core) Flush() {
	if c.role != Leader {
		return
	}
	for _, id := range c.peers() {
		if p := c.progressOf(id); !p.probing && p.next <= c.log.lastIndex() {
			c.continueAppend(id, p)
		}
	}
}

// TransferLeadership steps down and asks a voter that stores the complete log to
// start an election (Ongaro 2014, 3.10). The lease ends before the request is
// sent, so the other voters may grant their votes without waiting for its
// expiry. It returns false if no such voter is reachable.
func (c *Core) TransferLeadership() bool {
	if c.role != Leader || len(voters(c.Membership())) == 1 {
		return true
	}
	to := c.transferTarget()
	if to == 0 {
		return false
	}
	c.send(&wire.RaftMessage{Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_HAND_OVER, To: to, Term: c.term})
	c.becomeFollower(c.term, 0)
	return true
}

// StepDown ends the leadership of a replica that can store nothing any more or is no longer a
// voter. It returns the request to the reachable voter with the longest log to campaign, or nil. Entries that this
// replica has not synced may be the last ones there; an election decides whether they stay.
func (c *Core) StepDown() *wire.RaftMessage {
	if c.role != Leader {
		return nil
	}
	target, match := uint64(0), uint64(0)
	for _, id := range voters(c.Membership()) {
		p := c.progressOf(id)
		if id != c.id && c.Reachable(id) && !p.stopping && p.match >= match {
			target, match = id, p.match
		}
	}
	c.becomeFollower(c.term, 0)
	if target == 0 {
		return nil
	}
	return &wire.RaftMessage{Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_HAND_OVER, From: c.id, To: target, Term: c.term}
}

// transferTarget returns a reachable voter that stores the complete log, preferably one
// that isn't about to stop itself, or zero.
func (c *Core) transferTarget() uint64 {
	target := uint64(0)
	for _, id := range voters(c.Membership()) {
		p := c.progressOf(id)
		if id == c.id || !c.Reachable(id) || p.match != c.log.lastIndex() {
			continue
		}
		if !p.stopping {
			return id
		}
		target = id
	}
	return target
}

// SetStopping makes this replica tell leaders that it is about to stop.
func (c *Core) SetStopping() { c.stopping = true }

// CaughtUp reports whether the replica has stored all but the last few committed
// entries, so that making it a voter does not delay commits.
func (c *Core) CaughtUp(id uint64) bool {
	const maxLag = 16
	p, ok := c.progress[id]
	return ok && c.role == Leader && p.match+maxLag >= c.commitIndex && p.match > 0
}

// Stopping reports whether the replica has told this leader that it is about to stop.
func (c *Core) Stopping(id uint64) bool {
	p, ok := c.progress[id]
	return ok && c.role == Leader && p.stopping
}

// Reachable reports whether the replica has responded to this leader within the
// last election timeout.
func (c *Core) Reachable(id uint64) bool {
	if c.role != Leader {
		return false
	}
	p, ok := c.progress[id]
	return id == c.id || ok && p.acked > 0 && c.now-p.contactAt <= c.cfg.ElectionTimeout
}

// peers returns the other replicas of the active memberships.
func (c *Core) peers() []uint64 {
	return c.activeReplicas(func(r *wire.Replica) bool { return r.Id != c.id })
}

// broadcast starts a heartbeat round: it sends every replica an append, with the
// entries that it lacks.
func (c *Core) broadcast() {
	c.heartbeatAt = c.now + c.cfg.HeartbeatInterval
	sequence := c.rounds.start(c.now)
	for _, id := range c.peers() {
		c.sendAppend(id, sequence)
	}
}

func (c *Core) sendAppend(id, sequence uint64) {
	p := c.progressOf(id)
	if !p.probing && p.next > p.match+1 && c.now >= p.resendAt {
		// No response came in time, so the entries are considered lost. An empty
		// append probes the replica before they are sent again.
		p.next, p.probing = p.match+1, true
	}
	term, ok := c.log.term(p.next - 1)
	if !ok {
		c.sendSnapshot(id, p, sequence)
		return
	}
	m := &wire.RaftMessage{
		Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, To: id, Term: c.term,
		LogIndex: p.next - 1, LogTerm: term, Commit: c.commitIndex, Sequence: sequence,
	}
	if p.probing {
		c.send(m)
		return
	}
	m.Entries = c.log.slice(p.next, c.cfg.MaxAppendEntries, c.cfg.MaxAppendBytes)
	if p.next == p.match+1 {
		p.resendAt = c.now + c.cfg.ElectionTimeout
	}
	p.next += uint64(len(m.Entries))
	c.send(m)
}

// sendSnapshot sends the snapshot at most once per election timeout. In between
// it sends an append with previous index 0, which matches every log: the
// responses renew the leader lease.
func (c *Core) sendSnapshot(id uint64, p *progress, sequence uint64) {
	if c.snapshot == nil || c.now < p.snapshotAt {
		c.send(&wire.RaftMessage{Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, To: id, Term: c.term, Sequence: sequence})
		return
	}
	p.snapshotAt = c.now + c.cfg.ElectionTimeout
	c.send(&wire.RaftMessage{Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT, To: id, Term: c.term, Snapshot: c.snapshot, Commit: c.commitIndex, Sequence: sequence})
}

// Compact discards log entries that the snapshot covers. The last of them, at
// most retainEntries and retainBytes, stay for followers that lag behind. The
// caller must have synced the snapshot.
func (c *Core) Compact(s *wire.Snapshot, retainEntries uint64, retainBytes int) {
	c.snapshot = s
	upTo := c.log.tailStart(s.Index, retainEntries, retainBytes) - 1
	c.log.compact(upTo)
	c.memberships = c.memberships.compact(upTo)
}

// MembershipAt returns the latest membership at or before the index. The index
// must be applied; the result is meant for a snapshot at that index.
func (c *Core) MembershipAt(index uint64) *wire.Membership { return c.memberships.at(index) }

// TermAt returns the term of the entry at the index.
func (c *Core) TermAt(index uint64) (uint64, bool) { return c.log.term(index) }
