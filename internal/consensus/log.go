package consensus

import "parsleyramp/internal/wire"

// entryLog holds the entries of the replicated log after snapIndex. The entries
// up to and including snapIndex are covered by a snapshot.
type entryLog struct {
	snapIndex uint64
	snapTerm  uint64
	entries   []*wire.LogEntry
	// stable is the last index that the caller has synced.
	stable uint64
}

func (l *entryLog) lastIndex() uint64 { return l.snapIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, and false if the entry is
// compacted or beyond the end of the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapIndex:
		return l.snapTerm, true
	case index < l.snapIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.snapIndex-1].Term, true
}

// slice returns the entries starting at from, at most max of them and at most
// maxBytes of data, but at least one if from is in the log.
func (l *entryLog) slice(from uint64, max, maxBytes int) []*wire.LogEntry {
	if from <= l.snapIndex || from > l.lastIndex() {
		return nil
	}
	tail := l.entries[from-l.snapIndex-1:]
	size := 0
	for i, e := range tail {
		size += len(e.Data)
		if i > 0 && (i >= max || size > maxBytes) {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

func (l *entryLog) append(e *wire.LogEntry) { l.entries = append(l.entries, e) }

// merge adds the entries of an append whose previous entry matches. An existing
// entry that conflicts with a new one is removed together with all entries after
// it. merge returns the index of the first entry that changed, or zero.
func (l *entryLog) merge(entries []*wire.LogEntry) uint64 {
	for i, e := range entries {
		if e.Index <= l.snapIndex {
			continue
		}
		t, ok := l.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		prefixLen := e.Index - l.snapIndex - 1
		if prefixLen < uint64(len(l.entries)) {
			// Slices returned earlier share the backing array, so the capacity
			// is limited and append allocates a new one.
			l.entries = l.entries[:prefixLen:prefixLen]
		}
		l.entries = append(l.entries, entries[i:]...)
		l.stable = min(l.stable, e.Index-1)
		return e.Index
	}
	return 0
}

// compact discards the entries up to and including index, which a snapshot covers.
func (l *entryLog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index <= l.snapIndex {
		return
	}
	rest := l.entries[index-l.snapIndex:]
	l.entries = append([]*wire.LogEntry(nil), rest...)
	l.snapIndex, l.snapTerm = index, t
}

// tailStart returns the lowest index such that the entries from it up to last
// number at most maxEntries and hold at most maxBytes of data.
func (l *entryLog) tailStart(last, maxEntries uint64, maxBytes int) uint64 {
	from := last + 1
	size := 0
	for from > l.snapIndex+1 && last+1-from < maxEntries {
		size += len(l.entries[from-l.snapIndex-2].Data)
		if size > maxBytes {
			break
		}
		from--
	}
	return from
}

// restore discards the log and continues it after a snapshot.
func (l *entryLog) restore(index, term uint64) {
	l.snapIndex, l.snapTerm = index, term
	l.entries = nil
	l.stable = index
}
