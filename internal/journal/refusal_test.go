package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// refusingDisk is a disk that refuses the operations from the given one on. Of the first write that
// it refuses, it takes a prefix.
type refusingDisk struct {
	operations, from int
	prefix           float64
}

func (r *refusingDisk) refuses() bool {
	r.operations++
	return r.from > 0 && r.operations >= r.from
}

func (r *refusingDisk) disk() disk {
	d := systemDisk
	d.create = func(path string) (*os.File, error) {
		if r.refuses() {
			return nil, syscall.ENOSPC
		}
		return systemDisk.create(path)
	}
	d.write = func(f *os.File, content []byte) (int, error) {
		if !r.refuses() {
			return f.Write(content)
		}
		n := 0
		if r.operations == r.from {
			n, _ = f.Write(content[:int(r.prefix*float64(len(content)))])
		}
		return n, syscall.ENOSPC
	}
	d.sync = func(f *os.File) error {
		if r.refuses() {
			return syscall.EIO
		}
		return f.Sync()
	}
	d.rename = func(from, to string) error {
		if r.refuses() {
			return syscall.ENOSPC
		}
		return os.Rename(from, to)
	}
	d.syncFolder = func(dir string) error {
		if r.refuses() {
			return syscall.EIO
		}
		return syncFolder(dir)
	}
	return d
}

// writeAllKinds writes with each method, and returns the index of the last entry that was stored
// without an error and the first error.
func writeAllKinds(j *Journal) (stored uint64, err error) {
	for i := uint64(1); i <= 3 && err == nil; i++ {
		if err = j.Save(&wire.HardState{Term: i}, []*wire.LogEntry{{Index: i, Term: i, Data: make([]byte, 100)}}); err == nil {
			stored = i
		}
	}
	if err == nil {
		err = j.SetGroup("g")
	}
	if err == nil {
		err = j.SaveSnapshot(&wire.Snapshot{Index: 2, Term: 2}, nil, []*wire.LogEntry{{Index: 3, Term: 3}})
	}
	if err == nil {
		if err = j.Save(nil, []*wire.LogEntry{{Index: 4, Term: 3}}); err == nil {
			stored = 4
		}
	}
	return stored, err
}

// TestReopenAfterEachRefusedOperation guards against a folder that a refused operation leaves
// unusable, and against room that a temporary file keeps.
func TestReopenAfterEachRefusedOperation(t *testing.T) {
	refused := 0
	for from := 1; ; from++ {
		for _, prefix := range []float64{0, 0.01, 0.5, 0.99, 1} {
			r := &refusingDisk{from: from, prefix: prefix}
			dir := t.TempDir()
			name := fmt.Sprintf("refused from operation %d, prefix %v", from, prefix)
			j, _, err := openOn(r.disk(), dir, newID)
			stored, opened := uint64(0), err == nil
			if opened {
				stored, err = writeAllKinds(j)
			}
			if err == nil {
				if refused < 20 {
					t.Errorf("only %d operations were refused", refused)
				}
				j.Close()
				return
			}
			refused++
			if opened {
				if _, err := j.Reopen(); !fail.Is(err, fail.StorageFailed) {
					t.Fatalf("%s: Reopen returned %v while the disk refuses writes", name, err)
				}
			}
			if left, _ := filepath.Glob(filepath.Join(dir, "*"+tempSuffix)); len(left) > 0 {
				t.Errorf("%s: %v was not removed", name, left)
			}
			r.from = 0
			var got *Recovered
			if opened {
				got, err = j.Reopen()
			} else {
				j, got, err = openOn(r.disk(), dir, newID)
			}
			if err != nil {
				t.Fatalf("%s: %v once the disk takes writes", name, err)
			}
			last := got.Snapshot.GetIndex() + uint64(len(got.Entries))
			if last < stored || got.HardState.Term < min(stored, 3) {
				t.Errorf("%s: %+v, want at least the %d entries that were stored", name, got, stored)
			}
			if err := j.Save(&wire.HardState{Term: 9}, []*wire.LogEntry{{Index: last + 1, Term: 9}}); err != nil {
				t.Errorf("%s: write after Reopen: %v", name, err)
			}
			j.Close()
			j, got, err = Open(dir, newID)
			if err != nil || got.Snapshot.GetIndex()+uint64(len(got.Entries)) != last+1 {
				t.Fatalf("%s: %+v, %v after another start, want last index %d", name, got, err, last+1)
			}
			j.Close()
		}
	}
}

// TestReopenRefusesAnotherFolder guards against a replica that goes on in a folder that was emptied
// under it.
func TestReopenRefusesAnotherFolder(t *testing.T) {
	for _, other := range []string{"", `{"id": 99}`} {
		dir := t.TempDir()
		j, _, err := Open(dir, newID)
		if err != nil {
			t.Fatal(err)
		}
		defer j.Close()
		os.Remove(filepath.Join(dir, identityName))
		if other != "" {
			os.WriteFile(filepath.Join(dir, identityName), []byte(other), 0o600)
		}
		if _, err := j.Reopen(); !fail.Is(err, fail.ForeignFolder) {
			t.Errorf("identity %q: Reopen returned %v, want code %v", other, err, fail.ForeignFolder)
		}
		if err := j.Save(nil, []*wire.LogEntry{{Index: 1, Term: 1}}); err == nil {
			t.Errorf("identity %q: a write succeeded", other)
		}
	}
}
