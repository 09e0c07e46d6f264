package consensus

import "parsleyramp/internal/wire"

// Effects lists the work that the caller must do, in the order of the fields.
type Effects struct {
	// EarlyMessages may be sent before anything is synced: a leader replicates
	// entries in parallel with its own disk write (Ongaro 2014, 10.2.1).
	EarlyMessages []*wire.RaftMessage
	// HardState must be synced. It is nil if the term and vote did not change.
	HardState *wire.HardState
	// Snapshot must be synced and then restored into the state machine. It
	// replaces the whole stored log.
	Snapshot *wire.Snapshot
	// Entries must be synced. If an entry with the index of the first one is
	// stored, they replace it and all entries after it.
	Entries []*wire.LogEntry
	// Messages must be sent only after all of the above is synced.
	Messages []*wire.RaftMessage
	// Committed holds the entries to apply to the state machine, in log order.
	Committed []*wire.LogEntry
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return e.HardState == nil && e.Snapshot == nil && len(e.Entries) == 0 && len(e.EarlyMessages) == 0 && len(e.Messages) == 0 && len(e.Committed) == 0
}

// Effects returns the pending work. The caller does it and then calls Persisted
// with the same value before it passes in any further event.
func (c *Core) Effects() Effects {
	var e Effects
	if h := c.hardState(); !sameHardState(h, c.savedHardState) || c.savesMembershipCommit(h) {
		e.HardState = h
	}
	e.Snapshot = c.pendingSnapshot
	from := max(c.log.stable, c.log.snapIndex) + 1
	if from <= c.log.lastIndex() {
		tail := c.log.entries[from-c.log.snapIndex-1:]
		e.Entries = tail[:len(tail):len(tail)]
	}
	e.Messages = c.messages
	if c.role == Leader && e.HardState == nil && e.Snapshot == nil {
		// Appends may overtake the sync: the term is already stored, and the
		// leader counts its own copy of an entry only once it is synced.
		e.EarlyMessages, e.Messages = splitAppends(c.messages)
	}
	c.messages = nil
	e.Committed = c.nextCommitted()
	return e
}

func splitAppends(messages []*wire.RaftMessage) (appends, others []*wire.RaftMessage) {
	for _, m := range messages {
		switch m.Type {
		case wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, wire.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
			appends = append(appends, m)
		default:
			others = append(others, m)
		}
	}
	return appends, others
}

// nextCommitted returns the committed entries that are not yet applied, up to
// the last one that this replica has synced. The rest follow in later Effects.
func (c *Core) nextCommitted() []*wire.LogEntry {
	upTo := min(c.commitIndex, c.log.stable)
	if c.pendingSnapshot != nil || upTo <= c.lastApplied {
		return nil
	}
	from := c.lastApplied - c.log.snapIndex
	to := upTo - c.log.snapIndex
	c.lastApplied = upTo
	return c.log.entries[from:to:to]
}

// Persisted reports that the hard state, snapshot and entries of e are synced.
func (c *Core) Persisted(e Effects) {
	if e.HardState != nil {
		c.savedHardState = e.HardState
	}
	if e.Snapshot != nil {
		c.pendingSnapshot = nil
		c.lastApplied = e.Snapshot.Index
	}
	if n := len(e.Entries); n > 0 {
		c.log.stable = max(c.log.stable, e.Entries[n-1].Index)
	}
	if c.role == Leader {
		c.progressOf(c.id).match = c.log.stable
		c.advanceCommit()
	}
}

// hardState returns the state to sync. Its commit index covers only entries that are
// synced, because a crash may separate it from later ones.
func (c *Core) hardState() *wire.HardState {
	return &wire.HardState{Term: c.term, Vote: c.votedFor, Commit: min(c.commitIndex, c.log.stable)}
}

// savesMembershipCommit reports whether h is the first hard state to show that the
// current membership is committed. A restarted replica that doesn't know it needs a
// quorum of the membership before, too, whose voters may be gone.
func (c *Core) savesMembershipCommit(h *wire.HardState) bool {
	index := c.memberships.currentIndex()
	return index > c.log.snapIndex && c.savedHardState.GetCommit() < index && h.Commit >= index
}

// sameHardState ignores the commit index: a restarted replica learns it from the
// leader, so a change of it alone needs no sync unless it concerns a membership.
func sameHardState(a, b *wire.HardState) bool {
	return a.Term == b.GetTerm() && a.Vote == b.GetVote()
}
