package consensus

import "parsleyramp/internal/wire"

// Effects is what the caller has to do after events were passed in, in the
// order of the fields.
type Effects struct {
	// EarlyMessages messages may be sent before anything is synced: a leader's entries
	// travel while its own disk writes them (Ongaro 2014, 10.2.1).
	EarlyMessages []*wire.RaftMessage
	// HardState is to be synced; nil where it did not change.
	HardState *wire.HardState
	// Snapshot is to be synced and then restored into the state machine; it
	// replaces the log so far.
	Snapshot *wire.Snapshot
	// Entries are to be synced. The first one may replace a stored entry with
	// the same index, with all entries that follow it.
	Entries []*wire.LogEntry
	// Messages are to be sent once all of the above is synced.
	Messages []*wire.RaftMessage
	// Committed entries are to be applied in order.
	Committed []*wire.LogEntry
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return e.HardState == nil && e.Snapshot == nil && len(e.Entries) == 0 && len(e.EarlyMessages) == 0 && len(e.Messages) == 0 && len(e.Committed) == 0
}

// Effects returns what is to be done now. The caller does it and then calls
// Persisted with the same value before it passes in any further event.
func (c *Core) Effects() Effects {
	var e Effects
	if h := c.hardState(); !sameHardState(h, c.savedHardState) {
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
		// The term is stored, and the own copy is counted only once synced.
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

// nextCommitted returns the entries between the applied and the commit index
// that are synced here; later ones follow with the next effects.
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

// Persisted tells the core that the effects were synced.
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

func (c *Core) hardState() *wire.HardState {
	return &wire.HardState{Term: c.term, Vote: c.votedFor, Commit: c.commitIndex}
}

// sameHardState ignores the commit index: a replica learns it again from the
// leader, so it is not worth a sync of its own.
func sameHardState(a, b *wire.HardState) bool {
	return a.Term == b.GetTerm() && a.Vote == b.GetVote()
}
