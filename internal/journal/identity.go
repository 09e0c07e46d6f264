package journal

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"parsleyramp/internal/fail"
)

const identityName = "identity.json"

// Identity names a replica for as long as its data folder exists. A folder
// that was emptied gets a new one, so that a replica never votes twice under
// one identity.
type Identity struct {
	ID uint64 `json:"id"`
	// Group is empty until the replica belongs to one.
	Group string `json:"group"`
}

// LoadIdentity returns the folder's identity, and creates one with newID
// where the folder holds none. A folder with a log and no identity is foreign.
func LoadIdentity(dir string, newID func() uint64) (Identity, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Identity{}, fail.Wrap(err, fail.StorageFailed, "create data folder")
	}
	content, err := os.ReadFile(filepath.Join(dir, identityName))
	if errors.Is(err, os.ErrNotExist) {
		if _, err := os.Stat(filepath.Join(dir, walName)); err == nil {
			return Identity{}, fail.New(fail.ForeignFolder, dir+" holds a log without "+identityName)
		}
		id := Identity{ID: newID()}
		return id, SaveIdentity(dir, id)
	}
	if err != nil {
		return Identity{}, fail.Wrap(err, fail.StorageFailed, "read identity")
	}
	var id Identity
	if err := json.Unmarshal(content, &id); err != nil || id.ID == 0 {
		return Identity{}, fail.New(fail.ForeignFolder, dir+"/"+identityName+" is not a replica's identity")
	}
	return id, nil
}

// SaveIdentity replaces the identity.
func SaveIdentity(dir string, id Identity) error {
	content, err := json.Marshal(id)
	if err != nil {
		return fail.Wrap(err, fail.Internal, "encode identity")
	}
	return replaceFile(dir, identityName, content)
}
