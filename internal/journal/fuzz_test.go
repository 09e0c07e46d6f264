package journal

import (
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// FuzzOpen opens a folder whose log holds arbitrary bytes. If that succeeds, the
// folder must open again with the same content and nothing left to truncate, and
// accept new entries.
func FuzzOpen(f *testing.F) {
	f.Fuzz(func(t *testing.T, log []byte) {
		dir := t.TempDir()
		initial, _, err := Open(dir, newID)
		if err != nil {
			t.Fatal(err)
		}
		if err := initial.Close(); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, logName), log, 0o644); err != nil {
			t.Fatal(err)
		}
		j, first, err := Open(dir, newID)
		if err != nil {
			if fail.From(err).Code == fail.Internal {
				t.Fatalf("Open returned an error without a specific code: %v", err)
			}
			return
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		j, second, err := Open(dir, newID)
		if err != nil {
			t.Fatalf("second Open failed: %v", err)
		}
		if second.TruncatedBytes != 0 || !sameContent(first, second) {
			t.Fatalf("first Open recovered %d entries, second %d, truncating %d bytes", len(first.Entries), len(second.Entries), second.TruncatedBytes)
		}
		next := second.Snapshot.GetIndex() + uint64(len(second.Entries)) + 1
		term := max(1, second.HardState.Term, second.Snapshot.GetTerm())
		added := &wire.LogEntry{Index: next, Term: term, Data: []byte("added")}
		if err := j.Save(&wire.HardState{Term: term}, []*wire.LogEntry{added}); err != nil {
			t.Fatal(err)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		j, third, err := Open(dir, newID)
		if err != nil {
			t.Fatalf("Open after an append failed: %v", err)
		}
		defer j.Close()
		if n := len(third.Entries); n == 0 || !proto.Equal(third.Entries[n-1], added) {
			t.Fatal("the appended entry was not recovered")
		}
	})
}

func sameContent(a, b *Recovered) bool {
	if len(a.Entries) != len(b.Entries) || !proto.Equal(a.HardState, b.HardState) {
		return false
	}
	for i := range a.Entries {
		if !proto.Equal(a.Entries[i], b.Entries[i]) {
			return false
		}
	}
	return true
}
