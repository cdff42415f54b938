package voterstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/uuid"
)

// The files in the folder of a voter. The consensus library's snapshots are in the same folder.
const (
	IdentityFile = "voter.json"
	LogFile      = "log.db"
)

// Identity identifies the voter that a folder belongs to. It is stored in IdentityFile.
type Identity struct {
	Cluster string `json:"fleet"`
	Node    string `json:"node"`
	ID      string `json:"id"` // generated for each new folder, so a node that has lost its folder becomes a new voter
}

// OpenIdentity reads the identity in a folder, or creates one if the folder has neither an identity nor a log. It never overwrites
// an existing file. An identity of another cluster or node is an error.
func OpenIdentity(folder, cluster, node string) (identity Identity, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return identity, errFolderNotWritable(err)
	}
	path := filepath.Join(folder, IdentityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return createIdentity(folder, cluster, node)
	}
	if err != nil {
		return identity, fmt.Errorf("fleet.folder: %w", err)
	}
	if err := json.Unmarshal(data, &identity); err != nil || identity.ID == "" {
		return identity, fmt.Errorf("fleet.folder: %s can't be read: %w", path, errors.Join(err, errors.New("expected fleet, node and id")))
	}
	if identity.Cluster != cluster || identity.Node != node {
		return identity, fmt.Errorf("fleet.folder: %s is of node %q in fleet %q, not of node %q in fleet %q", folder, identity.Node,
			identity.Cluster, node, cluster)
	}
	return identity, nil
}

// createIdentity writes a new identity into a folder. A folder with a log is an error.
func createIdentity(folder, cluster, node string) (identity Identity, err error) {
	if _, err := os.Stat(filepath.Join(folder, LogFile)); err == nil {
		return identity, fmt.Errorf("fleet.folder: %s is missing beside %s: it is unknown which voter the log belongs to", IdentityFile, LogFile)
	}
	identity = Identity{Cluster: cluster, Node: node, ID: node + "." + uuid.NewString()[:8]}
	data, err := json.Marshal(identity)
	if err != nil {
		return identity, err
	}
	if err := writeAtomically(filepath.Join(folder, IdentityFile), data); err != nil {
		return identity, errFolderNotWritable(err)
	}
	return identity, nil
}

func errFolderNotWritable(err error) error {
	return fmt.Errorf("fleet.folder: expected a folder that can be written: %w", err)
}

// writeAtomically writes a file such that after a crash either the complete file exists or none.
func writeAtomically(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), "new-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// syncDir syncs the entries of a directory to disk, so that a renamed file is durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
