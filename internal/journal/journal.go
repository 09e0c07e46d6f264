// Package journal keeps a control replica's identity, log and snapshot in one
// data folder. A record counts only once it is synced. A broken record at the
// end of the log is an unfinished write and is cut; one in the middle is an
// error, for cutting there would lose synced records.
package journal

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

const (
	walName      = "log.wal"
	snapshotName = "state.snapshot"
	tempSuffix   = ".tmp"
	headerBytes  = 9
	// maxRecordBytes bounds one record, so that a damaged length is noticed.
	maxRecordBytes = 64 << 20
)

type recordKind byte

const (
	recordHardState recordKind = 1
	recordEntry     recordKind = 2
	recordSnapshot  recordKind = 3
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Recovered is what a data folder held when it was opened.
type Recovered struct {
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.LogEntry
	// CutBytes counts the bytes of an unfinished write that were removed.
	CutBytes int64
}

// Journal appends to the log of one data folder.
type Journal struct {
	dir  string
	wal  *os.File
	buf  []byte
	last *wire.HardState
}

// Open reads the folder, creating it where it does not exist, and cuts an
// unfinished write at the end of the log.
func Open(dir string) (*Journal, *Recovered, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, fail.Wrap(err, fail.StorageFailed, "create data folder")
	}
	r := &Recovered{HardState: &wire.HardState{}}
	if err := readSnapshot(filepath.Join(dir, snapshotName), r); err != nil {
		return nil, nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, walName), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, nil, fail.Wrap(err, fail.StorageFailed, "open log")
	}
	if err := recoverLog(f, r); err != nil {
		f.Close()
		return nil, nil, err
	}
	if err := syncDir(dir); err != nil {
		f.Close()
		return nil, nil, err
	}
	return &Journal{dir: dir, wal: f, last: r.HardState}, r, nil
}

// Save appends the hard state, where not nil, and the entries, and syncs.
func (j *Journal) Save(h *wire.HardState, entries []*wire.LogEntry) error {
	j.buf = j.buf[:0]
	if h != nil {
		j.last = h
		j.buf = appendRecord(j.buf, recordHardState, h)
	}
	for _, e := range entries {
		j.buf = appendRecord(j.buf, recordEntry, e)
	}
	if len(j.buf) == 0 {
		return nil
	}
	if _, err := j.wal.Write(j.buf); err != nil {
		return fail.Wrap(err, fail.StorageFailed, "write log")
	}
	if err := j.wal.Sync(); err != nil {
		return fail.Wrap(err, fail.StorageFailed, "sync log")
	}
	return nil
}

// SaveSnapshot replaces the stored snapshot and rewrites the log to hold the
// hard state and the entries that remain.
func (j *Journal) SaveSnapshot(s *wire.Snapshot, remaining []*wire.LogEntry) error {
	if err := j.replace(snapshotName, appendRecord(nil, recordSnapshot, s)); err != nil {
		return err
	}
	buf := appendRecord(nil, recordHardState, j.last)
	for _, e := range remaining {
		buf = appendRecord(buf, recordEntry, e)
	}
	if err := j.replace(walName, buf); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(j.dir, walName), os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "reopen log")
	}
	j.wal.Close()
	j.wal = f
	return nil
}

// Close closes the log.
func (j *Journal) Close() error { return j.wal.Close() }

// replace writes a file so that a crash leaves the old or the new content.
func (j *Journal) replace(name string, content []byte) error {
	return replaceFile(j.dir, name, content)
}

func replaceFile(dir, name string, content []byte) error {
	path := filepath.Join(dir, name)
	f, err := os.OpenFile(path+tempSuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "create "+name)
	}
	_, err = f.Write(content)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(path+tempSuffix, path)
	}
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "replace "+name)
	}
	return syncDir(dir)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "open data folder")
	}
	if err := errors.Join(d.Sync(), d.Close()); err != nil {
		return fail.Wrap(err, fail.StorageFailed, "sync data folder")
	}
	return nil
}

// appendRecord adds length, checksum, kind and payload. The checksum covers
// kind and payload.
func appendRecord(buf []byte, kind recordKind, m proto.Message) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf[start+8] = byte(kind)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		panic(err) // Only invalid UTF-8 can fail, and texts are kept as bytes.
	}
	binary.LittleEndian.PutUint32(buf[start:], uint32(len(buf)-start-headerBytes))
	binary.LittleEndian.PutUint32(buf[start+4:], crc32.Checksum(buf[start+8:], castagnoli))
	return buf
}

