package voterstore

import (
	"fmt"
	"path/filepath"
	"runtime"
	"sync/atomic"

	"github.com/hashicorp/raft"
	raftbolt "github.com/hashicorp/raft-boltdb/v2"
)

// Store is the consensus library's log store and stable store in the folder of a voter. Where the library would end the process
// after a failed write, Store ends only the voter.
type Store struct {
	*raftbolt.BoltStore
	folder    string
	onFailure func(error)

	firstWritten  atomic.Bool
	firstWriteErr error
}

// Open checks the log in a folder with CheckLog and opens it. onFailure is called with the error of each failed write, but not
// for the first SetUint64 (see FirstWriteError). onFailure must not block.
func Open(folder string, onFailure func(error)) (*Store, error) {
	path := filepath.Join(folder, LogFile)
	if err := CheckLog(path); err != nil {
		return nil, err
	}
	bolt, err := raftbolt.New(raftbolt.Options{Path: path, BoltOptions: nil})
	if err != nil {
		return nil, fmt.Errorf("fleet.folder: %s: %w", path, err)
	}
	return &Store{BoltStore: bolt, folder: folder, onFailure: onFailure}, nil
}

// FirstWriteError returns the error of the first SetUint64. The library makes this write before it starts any goroutine, and
// panics if the write fails.
func (s *Store) FirstWriteError() error { return s.firstWriteErr }

// WriteFault lets tests inject errors into writes to a folder's log. The function is called before each write, and again with
// written set after a successful write. If it is nil, no errors are injected.
var WriteFault atomic.Pointer[func(folder string, written bool) error]

// write runs a write operation on the log, with the errors that WriteFault injects.
func (s *Store) write(op func() error) error {
	fault := WriteFault.Load()
	if fault != nil {
		if err := (*fault)(s.folder, false); err != nil {
			return err
		}
	}
	err := op()
	if err == nil && fault != nil {
		err = (*fault)(s.folder, true)
	}
	return err
}

// endOnFailure ends the voter and the library's calling goroutine if a write failed. If it returned the error, the library would
// panic, or would grant a vote that isn't stored.
func (s *Store) endOnFailure(err error) error {
	if err != nil {
		s.onFailure(err)
		runtime.Goexit()
	}
	return nil
}

// SetUint64 stores a number such as the term.
func (s *Store) SetUint64(key []byte, value uint64) error {
	err := s.write(func() error { return s.BoltStore.SetUint64(key, value) })
	if s.firstWritten.CompareAndSwap(false, true) {
		s.firstWriteErr = err
		return err // the library panics, and the function that starts the library recovers
	}
	return s.endOnFailure(err)
}

// Set stores a value such as the vote.
func (s *Store) Set(key, value []byte) error {
	return s.endOnFailure(s.write(func() error { return s.BoltStore.Set(key, value) }))
}

// StoreLog stores one log entry.
func (s *Store) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores log entries. It returns errors to the library, which then steps down as leader.
func (s *Store) StoreLogs(entries []*raft.Log) error {
	err := s.write(func() error { return s.BoltStore.StoreLogs(entries) })
	if err != nil {
		s.onFailure(err)
	}
	return err
}
