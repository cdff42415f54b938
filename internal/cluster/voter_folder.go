package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/raft"
	raftbolt "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

const (
	identityFile      = "voter.json"
	logFile           = "log.db"
	openTimeout       = time.Second // another process may still have it
	retainedSnapshots = 2
)

// voterIdentity is what a voter's folder says of itself.
type voterIdentity struct {
	Cluster string `json:"fleet"`
	Node    string `json:"node"`
	ID      string `json:"id"` // another one for each folder: who comes back without one is another voter
}

// open reads the folder's paper, or writes one where the folder is empty. Nothing in it is ever overwritten.
func openIdentity(folder, fleet, node string) (p voterIdentity, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return p, fmt.Errorf("fleet.folder: expected a folder that can be written: %w", err)
	}
	path := filepath.Join(folder, identityFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		if _, err := os.Stat(filepath.Join(folder, logFile)); err == nil {
			return p, fmt.Errorf("fleet.folder: %s is missing beside %s: whose votes these are can't be known", identityFile, logFile)
		}
		p = voterIdentity{fleet, node, node + "." + uuid.NewString()[:8]}
		text, _ = json.Marshal(p)
		if err := writeAtomically(path, text); err != nil {
			return p, fmt.Errorf("fleet.folder: expected a folder that can be written: %w", err)
		}
		return p, nil
	}
	if err != nil {
		return p, fmt.Errorf("fleet.folder: %w", err)
	}
	if err := json.Unmarshal(text, &p); err != nil || p.ID == "" {
		return p, fmt.Errorf("fleet.folder: %s can't be read: %w", path, errors.Join(err, errors.New("expected fleet, node and id")))
	}
	if p.Cluster != fleet || p.Node != node {
		return p, fmt.Errorf("fleet.folder: %s is of node %q in fleet %q, not of node %q in fleet %q", folder, p.Node, p.Cluster, node, fleet)
	}
	return p, nil
}

// writeAtomically writes a file that is there whole or not at all.
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

// checkLog reads all of a log, so that one that was cut short or spoilt is found here, and not by a library that ends the
// process over it.
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
	// With the list of free pages: the library reads it only when a log is opened to be written, and panics where it is spoilt.
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, PreLoadFreelist: true, Timeout: openTimeout})
	if err != nil {
		return fmt.Errorf("fleet.folder: %s is damaged or in use: %w", path, err)
	}
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error {
			sum := 0
			return b.ForEach(func(k, v []byte) error {
				for _, x := range v {
					sum += int(x) // each byte is touched
				}
				return nil
			})
		})
	})
}

// raftStore is the library's, but for what the library ends the process over: there this voter ends instead, and its node
// goes on serving.
type raftStore struct {
	*raftbolt.BoltStore
	folder    string
	onFailure func(error)
	first     *firstWrite
}

// firstWrite keeps the error of the first write, by which the library begins. It has no goroutines yet that could end by it.
type firstWrite struct {
	made atomic.Bool
	err  error
}

// folderFault lets tests fail a write to a folder's log, before it is made or after it; nil: none fails.
var folderFault atomic.Pointer[func(folder string, made bool) error]

// write makes a write to the log.
func (s raftStore) write(make func() error) error {
	fault := folderFault.Load()
	if fault != nil {
		if err := (*fault)(s.folder, false); err != nil {
			return err
		}
	}
	err := make()
	if err == nil && fault != nil {
		err = (*fault)(s.folder, true)
	}
	return err
}

// endOnFailure ends the library's goroutine that asked, once a write has failed: what would follow is a panic, or a vote that isn't kept.
func (s raftStore) endOnFailure(err error) error {
	if err != nil {
		s.onFailure(err)
		runtime.Goexit()
	}
	return nil
}

func (s raftStore) SetUint64(key []byte, v uint64) error {
	err := s.write(func() error { return s.BoltStore.SetUint64(key, v) })
	if s.first.made.CompareAndSwap(false, true) {
		s.first.err = err
		return err // the library panics, which newRaft recovers
	}
	return s.endOnFailure(err)
}

func (s raftStore) Set(key, v []byte) error {
	return s.endOnFailure(s.write(func() error { return s.BoltStore.Set(key, v) }))
}

func (s raftStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }
func (s raftStore) StoreLogs(l []*raft.Log) error {
	err := s.write(func() error { return s.BoltStore.StoreLogs(l) })
	if err != nil {
		s.onFailure(err)
	}
	return err // the library steps down by itself
}

// shutdownOnce keeps the first reason for which a voter ends.
type shutdownOnce struct {
	sync.Once
	end func(error)
}

func (o *shutdownOnce) fail(err error) { o.Do(func() { go o.end(err) }) }
