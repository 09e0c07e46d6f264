package journal

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"parsleyramp/internal/fail"
)

const (
	identityName = "identity.json"
	lockName     = "lock"
	logName      = "replica.log"
	tempSuffix   = ".tmp"
)

// disk holds the operations of which a disk that is full or faulty refuses some.
type disk struct {
	// create creates or empties a file.
	create     func(path string) (*os.File, error)
	write      func(f *os.File, content []byte) (int, error)
	sync       func(f *os.File) error
	rename     func(from, to string) error
	syncFolder func(dir string) error
}

var systemDisk = disk{
	create: func(path string) (*os.File, error) {
		return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	},
	write:      (*os.File).Write,
	sync:       (*os.File).Sync,
	rename:     os.Rename,
	syncFolder: syncFolder,
}

// Identity identifies a replica for the lifetime of its data folder. An emptied
// folder gets a new identity: a replica that lost its stored vote must not vote
// again under the same id.
type Identity struct {
	ID uint64 `json:"id"`
	// Group is the replica group, empty until the replica joins one.
	Group string `json:"group"`
}

// ErrLocked is wrapped by the error of Open while another process uses the data folder.
var ErrLocked = errors.New("the data folder is locked")

// lockFolder creates the folder if needed and locks it against other processes.
// Closing the returned file releases the lock.
func lockFolder(dir string) (*os.File, error) {
	if err := createFolder(dir, syncFolder); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fail.Wrap(err, fail.StorageFailed, "open lock file of data folder")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fail.Wrap(errors.Join(ErrLocked, err), fail.StorageFailed, "another process uses the data folder "+dir)
	}
	return f, nil
}

// createFolder creates the folder and its parents if they don't exist. It syncs the parent
// of each that it creates, without which a power loss may remove the folder with all
// that was synced in it.
func createFolder(dir string, syncDir func(string) error) error {
	if _, err := os.Stat(dir); !errors.Is(err, os.ErrNotExist) {
		// Opening the lock file reports any other error.
		return nil
	}
	parent := filepath.Dir(dir)
	if err := createFolder(parent, syncDir); err != nil {
		return err
	}
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return fail.Wrap(err, fail.StorageFailed, "create data folder")
	}
	if err := syncDir(parent); err != nil {
		// The next attempt must sync it.
		os.Remove(dir)
		return err
	}
	return nil
}

// loadIdentity returns the folder's identity. In an empty folder it creates one
// with newID; a folder that holds other files and no identity is rejected.
func (d disk) loadIdentity(dir string, newID func() uint64) (Identity, error) {
	id, err := readIdentity(dir)
	if !errors.Is(err, os.ErrNotExist) {
		return id, err
	}
	if err := checkEmpty(dir); err != nil {
		return Identity{}, err
	}
	id = Identity{ID: newID()}
	return id, d.saveIdentity(dir, id)
}

// readIdentity returns the folder's identity, or an error that wraps os.ErrNotExist if it
// has none.
func readIdentity(dir string) (Identity, error) {
	content, err := os.ReadFile(filepath.Join(dir, identityName))
	if err != nil {
		return Identity{}, fail.Wrap(err, fail.StorageFailed, "read identity")
	}
	var id Identity
	if err := json.Unmarshal(content, &id); err != nil || id.ID == 0 {
		return Identity{}, fail.New(fail.ForeignFolder, dir+"/"+identityName+" is not a valid replica identity")
	}
	return id, nil
}

// checkEmpty rejects a folder with unknown files. It allows the files that a new
// file system contains and those that a crash during the first start leaves.
func checkEmpty(dir string) error {
	allowed := []string{lockName, identityName + tempSuffix, "lost+found"}
	files, err := os.ReadDir(dir)
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "read data folder")
	}
	for _, f := range files {
		if !slices.Contains(allowed, f.Name()) {
			return fail.New(fail.ForeignFolder, dir+" contains "+f.Name()+" but no "+identityName+"; use an empty folder")
		}
	}
	return nil
}

func (d disk) saveIdentity(dir string, id Identity) error {
	content, err := json.Marshal(id)
	if err != nil {
		return fail.Wrap(err, fail.Internal, "encode identity")
	}
	return d.replaceFile(dir, identityName, content)
}

// replaceFile replaces a file atomically: after a crash it holds either the old
// or the new content.
func (d disk) replaceFile(dir, name string, content []byte) error {
	path := filepath.Join(dir, name)
	f, err := d.create(path + tempSuffix)
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "create "+name)
	}
	// A temporary file that a crash left has the permissions that it was created with.
	err = f.Chmod(0o600)
	if err == nil {
		err = d.writeAll(f, content)
	}
	if err == nil {
		err = d.sync(f)
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = d.rename(path+tempSuffix, path)
	}
	if err != nil {
		os.Remove(path + tempSuffix)
		return fail.Wrap(err, fail.StorageFailed, "replace "+name)
	}
	return d.syncFolder(dir)
}

// writeAll writes the content. Its error names the bytes that were written.
func (d disk) writeAll(f *os.File, content []byte) error {
	if n, err := d.write(f, content); err != nil {
		return fmt.Errorf("%d of %d bytes written: %w", n, len(content), err)
	}
	return nil
}

func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "open folder "+dir)
	}
	if err := errors.Join(d.Sync(), d.Close()); err != nil {
		return fail.Wrap(err, fail.StorageFailed, "sync folder "+dir)
	}
	return nil
}
