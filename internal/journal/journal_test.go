package journal

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// The seed is fixed, so that the tests are deterministic. Flags on the command
// line are parsed later and override these values.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "60")
	flag.Set("rapid.nofailfile", "true")
}

func newID() uint64 { return 7 }

// model is the expected content of a journal.
type model struct {
	hardState *wire.HardState
	snap      *wire.Snapshot
	entries   []*wire.LogEntry
}

func (m *model) save(t *rapid.T, j *Journal) {
	term := max(m.hardState.GetTerm(), 1) + uint64(rapid.IntRange(0, 1).Draw(t, "newTerm"))
	first := m.snap.GetIndex() + 1
	index := rapid.Uint64Range(first, first+uint64(len(m.entries))).Draw(t, "at")
	var batch []*wire.LogEntry
	for i := range rapid.Uint64Range(1, 4).Draw(t, "n") {
		batch = append(batch, &wire.LogEntry{Index: index + i, Term: term, Data: rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "data")})
	}
	h := &wire.HardState{Term: term}
	if err := j.Save(h, batch); err != nil {
		t.Fatal(err)
	}
	m.hardState, m.entries = h, append(slices.Clone(m.entries[:index-first]), batch...)
}

// saveSnapshot saves the replica's own snapshot of part of the log, or one from a
// leader, which replaces the whole log.
func (m *model) saveSnapshot(t *rapid.T, j *Journal) {
	s := &wire.Snapshot{Index: m.snap.GetIndex() + uint64(len(m.entries)) + 3, Term: m.hardState.GetTerm(), Data: []byte("state")}
	var rest []*wire.LogEntry
	if len(m.entries) > 0 && rapid.Bool().Draw(t, "own") {
		k := rapid.IntRange(1, len(m.entries)).Draw(t, "covered")
		s.Index, s.Term, rest = m.entries[k-1].Index, m.entries[k-1].Term, m.entries[k:]
	}
	if err := j.SaveSnapshot(s, nil, rest); err != nil {
		t.Fatal(err)
	}
	m.snap, m.entries = s, rest
}

func (m *model) equal(r *Recovered) bool {
	same := func(a, b *wire.LogEntry) bool { return proto.Equal(a, b) }
	return r.HardState.GetTerm() == m.hardState.GetTerm() && proto.Equal(r.Snapshot, m.snap) && slices.EqualFunc(r.Entries, m.entries, same)
}

// After a write that was truncated at any byte, or whose parts reached the disk in
// any order, the journal recovers the content synced before. A complete write is
// recovered whole. A corrupt byte before the last record is an error.
func TestTornAndCorruptRecords(t *testing.T) {
	root := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp(root, "")
		if err != nil {
			t.Fatal(err)
		}
		j, _, err := Open(dir, newID)
		if err != nil {
			t.Fatal(err)
		}
		var m model
		for range rapid.IntRange(0, 6).Draw(t, "saves") {
			if rapid.IntRange(0, 3).Draw(t, "op") == 0 {
				m.saveSnapshot(t, j)
			} else {
				m.save(t, j)
			}
		}
		path := filepath.Join(dir, logName)
		before := mustRead(t, path)
		old := m
		m.save(t, j)
		after := mustRead(t, path)
		j.Close()
		for n := len(before); n <= len(after); n++ {
			want := &old
			if n == len(after) {
				want = &m
			}
			mustRecover(t, dir, after[:n], want)
		}
		hole := rapid.IntRange(len(before), len(after)-1).Draw(t, "hole")
		torn := slices.Clone(after)
		clear(torn[hole:min(hole+8, len(after))])
		if !slices.Equal(torn, after) {
			mustRecover(t, dir, torn, &old)
		}
		flip := slices.Clone(after)
		flip[rapid.IntRange(0, len(before)-1).Draw(t, "flip")] ^= 0x10
		os.WriteFile(path, flip, 0o644)
		if j, _, err := Open(dir, newID); err == nil {
			j.Close()
			t.Fatal("Open accepted a corrupt record before the last one")
		}
	})
}

func mustRead(t *rapid.T, path string) []byte {
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func mustRecover(t *rapid.T, dir string, content []byte, want *model) {
	if err := os.WriteFile(filepath.Join(dir, logName), content, 0o644); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		j, r, err := Open(dir, newID)
		if err != nil {
			t.Fatalf("open a log of %d bytes: %v", len(content), err)
		}
		j.Close()
		if !want.equal(r) {
			t.Fatalf("log of %d bytes: recovered %v, want %v", len(content), r, want)
		}
	}
}

