package voterstore

import (
	"fmt"
	"path/filepath"
	"runtime"
	"sync/atomic"

	"github.com/hashicorp/raft"
	raftbolt "github.com/hashicorp/raft-boltdb/v2"
)

// Store is the consensus library's log and vote store in a voter's folder. A failed write ends the voter where the library
// would end the process.
type Store struct {
	*raftbolt.BoltStore
	folder    string
	onFailure func(error)

	firstWritten  atomic.Bool
	firstWriteErr error
}

// Open opens the log of a folder, after CheckLog. onFailure is called with each write that fails, but for the first one; it
// must not block.
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

// FirstWriteError returns the error of the first write, which the library makes before it has started any goroutine, and
// over whose failure it panics.
func (s *Store) FirstWriteError() error { return s.firstWriteErr }

// WriteFault lets tests fail a write to a folder's log, before or after it is made; nil: none fails.
var WriteFault atomic.Pointer[func(folder string, written bool) error]

// write makes a write to the log.
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

// endOnFailure ends the voter and the library's calling goroutine after a failed write, which the library would follow by a
// panic, or by a vote that isn't stored.
func (s *Store) endOnFailure(err error) error {
	if err != nil {
		s.onFailure(err)
		runtime.Goexit()
	}
	return nil
}

// SetUint64 stores a number.
func (s *Store) SetUint64(key []byte, value uint64) error {
	err := s.write(func() error { return s.BoltStore.SetUint64(key, value) })
	if s.firstWritten.CompareAndSwap(false, true) {
		s.firstWriteErr = err
		return err // the library panics, and its starter recovers
	}
	return s.endOnFailure(err)
}

// Set stores a value.
func (s *Store) Set(key, value []byte) error {
	return s.endOnFailure(s.write(func() error { return s.BoltStore.Set(key, value) }))
}

// StoreLog stores one entry.
func (s *Store) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores entries. After an error the library steps down by itself.
func (s *Store) StoreLogs(entries []*raft.Log) error {
	err := s.write(func() error { return s.BoltStore.StoreLogs(entries) })
	if err != nil {
		s.onFailure(err)
	}
	return err
}
