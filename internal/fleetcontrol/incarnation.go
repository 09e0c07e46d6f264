package fleetcontrol

import "github.com/sirupsen/logrus"

// incarnation tells a statement about an engine from those of its earlier and later
// processes under the same id.
type incarnation int

const (
	currentIncarnation incarnation = iota
	// earlierIncarnation is that of a process that has ended.
	earlierIncarnation
	// nextIncarnation is that of a process that this leader did not know yet.
	nextIncarnation
)

// observeStart compares the start that a statement names with the newest one known. If the
// process is a new one, it forgets what was known of the former: the new one holds nothing
// of it, and its sequence begins anew. e.leader.mu must be held.
func (e *engineState) observeStart(startedUnixMs int64) incarnation {
	switch {
	case startedUnixMs == 0 || startedUnixMs == e.startedUnixMs:
		return currentIncarnation
	case e.startedUnixMs == 0:
		e.startedUnixMs = startedUnixMs
		return currentIncarnation
	case startedUnixMs < e.startedUnixMs:
		return earlierIncarnation
	}
	e.startedUnixMs = startedUnixMs
	e.held, e.cached = nil, nil
	e.version.restart(e.leader.s.clock())
	e.sequence, e.sequenceKnown, e.shownSequence, e.unresolved = 0, false, 0, nil
	e.crashedUntil, e.restartedAt = 0, e.leader.s.clock()
	e.awaitingEffect, e.foreignOrder, e.statesLeaving = false, false, false
	clear(e.loadingAdapters)
	clear(e.unloadingAdapters)
	e.leader.suspects.Restarted(e.listed.ID)
	e.leader.limits.book.Restart(e.listed.ID, e.leader.s.clock())
	delete(e.leader.limits.buckets, e.listed.ID)
	e.leader.s.log.WithFields(logrus.Fields{"endpoint": e.listed.ID, "started_unix_ms": startedUnixMs}).Info("endpoint has started again under its id")
	return nextIncarnation
}
