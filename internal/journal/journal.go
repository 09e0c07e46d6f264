// Package journal stores the identity, snapshot and log of a control replica in
// one data folder, which it locks. Snapshot and log share one file, so that they
// change together.
//
// A record is durable only once it is synced. A corrupt record at the end of the
// file is an incomplete write and is truncated. A corrupt record that a valid one
// follows is an error, because truncation would lose synced records.
package journal

import (
	"errors"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// formatVersion is the version of the record format, stored in the header.
const formatVersion = 1

// Recovered is the content of a data folder when it was opened.
type Recovered struct {
	Identity  Identity
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.LogEntry
	// TruncatedBytes is the size of an incomplete write that was truncated.
	TruncatedBytes int
}

// Journal appends to the log in one data folder. After a failed write all further
// writes fail, because the content of the disk is unknown, until Reopen succeeds.
type Journal struct {
	dir       string
	disk      disk
	lock      *os.File
	log       *os.File
	identity  Identity
	sequence  uint64
	buf       []byte
	hardState *wire.HardState
	writeErr  error
}

// Open locks and reads the data folder, which it creates if it does not exist. It
// rewrites the whole log before it returns, so that the recovered state is durable
// even if an earlier sync failed.
func Open(dir string, newID func() uint64) (*Journal, *Recovered, error) {
	return openOn(systemDisk, dir, newID)
}

func openOn(d disk, dir string, newID func() uint64) (*Journal, *Recovered, error) {
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, nil, err
	}
	j := &Journal{dir: dir, disk: d, lock: lock}
	r, err := j.open(newID)
	if err != nil {
		j.Close()
		return nil, nil, err
	}
	return j, r, nil
}

func (j *Journal) open(newID func() uint64) (*Recovered, error) {
	identity, err := j.disk.loadIdentity(j.dir, newID)
	if err != nil {
		return nil, err
	}
	j.identity = identity
	return j.recover(identity)
}

// Reopen does what Open does, in the folder that is locked already: it reads the log
// that a failed write has left and rewrites it. Writes fail until it succeeds. It may be
// called concurrently with SetGroup, but not with Save or SaveSnapshot. A folder
// that was emptied or replaced meanwhile has the code foreign_folder.
func (j *Journal) Reopen() (*Recovered, error) {
	identity, err := readIdentity(j.dir)
	switch {
	case errors.Is(err, os.ErrNotExist) || err == nil && identity.ID != j.identity.ID:
		err = fail.New(fail.ForeignFolder, "the replica's identity in "+j.dir+" was removed or replaced")
	case err == nil:
		var r *Recovered
		if r, err = j.recover(identity); err == nil {
			j.writeErr = nil
			return r, nil
		}
	}
	j.writeErr = err
	return nil, err
}

func (j *Journal) recover(identity Identity) (*Recovered, error) {
	r := &Recovered{Identity: identity, HardState: &wire.HardState{}}
	path := filepath.Join(j.dir, logName)
	content, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist) && identity.Group != "":
		return nil, fail.New(fail.CorruptJournal, path+" is missing, but the replica belongs to a group; empty the folder and replace the replica")
	case err != nil && !errors.Is(err, os.ErrNotExist):
		return nil, fail.Wrap(err, fail.StorageFailed, "read log")
	case err == nil:
		if err := r.read(path, content); err != nil {
			return nil, err
		}
	}
	j.hardState = r.HardState
	if err := j.rewrite(r.Snapshot, r.Entries); err != nil {
		return nil, err
	}
	return r, nil
}

// read applies all records of the log and checks that they are consistent.
func (r *Recovered) read(path string, content []byte) error {
	payload, sequence, ok := readFrame(content)
	var header wire.JournalHeader
	if !ok || sequence != 0 || proto.Unmarshal(payload, &header) != nil || header.Format != formatVersion {
		return fail.New(fail.CorruptJournal, path+" does not start with a valid journal header")
	}
	if header.ReplicaId != r.Identity.ID {
		return fail.New(fail.ForeignFolder, path+" belongs to a different replica than "+identityName)
	}
	for next := uint64(1); ; next++ {
		content = content[headerBytes+len(payload):]
		if len(content) == 0 {
			break
		}
		payload, sequence, ok = readFrame(content)
		// The first record was written atomically with the header, so only a later
		// one can be an incomplete write.
		if !ok && next > 1 && !findFrame(content, next) {
			r.TruncatedBytes = len(content)
			break
		}
		if !ok || sequence != next {
			return fail.New(fail.CorruptJournal, path+": a record is corrupt or out of sequence")
		}
		if err := r.applyBatch(payload); err != nil {
			return err
		}
	}
	return r.checkTerms(path)
}

