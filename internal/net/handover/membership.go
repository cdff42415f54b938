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

// seats is how many processes of one node may serve at once; two do, and a few more may overlap when one is killed.
const seats = 8

// Membership is one process's place among those that serve as one node. It is a lock on one byte of a file, which ends with
// its owner however that ends; a number in a file would outlive it.
type Membership struct {
	nth int64

	mu   sync.Mutex
	file *os.File // nil: this process knows of no other
	seen int      // others, at the latest look that went through
}

// Join takes a seat. Without a folder there is nobody to be seen.
func Join(folder, name string) (*Membership, error) {
	if folder == "" {
		return &Membership{}, nil
	}
	f, err := os.OpenFile(filepath.Join(folder, name+".seats"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return &Membership{}, err
	}
	for nth := range int64(seats) {
		if kernel.FileLock(f.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: unix.F_WRLCK, Start: nth, Len: 1}) == nil {
			return &Membership{file: f, nth: nth}, nil
		}
	}
	_ = f.Close()
	return &Membership{}, fmt.Errorf("%d processes serve already", seats)
}

// Others counts the other processes that serve. It only asks: a lock tried and given back would be seen as one.
func (s *Membership) Others() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil {
		return 0
	}
	for nth := range int64(seats) {
		at := unix.Flock_t{Type: unix.F_WRLCK, Start: nth, Len: 1}
		if nth == s.nth {
			continue
		}
		if kernel.FileLock(s.file.Fd(), unix.F_OFD_GETLK, &at) != nil {
			return s.seen // nothing is known: what was stands
		}
		if at.Type != unix.F_UNLCK {
			n++
		}
	}
	s.seen = n
	return n
}

// Follow tells whenever the number of others has changed from what it was, until the context ends.
func (s *Membership) Follow(ctx context.Context, was int, every time.Duration, tell func(others int)) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if n := s.Others(); n != was {
			was = n
			tell(n)
		}
	}
}

// Leave gives the seat up.
func (s *Membership) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}