// errBroken marks a record that is cut off or fails its checksum.
var errBroken = fail.New(fail.CorruptJournal, "broken record")

// readRecord returns the kind, the payload and the record's size in bytes.
func readRecord(r io.Reader) (recordKind, []byte, int64, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return 0, nil, 0, io.EOF
		}
		return 0, nil, 0, errBroken
	}
	size := binary.LittleEndian.Uint32(header[:])
	if size > maxRecordBytes {
		return 0, nil, 0, errBroken
	}
	payload, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil || len(payload) != int(size) {
		return 0, nil, 0, errBroken
	}
	sum := crc32.Update(crc32.Checksum(header[8:], castagnoli), castagnoli, payload)
	if sum != binary.LittleEndian.Uint32(header[4:]) {
		return 0, nil, 0, errBroken
	}
	return recordKind(header[8]), payload, int64(headerBytes) + int64(size), nil
}

func readSnapshot(path string, r *Recovered) error {
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "read snapshot")
	}
	kind, payload, _, err := readRecord(bytes.NewReader(content))
	if err != nil || kind != recordSnapshot {
		return fail.New(fail.CorruptJournal, path+": the snapshot fails its checksum")
	}
	r.Snapshot = &wire.Snapshot{}
	if err := proto.Unmarshal(payload, r.Snapshot); err != nil {
		return fail.Wrap(err, fail.CorruptJournal, path)
	}
	return nil
}

// recoverLog reads every record, cuts a broken tail and leaves the file
// positioned for appending.
func recoverLog(f *os.File, r *Recovered) error {
	in := bufio.NewReaderSize(f, 1<<20)
	var offset int64
	for {
		kind, payload, size, err := readRecord(in)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return cutTail(f, offset, r)
		}
		if err := r.add(kind, payload); err != nil {
			return err
		}
		offset += size
	}
	_, err := f.Seek(offset, io.SeekStart)
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "seek log")
	}
	return nil
}

// cutTail removes a broken record that nothing valid follows.
func cutTail(f *os.File, offset int64, r *Recovered) error {
	tail, err := io.ReadAll(io.NewSectionReader(f, offset, 1<<62))
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "read log")
	}
	for i := 1; i+headerBytes < len(tail); i++ {
		if kind, _, _, err := readRecord(bytes.NewReader(tail[i:])); err == nil && kind >= recordHardState && kind <= recordSnapshot {
			return fail.New(fail.CorruptJournal, f.Name()+": a record in the middle fails its checksum")
		}
	}
	r.CutBytes = int64(len(tail))
	if err := errors.Join(f.Truncate(offset), f.Sync()); err != nil {
		return fail.Wrap(err, fail.StorageFailed, "cut log")
	}
	if _, err := f.Seek(offset, io.SeekStart); err != nil {
		return fail.Wrap(err, fail.StorageFailed, "seek log")
	}
	return nil
}

// add takes one record. Entries up to the snapshot are skipped; an entry that
// was written again replaces the old one and all that followed it.
func (r *Recovered) add(kind recordKind, payload []byte) error {
	switch kind {
	case recordHardState:
		h := &wire.HardState{}
		if err := proto.Unmarshal(payload, h); err != nil {
			return fail.Wrap(err, fail.CorruptJournal, "hard state")
		}
		r.HardState = h
		return nil
	case recordEntry:
		e := &wire.LogEntry{}
		if err := proto.Unmarshal(payload, e); err != nil {
			return fail.Wrap(err, fail.CorruptJournal, "log entry")
		}
		return r.addEntry(e)
	}
	return fail.New(fail.CorruptJournal, "unknown kind of record")
}

func (r *Recovered) addEntry(e *wire.LogEntry) error {
	first := r.Snapshot.GetIndex() + 1
	if e.Index < first {
		return nil
	}
	keep := e.Index - first
	if keep > uint64(len(r.Entries)) {
		return fail.New(fail.CorruptJournal, "a log entry is missing")
	}
	r.Entries = append(r.Entries[:keep], e)
	return nil
}
