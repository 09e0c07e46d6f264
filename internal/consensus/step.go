package consensus

import (
	"time"

	"parsleyramp/internal/wire"
)

// Step processes a message that another replica sent. now is the current time.
func (c *Core) Step(now time.Duration, m *wire.RaftMessage) {
	c.now = max(c.now, now)
	if m.To != c.id {
		return
	}
	if m.From == c.lostVoter {
		// Its disk has come back.
		c.lostVoter = 0
	}
	switch m.Type {
	case wire.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, wire.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE:
		c.handleVote(m)
		return
	case wire.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY:
		c.handlePreVoteReply(m)
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, 0)
	}
	if m.Term < c.term {
		c.rejectStale(m)
		return
	}
	switch m.Type {
	case wire.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY:
		if c.role == Candidate {
			c.votes[m.From] = !m.Reject
			c.countVotes()
		}
	case wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND:
		c.followLeader(m.From)
		c.handleAppend(m)
	case wire.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
		c.followLeader(m.From)
		c.handleSnapshot(m)
	case wire.RaftMessageType_RAFT_MESSAGE_TYPE_HAND_OVER:
		if c.role == Follower && c.isActiveVoter(c.id) {
			c.leadershipTransfer = true
			c.campaign(Candidate)
		}
	case wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY:
		if c.role == Leader {
			c.handleAppendReply(m)
		}
	}
}

// rejectStale notifies the sender, a former leader, of the newer term.
func (c *Core) rejectStale(m *wire.RaftMessage) {
	if m.Type == wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND || m.Type == wire.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT {
		c.send(&wire.RaftMessage{Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY, To: m.From, Term: c.term, Reject: true})
	}
}

// inLease reports whether a leader's lease may still rely on this replica
// granting no vote. The replica may have responded to a leader just before a
// restart, so it also grants no vote for an election timeout after its start.
func (c *Core) inLease() bool {
	if c.role == Leader {
		return c.now-c.quorumContactAt() <= c.cfg.ElectionTimeout
	}
	if c.hasLeaderContact {
		return c.now-c.leaderContactAt < c.cfg.ElectionTimeout
	}
	return c.term > 0 && c.now-c.startedAt < c.cfg.ElectionTimeout
}

// upToDate reports whether the candidate's log is at least as up-to-date as this
// replica's log (Raft, 5.4.1).
func (c *Core) upToDate(m *wire.RaftMessage) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.LogIndex >= c.log.lastIndex()
}

// handleVote responds to a vote or pre-vote request. While a leader's lease may
// hold, it rejects the request and ignores its term, unless that leader asked
// for the election itself.
func (c *Core) handleVote(m *wire.RaftMessage) {
	pre := m.Type == wire.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE
	reply := &wire.RaftMessage{Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY, To: m.From, Term: c.term, Reject: true}
	if pre {
		reply.Type = wire.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY
	}
	if c.inLease() && !m.HandOver {
		c.send(reply)
		return
	}
	if !pre && m.Term > c.term {
		c.becomeFollower(m.Term, 0)
	}
	switch {
	case pre:
		reply.Reject = m.Term <= c.term || !c.upToDate(m) || c.takesPrecedence(m)
	case m.Term == c.term && (c.votedFor == 0 || c.votedFor == m.From) && c.role == Follower && c.upToDate(m):
		c.votedFor = m.From
		c.resetElection()
		reply.Reject = false
	}
	reply.Term = c.term
	if pre && !reply.Reject {
		reply.Term = m.Term
	}
	c.send(reply)
}

// takesPrecedence reports whether this replica is a pre-candidate too, with an
// equal log and a higher id. If both won the pre-vote, they would split the vote.
func (c *Core) takesPrecedence(m *wire.RaftMessage) bool {
	equal := m.LogTerm == c.log.lastTerm() && m.LogIndex == c.log.lastIndex()
	return c.role == PreCandidate && equal && c.id > m.From
}

func (c *Core) handlePreVoteReply(m *wire.RaftMessage) {
	if m.Reject && m.Term > c.term {
		c.becomeFollower(m.Term, 0)
		return
	}
	if c.role != PreCandidate || (!m.Reject && m.Term != c.term+1) {
		return
	}
	c.votes[m.From] = !m.Reject
	c.countVotes()
}

