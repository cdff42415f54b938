package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"go.etcd.io/bbolt"
)

// What a voter's folder holds, beside the library's snapshots.
const (
	identityFile      = "voter.json"
	logFile           = "log.db"
	retainedSnapshots = 2
)

const logOpenTimeout = time.Second // for a log that another process may still have open

// voterIdentity is what a voter's folder says of itself.
type voterIdentity struct {
	Cluster string `json:"fleet"`
	Node    string `json:"node"`
	ID      string `json:"id"` // new for each folder: a node that comes back without its folder is another voter
}

// openIdentity reads the identity of a folder, or creates one in an empty folder. It never overwrites anything.
func openIdentity(folder, cluster, node string) (identity voterIdentity, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return identity, errFolderNotWritable(err)
	}
	path := filepath.Join(folder, identityFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return createIdentity(folder, cluster, node)
	}
	if err != nil {
		return identity, fmt.Errorf("fleet.folder: %w", err)
	}
	if err := json.Unmarshal(text, &identity); err != nil || identity.ID == "" {
		return identity, fmt.Errorf("fleet.folder: %s can't be read: %w", path, errors.Join(err, errors.New("expected fleet, node and id")))
	}
	if identity.Cluster != cluster || identity.Node != node {
		return identity, fmt.Errorf("fleet.folder: %s is of node %q in fleet %q, not of node %q in fleet %q", folder, identity.Node,
			identity.Cluster, node, cluster)
	}
	return identity, nil
}

// createIdentity writes a new identity into a folder that has no log.
func createIdentity(folder, cluster, node string) (identity voterIdentity, err error) {
	if _, err := os.Stat(filepath.Join(folder, logFile)); err == nil {
		return identity, fmt.Errorf("fleet.folder: %s is missing beside %s: it is unknown which voter the log belongs to", identityFile, logFile)
	}
	identity = voterIdentity{Cluster: cluster, Node: node, ID: node + "." + uuid.NewString()[:8]}
	text, err := json.Marshal(identity)
	if err != nil {
		return identity, err
	}
	if err := writeAtomically(filepath.Join(folder, identityFile), text); err != nil {
		return identity, errFolderNotWritable(err)
	}
	return identity, nil
}

func errFolderNotWritable(err error) error {
	return fmt.Errorf("fleet.folder: expected a folder that can be written: %w", err)
}

// writeAtomically writes a file so that, after a crash, either all of it is there or nothing.
func writeAtomically(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), "new-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

// syncDirectory syncs a directory's own entries.
func syncDirectory(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// checkLog reads all of a log, so that a truncated or corrupted one is found here and not by the library, which ends the
// process over it. A log that doesn't exist is no error.
func checkLog(path string) (err error) {
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a mapped file that is too short faults
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("fleet.folder: %s is damaged: %v", path, r)
		}
	}()
	// With the free list: the library reads it only when a log is opened for writing, and panics if it is corrupted.
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, PreLoadFreelist: true, Timeout: logOpenTimeout})
	if err != nil {
		return fmt.Errorf("fleet.folder: %s is damaged or in use: %w", path, err)
	}
	defer db.Close()
	return db.View(readAllPages)
}

func readAllPages(tx *bbolt.Tx) error {
	return tx.ForEach(func(_ []byte, bucket *bbolt.Bucket) error {
		sum := 0
		return bucket.ForEach(func(_, value []byte) error {
			for _, b := range value {
				sum += int(b) // touches each byte
			}
			return nil
		})
	})
}
