package revision

import (
	"maps"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

func newTable(compactedRevision uint64) *Table[string] {
	return NewTable(compactedRevision, func(a, b string) bool { return a == b })
}

// apply applies changes to a reader's copy. Values are KEY=NUMBER.
func apply(known map[string]string, c Changes[string]) map[string]string {
	out := map[string]string{}
	if !c.Full {
		maps.Copy(out, known)
	}
	for _, v := range c.Set {
		out[v[:1]] = v
	}
	for _, key := range c.Removed {
		delete(out, key)
	}
	return out
}

// TestChangesReproduceTable makes random changes and checks that a reader that
// knows any earlier revision, or none, reproduces the table from its changes.
func TestChangesReproduceTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const compactedRevision = 7
		table := newTable(compactedRevision)
		history := map[uint64]map[string]string{}
		current := map[string]string{}
		revision := uint64(compactedRevision)
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			next := maps.Clone(current)
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			if rapid.Bool().Draw(t, "remove") {
				delete(next, key)
			} else {
				next[key] = key + "=" + strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "value"))
			}
			if changed := table.Replace(next, revision+1); changed != !maps.Equal(next, current) {
				t.Fatalf("Replace from %v to %v returned changed=%v", current, next, changed)
			}
			if !maps.Equal(next, current) {
				revision++
			}
			current = next
			history[revision] = maps.Clone(current)
		}
		for known, copyAtRevision := range history {
			if got := apply(copyAtRevision, table.Since(known)); !maps.Equal(got, current) {
				t.Fatalf("a reader at revision %d has %v after its changes, want %v", known, got, current)
			}
		}
		for _, known := range []uint64{0, compactedRevision} {
			if got := apply(map[string]string{"z": "z=1"}, table.Since(known)); !maps.Equal(got, current) {
				t.Fatalf("a reader without a copy has %v after its changes, want %v", got, current)
			}
		}
	})
}

// TestReadersBeforeCompactionGetFullChanges removes more entries than the table
// retains removals.
func TestReadersBeforeCompactionGetFullChanges(t *testing.T) {
	table := newTable(0)
	table.Replace(map[string]string{"a": "a=1", "b": "b=1"}, 1)
	oldCopy := map[string]string{"a": "a=1", "b": "b=1"}
	table.Replace(map[string]string{"a": "a=1"}, 2)
	revision := uint64(2)
	for range maxRemovals + 1 {
		table.Replace(map[string]string{"a": "a=1", "c": "c=1"}, revision+1)
		table.Replace(map[string]string{"a": "a=1"}, revision+2)
		revision += 2
	}
	changes := table.Since(1)
	if got := apply(oldCopy, changes); len(got) != 1 || !changes.Full {
		t.Errorf("a reader before the compacted revision has %v after changes %+v", got, changes)
	}
	if table.Since(revision - 2).Full {
		t.Error("a reader at a revision whose removals are retained gets full changes")
	}
}