func requireOpenError(t *testing.T, dir string, want fail.Code) {
	t.Helper()
	j, _, err := Open(dir, newID)
	if err == nil {
		j.Close()
	}
	if !fail.Is(err, want) {
		t.Fatalf("Open returned %v, want code %v", err, want)
	}
}

func TestOpenRejectsUnusableFolders(t *testing.T) {
	filled := func(t *testing.T) string {
		dir := t.TempDir()
		j, _, err := Open(dir, newID)
		if err != nil {
			t.Fatal(err)
		}
		if err := j.SetGroup("g"); err != nil {
			t.Fatal(err)
		}
		j.Close()
		return dir
	}
	t.Run("foreign file", func(t *testing.T) {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, "ledger.db"), nil, 0o644)
		requireOpenError(t, dir, fail.ForeignFolder)
	})
	t.Run("another replica's log", func(t *testing.T) {
		dir := filled(t)
		systemDisk.saveIdentity(dir, Identity{ID: 8, Group: "g"})
		requireOpenError(t, dir, fail.ForeignFolder)
	})
	t.Run("log lost", func(t *testing.T) {
		dir := filled(t)
		os.Remove(filepath.Join(dir, logName))
		requireOpenError(t, dir, fail.CorruptJournal)
	})
	t.Run("identity lost", func(t *testing.T) {
		dir := filled(t)
		os.Remove(filepath.Join(dir, identityName))
		requireOpenError(t, dir, fail.ForeignFolder)
	})
	t.Run("folder is a file", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "x")
		os.WriteFile(path, nil, 0o644)
		requireOpenError(t, path, fail.StorageFailed)
	})
	t.Run("two processes", func(t *testing.T) {
		dir := filled(t)
		j, _, err := Open(dir, newID)
		if err != nil {
			t.Fatal(err)
		}
		defer j.Close()
		requireOpenError(t, dir, fail.StorageFailed)
	})
}

// A write to a full disk returns a typed error, and the next Open recovers what
// was synced before. No write may follow the torn one. A file size limit simulates
// the full disk.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	j, _, err := Open(dir, newID)
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Save(&wire.HardState{Term: 3}, []*wire.LogEntry{{Index: 1, Term: 3}}); err != nil {
		t.Fatal(err)
	}
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &old); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 4096, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	big := []*wire.LogEntry{{Index: 2, Term: 3, Data: make([]byte, 8192)}}
	saveErr := j.Save(nil, big)
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &old); err != nil {
		t.Fatal(err)
	}
	againErr := j.Save(nil, []*wire.LogEntry{{Index: 2, Term: 3}})
	snapErr := j.SaveSnapshot(&wire.Snapshot{Index: 1, Term: 3}, nil, nil)
	for _, err := range []error{saveErr, againErr, snapErr} {
		if !fail.Is(err, fail.StorageFailed) {
			t.Fatalf("write on or after a full disk returned %v, want code %v", err, fail.StorageFailed)
		}
	}
	j.Close()
	j, r, err := Open(dir, newID)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if r.HardState.Term != 3 || len(r.Entries) != 1 || r.TruncatedBytes == 0 {
		t.Fatalf("recovered %+v, want term 3, one entry and a truncated write", r)
	}
}

// TestFilesAreReadableByTheirOwnerOnly guards against other users who read what is stored, such
// as keys in documents, also in a folder that an earlier build created.
func TestFilesAreReadableByTheirOwnerOnly(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	for _, before := range []string{"new", "of an earlier build"} {
		j, _, err := Open(dir, newID)
		if err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(dir); err != nil || before == "new" && info.Mode().Perm() != 0o700 {
			t.Errorf("mode %v of a folder, %v, want 0700", info.Mode(), err)
		}
		info, err := os.Stat(filepath.Join(dir, logName))
		if err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("folder %s: mode %v of the log, %v, want 0600", before, info.Mode(), err)
		}
		j.Close()
		leftover := filepath.Join(dir, logName+tempSuffix)
		if err := os.WriteFile(leftover, nil, 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.Chmod(filepath.Join(dir, logName), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// TestNewDataFolderIsSyncedInItsParents guards against a power loss that removes the folder
// with all that was synced in it.
func TestNewDataFolderIsSyncedInItsParents(t *testing.T) {
	root := t.TempDir()
	dir := filepath.Join(root, "a", "b")
	var synced []string
	record := func(dir string) error {
		synced = append(synced, dir)
		return nil
	}
	for range 2 {
		if err := createFolder(dir, record); err != nil {
			t.Fatal(err)
		}
	}
	if want := []string{root, filepath.Join(root, "a")}; !slices.Equal(synced, want) {
		t.Errorf("synced %v, want %v", synced, want)
	}
}
