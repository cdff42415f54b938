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

// The files of a voter's folder, beside the consensus library's snapshots.
const (
	IdentityFile = "voter.json"
	LogFile      = "log.db"
)

// Identity is what a voter's folder says of itself.
type Identity struct {
	Cluster string `json:"fleet"`
	Node    string `json:"node"`
	ID      string `json:"id"` // new for each folder: a node that comes back without its folder is another voter
}

// OpenIdentity reads the identity of a folder, or creates one in an empty folder. It never overwrites anything.
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

// createIdentity writes a new identity into a folder that has no log.
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

// writeAtomically writes a file so that, after a crash, either all of it is there or nothing.
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

// syncDir syncs a directory's own entries.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
