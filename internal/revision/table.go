// Package revision keeps tables whose changes are numbered, so that a reader
// who knows the table as of one revision is told only what has changed since.
// It does no I/O and is not safe for concurrent use.
package revision

import (
	"cmp"
	"slices"
)

// maxRemoved is how many removals a table remembers. Readers whose revision is
// older than the oldest of them are told everything.
const maxRemovals = 512

// Table maps keys to values. Revisions are the caller's and must grow; several
// tables may share them.
type Table[V any] struct {
	equal   func(a, b V) bool
	entries map[string]entry[V]
	// removed holds removals in the order of their revisions.
	removed []removal
	// floor is the oldest revision from which changes can be told.
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

// Changes lead from the table as of one revision to the table as it is.
type Changes[V any] struct {
	// Full is set where Set holds every entry and no other one remains.
	Full    bool
	Set     []V
	Removed []string
}

// NewTable returns an empty table. No reader knows a revision of it up to floor.
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

// forget drops the oldest removals beyond the bound.
func (t *Table[V]) compact() {
	if over := len(t.removed) - maxRemovals; over > 0 {
		t.compactedRevision = t.removed[over-1].revision
		t.removed = slices.Clone(t.removed[over:])
	}
}

// Keys returns the keys in order.
func (t *Table[V]) Keys() []string {
	out := make([]string, 0, len(t.entries))
	for key := range t.entries {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// Since returns what a reader that knows the table as of the revision must be
// told.
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
