package cluster

import (
	"runtime"
	"sync/atomic"

	"github.com/hashicorp/raft"
	raftbolt "github.com/hashicorp/raft-boltdb/v2"
)

// raftStore is the library's store, except that a failed write ends this voter where the library would end the process.
type raftStore struct {
	*raftbolt.BoltStore
	folder    string
	onFailure func(error)
	first     *firstWrite
}

// firstWrite has the error of the first write, which the library makes before it has started any goroutine.
type firstWrite struct {
	made atomic.Bool
	err  error
}

// folderFault lets tests fail a write to a folder's log, before or after it is made; nil: none fails.
var folderFault atomic.Pointer[func(folder string, made bool) error]

// write makes a write to the log.
func (s raftStore) write(write func() error) error {
	fault := folderFault.Load()
	if fault != nil {
		if err := (*fault)(s.folder, false); err != nil {
			return err
		}
	}
	err := write()
	if err == nil && fault != nil {
		err = (*fault)(s.folder, true)
	}
	return err
}

// endOnFailure ends the voter and the library's calling goroutine after a failed write, which the library would follow by a
// panic, or by a vote that isn't stored.
func (s raftStore) endOnFailure(err error) error {
	if err != nil {
		s.onFailure(err)
		runtime.Goexit()
	}
	return nil
}

// SetUint64 stores a number.
func (s raftStore) SetUint64(key []byte, value uint64) error {
	err := s.write(func() error { return s.BoltStore.SetUint64(key, value) })
	if s.first.made.CompareAndSwap(false, true) {
		s.first.err = err
		return err // the library panics, and newRaft recovers
	}
	return s.endOnFailure(err)
}

// Set stores a value.
func (s raftStore) Set(key, value []byte) error {
	return s.endOnFailure(s.write(func() error { return s.BoltStore.Set(key, value) }))
}

// StoreLog stores one entry.
func (s raftStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs stores entries. After an error the library steps down by itself.
func (s raftStore) StoreLogs(l []*raft.Log) error {
	err := s.write(func() error { return s.BoltStore.StoreLogs(l) })
	if err != nil {
		s.onFailure(err)
	}
	return err
}