// applyBatch applies one record. An entry with the index of an earlier one replaces
// that one and all entries after it. An entry that leaves a gap, or that the
// snapshot already covers, is an error.
func (r *Recovered) applyBatch(payload []byte) error {
	var b wire.JournalBatch
	if err := proto.Unmarshal(payload, &b); err != nil {
		return fail.Wrap(err, fail.CorruptJournal, "decode journal")
	}
	if b.Snapshot != nil {
		r.Snapshot, r.Entries = b.Snapshot, nil
	}
	if b.HardState != nil {
		r.HardState = b.HardState
	}
	for _, e := range b.Entries {
		first := r.Snapshot.GetIndex() + 1
		if e.Index < first || e.Index-first > uint64(len(r.Entries)) {
			return fail.New(fail.CorruptJournal, "log entries are not contiguous")
		}
		r.Entries = append(r.Entries[:e.Index-first], e)
	}
	return nil
}

// checkTerms rejects a log whose terms decrease or exceed the stored term.
func (r *Recovered) checkTerms(path string) error {
	term := r.Snapshot.GetTerm()
	for _, e := range r.Entries {
		if e.Term < term {
			return fail.New(fail.CorruptJournal, path+": the terms of the log entries decrease")
		}
		term = e.Term
	}
	if len(r.Entries) > 0 && term > r.HardState.Term {
		return fail.New(fail.CorruptJournal, path+": the last log entry has a higher term than the stored hard state")
	}
	return nil
}

// Identity returns the identity that was stored when the folder was opened.
func (j *Journal) Identity() Identity { return j.identity }

// Folder returns the path of the data folder.
func (j *Journal) Folder() string { return j.dir }

// SetGroup stores the group that the replica belongs to. It may be called
// concurrently with Save and SaveSnapshot.
func (j *Journal) SetGroup(group string) error {
	return j.disk.saveIdentity(j.dir, Identity{ID: j.identity.ID, Group: group})
}

// Save appends the hard state, unless it is nil, and the entries, and syncs the log.
func (j *Journal) Save(h *wire.HardState, entries []*wire.LogEntry) error {
	if h == nil && len(entries) == 0 {
		return nil
	}
	if j.writeErr != nil {
		return j.writeErr
	}
	j.writeErr = j.append(&wire.JournalBatch{HardState: h, Entries: entries})
	if h != nil {
		j.hardState = h
	}
	return j.writeErr
}

func (j *Journal) append(b *wire.JournalBatch) error {
	buf, err := appendFrame(j.buf[:0], j.sequence+1, b)
	if err != nil {
		return fail.Wrap(err, fail.Internal, "encode journal")
	}
	j.buf = buf
	if cap(buf) > maxRetainedBufferBytes {
		j.buf = nil
	}
	if err := j.disk.writeAll(j.log, buf); err != nil {
		return fail.Wrap(err, fail.StorageFailed, "write log")
	}
	if err := j.disk.sync(j.log); err != nil {
		return fail.Wrap(err, fail.StorageFailed, "sync log")
	}
	j.sequence++
	return nil
}

// maxRetainedBufferBytes limits the buffer retained between two writes.
const maxRetainedBufferBytes = 1 << 20

// SaveSnapshot atomically replaces the stored snapshot and log by the snapshot, the
// hard state, unless it is nil, and the remaining entries.
func (j *Journal) SaveSnapshot(s *wire.Snapshot, h *wire.HardState, remaining []*wire.LogEntry) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	if h != nil {
		j.hardState = h
	}
	j.writeErr = j.rewrite(s, remaining)
	return j.writeErr
}

// rewrite atomically replaces the log file.
func (j *Journal) rewrite(s *wire.Snapshot, entries []*wire.LogEntry) error {
	buf, err := appendFrame(nil, 0, &wire.JournalHeader{ReplicaId: j.identity.ID, Format: formatVersion})
	if err == nil {
		buf, err = appendFrame(buf, 1, &wire.JournalBatch{Snapshot: s, HardState: j.hardState, Entries: entries})
	}
	if err != nil {
		return fail.Wrap(err, fail.Internal, "encode journal")
	}
	if err := j.disk.replaceFile(j.dir, logName, buf); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(j.dir, logName), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "open log")
	}
	if j.log != nil {
		j.log.Close()
	}
	j.log, j.sequence = f, 1
	return nil
}

// Close closes the log and unlocks the folder.
func (j *Journal) Close() error {
	var err error
	if j.log != nil {
		err = j.log.Close()
	}
	return errors.Join(err, j.lock.Close())
}
