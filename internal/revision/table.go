// Package revision implements tables whose changes carry revisions, so that a
// reader that knows the table as of one revision is sent only what has changed
// since. It does no I/O and is not safe for concurrent use.
package revision

import (
	"cmp"
	"slices"
)

// maxRemovals is the number of removals that a table retains. Readers whose
// revision is older than the oldest of them are sent the full table.
const maxRemovals = 512

// Table maps keys to values. The caller passes the revisions, which must
// increase; several tables may share them.
type Table[V any] struct {
	equal   func(a, b V) bool
	entries map[string]entry[V]
	// removed holds removals in the order of their revisions.
	removed []removal
	// compactedRevision is the newest revision whose removals may have been
	// dropped. Readers at or before it are sent the full table.
	compactedRevision uint64
}

type entry[V any] struct {
	value    V
	revision uint64
}

type removal struct {
	key      string
	revision uint64
}

// Changes turn a copy of the table as of one revision into a copy of the current
// table.
type Changes[V any] struct {
	// Full is set if Set holds every entry, and all others are to be dropped.
	Full    bool
	Set     []V
	Removed []string
}

// NewTable returns an empty table. Readers with a revision up to
// compactedRevision have no copy of it and are sent the full table.
func NewTable[V any](compactedRevision uint64, equal func(a, b V) bool) *Table[V] {
	return &Table[V]{equal: equal, entries: map[string]entry[V]{}, compactedRevision: compactedRevision}
}

// Put sets one value at the revision and reports whether that changes the table.
func (t *Table[V]) Put(key string, value V, revision uint64) bool {
	if old, ok := t.entries[key]; ok && t.equal(old.value, value) {
		return false
	}
	t.entries[key] = entry[V]{value: value, revision: revision}
	return true
}

// Replace makes the table equal to values at the revision and reports whether
// that changes it.
func (t *Table[V]) Replace(values map[string]V, revision uint64) bool {
	changed := false
	for key, value := range values {
		changed = t.Put(key, value, revision) || changed
	}
	for _, key := range t.Keys() {
		if _, ok := values[key]; !ok {
			delete(t.entries, key)
			t.removed = append(t.removed, removal{key: key, revision: revision})
			changed = true
		}
	}
	t.compact()
	return changed
}

// compact drops the oldest removals beyond maxRemovals.
func (t *Table[V]) compact() {
	if over := len(t.removed) - maxRemovals; over > 0 {
		t.compactedRevision = t.removed[over-1].revision
		t.removed = slices.Clone(t.removed[over:])
	}
}

// Keys returns the keys in ascending order.
func (t *Table[V]) Keys() []string {
	out := make([]string, 0, len(t.entries))
	for key := range t.entries {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// Since returns the changes for a reader that knows the table as of the
// revision.
func (t *Table[V]) Since(revision uint64) Changes[V] {
	out := Changes[V]{Full: revision <= t.compactedRevision}
	for _, key := range t.Keys() {
		if e := t.entries[key]; out.Full || e.revision > revision {
			out.Set = append(out.Set, e.value)
		}
	}
	if out.Full {
		return out
	}
	from, _ := slices.BinarySearchFunc(t.removed, revision+1, func(r removal, at uint64) int { return cmp.Compare(r.revision, at) })
	for _, r := range t.removed[from:] {
		if _, ok := t.entries[r.key]; !ok {
			out.Removed = append(out.Removed, r.key)
		}
	}
	return out
}
