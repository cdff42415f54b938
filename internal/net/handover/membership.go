package handover

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

const (
	// maxProcesses is the number of processes that may serve as one node at the same time: two during an upgrade, more when some are
	// killed.
	maxProcesses = 8

	fileSuffix = ".seats"
)

// ErrTooManyProcesses is returned by Join if maxProcesses processes of the node are members.
var ErrTooManyProcesses = fmt.Errorf("handover: %d processes of this node serve already", maxProcesses)

// Membership registers a process as one of those that serve as the same node. It holds a lock on one byte (the slot) of a file that these
// processes share. The kernel releases the lock however the process ends. The methods are safe for concurrent use.
type Membership struct {
	slot int64 // offset of the locked byte

	mu         sync.Mutex
	file       *os.File // nil if the process is not a member, or Join had no folder
	lastOthers int      // result of the last successful count
}

// Join makes this process a member of the node with the given name, whose members share the file name.seats in folder. If folder is empty,
// the process counts as the only member. The Membership is never nil; if Join fails, its Others returns 0.
func Join(folder, name string) (*Membership, error) {
	if folder == "" {
		return &Membership{}, nil
	}
	file, err := os.OpenFile(filepath.Join(folder, name+fileSuffix), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return &Membership{}, err
	}
	for slot := range int64(maxProcesses) {
		if kernel.FileLock(file.Fd(), unix.F_OFD_SETLK, slotLock(slot)) == nil {
			return &Membership{file: file, slot: slot}, nil
		}
	}
	_ = file.Close()
	return &Membership{}, ErrTooManyProcesses
}

// slotLock returns the fcntl argument for a write lock on the byte of a slot.
func slotLock(slot int64) *unix.Flock_t {
	return &unix.Flock_t{Type: unix.F_WRLCK, Start: slot, Len: 1}
}

// Others returns the number of other members. If counting fails, it returns the result of the last successful count. It only queries the
// locks: if it took a lock to test it, other processes would count that lock as a member.
func (m *Membership) Others() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.file == nil {
		return 0
	}
	others := 0
	for slot := range int64(maxProcesses) {
		if slot == m.slot {
			continue
		}
		lock := slotLock(slot)
		if kernel.FileLock(m.file.Fd(), unix.F_OFD_GETLK, lock) != nil {
			return m.lastOthers
		}
		if lock.Type != unix.F_UNLCK {
			others++
		}
	}
	m.lastOthers = others
	return others
}

// Follow counts the other members once per interval, until ctx ends. It calls onChange when the number differs from that of the previous
// count; the first count is compared with last.
func (m *Membership) Follow(ctx context.Context, last int, interval time.Duration, onChange func(others int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if others := m.Others(); others != last {
			last = others
			onChange(others)
		}
	}
}

// Leave ends the membership and releases the lock. It may be called more than once.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.file != nil {
		_ = m.file.Close()
		m.file = nil
	}
}