// followLeader becomes or stays a follower of the replica id, which sent a
// message as leader of the current term, and resets the election timeout.
func (c *Core) followLeader(id uint64) {
	if c.role != Follower {
		c.becomeFollower(c.term, id)
	}
	c.leader = id
	c.leaderContactAt, c.hasLeaderContact = c.now, true
	c.resetElection()
}

func (c *Core) handleAppend(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY, To: m.From, Term: c.term, Sequence: m.Sequence, Stopping: c.stopping}
	defer c.send(reply)
	if m.LogIndex < c.commitIndex {
		// Committed entries are the same on all replicas.
		reply.LogIndex = c.commitIndex
		return
	}
	if t, ok := c.log.term(m.LogIndex); !ok || t != m.LogTerm {
		reply.Reject = true
		reply.LogIndex, reply.LogTerm = c.conflictHint(m)
		return
	}
	if first := c.log.merge(m.Entries); first > 0 {
		c.memberships = c.memberships.truncate(first)
		c.recordMemberships(c.log.slice(first, int(c.log.lastIndex()), 1<<62))
	}
	reply.LogIndex = m.LogIndex + uint64(len(m.Entries))
	c.commitIndex = max(c.commitIndex, min(m.Commit, reply.LogIndex))
}

// conflictHint returns the highest index at which this log and the leader's may
// still match, and the term of this replica's entry there.
func (c *Core) conflictHint(m *wire.RaftMessage) (uint64, uint64) {
	index := min(m.LogIndex, c.log.lastIndex())
	for index > c.commitIndex {
		t, _ := c.log.term(index)
		if t <= m.LogTerm {
			break
		}
		index--
	}
	if index == m.LogIndex && index > c.commitIndex {
		index--
	}
	t, _ := c.log.term(index)
	return index, t
}

func (c *Core) handleSnapshot(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{Type: wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY, To: m.From, Term: c.term, Sequence: m.Sequence, Stopping: c.stopping}
	defer c.send(reply)
	s := m.Snapshot
	if s.GetIndex() <= c.commitIndex {
		reply.LogIndex = c.commitIndex
		return
	}
	reply.LogIndex = s.Index
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		// The log already holds all entries that the snapshot covers. The entries
		// after them may have been acknowledged and must not be removed.
		c.commitIndex = s.Index
		return
	}
	c.log.restore(s.Index, s.Term)
	c.memberships = membershipLog{{index: s.Index, value: s.Membership}}
	c.commitIndex = s.Index
	c.snapshot, c.pendingSnapshot = s, s
}

func (c *Core) handleAppendReply(m *wire.RaftMessage) {
	if !c.isActive(m.From) {
		return
	}
	p := c.progressOf(m.From)
	p.contactAt = c.now
	p.acked = max(p.acked, m.Sequence)
	p.stopping = m.Stopping
	if m.Reject {
		c.decrementNext(p, m)
		c.continueAppend(m.From, p)
		return
	}
	p.probing = false
	if m.LogIndex > p.match {
		p.match = m.LogIndex
		p.resendAt = c.now + c.cfg.ElectionTimeout
		c.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	if p.next <= c.log.lastIndex() && c.role == Leader {
		c.continueAppend(m.From, p)
	}
}

// decrementNext moves next back to the highest index at which the logs may still
// match, after a rejected append. Equal terms at one index prove that the logs
// match up to that index (Raft, 5.3).
func (c *Core) decrementNext(p *progress, m *wire.RaftMessage) {
	index := min(m.LogIndex, c.log.lastIndex())
	t, ok := c.log.term(index)
	for ok && index > p.match && t > m.LogTerm {
		index--
		t, ok = c.log.term(index)
	}
	p.probing = true
	if ok && index == m.LogIndex && t == m.LogTerm {
		p.match = max(p.match, index)
		p.probing = false
	}
	p.next = max(p.match, index) + 1
}

// continueAppend sends the next entries after a reply. While a snapshot is in
// flight it sends nothing: otherwise every reply would trigger another append,
// and every append another reply.
func (c *Core) continueAppend(id uint64, p *progress) {
	if _, ok := c.log.term(p.next - 1); !ok && c.now < p.snapshotAt {
		return
	}
	c.sendAppend(id, c.rounds.sequence)
}
