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
	// maxProcesses is how many processes of one node may serve at once: two during an upgrade, more when some are killed.
	maxProcesses = 8

	fileSuffix = ".seats"
)

// ErrTooManyProcesses says that no further process can join.
var ErrTooManyProcesses = fmt.Errorf("handover: %d processes of this node serve already", maxProcesses)

// Membership is one process's entry among those that serve as one node: a lock on one byte of a file that they share. The kernel releases
// it however the process ends. The methods may be called from several goroutines.
type Membership struct {
	slot int64 // the byte that is locked

	mu         sync.Mutex
	file       *os.File // nil: not a member, or no folder
	lastOthers int      // result of the last count that succeeded
}

// Join makes this process a member, by the file name.seats in folder. Without a folder it is the only one. The Membership is never nil;
// with an error it counts no others.
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

// slotLock describes a write lock on the byte of a slot.
func slotLock(slot int64) *unix.Flock_t {
	return &unix.Flock_t{Type: unix.F_WRLCK, Start: slot, Len: 1}
}

// Others returns the number of other members, or that of the last count if this one fails. It only queries the locks: a lock that is taken
// to test it would count as a member elsewhere.
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

// Follow counts the other members at each interval and calls onChange when the number differs from the last, at first from last, until ctx
// ends.
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

// Leave ends the membership. It may be called more than once.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.file != nil {
		_ = m.file.Close()
		m.file = nil
	}
}
