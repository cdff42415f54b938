package handover

import (
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// A look at the seats that fails tells nothing of the others: taken for nobody, it would give this process the parts of the limits that
// another one uses.
func TestALookThatFailsTellsNothing(t *testing.T) {
	folder := t.TempDir()
	one, err := Sit(folder, "n")
	if err != nil {
		t.Fatal(err)
	}
	other, err := Sit(folder, "n")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lockCall = unix.FcntlFlock })
	if n := one.Others(); n != 1 {
		t.Fatalf("%d others, want one", n)
	}
	for _, err := range []error{syscall.EINTR, syscall.EAGAIN, syscall.ENOLCK, syscall.EIO} {
		failing := 20
		lockCall = func(fd uintptr, command int, at *unix.Flock_t) error {
			if failing--; failing >= 0 {
				return err
			}
			return unix.FcntlFlock(fd, command, at)
		}
		if n := one.Others(); n != 1 {
			t.Errorf("%v: %d others, want one as before", err, n)
		}
	}
	lockCall = unix.FcntlFlock
	other.Leave()
	if n := one.Others(); n != 0 {
		t.Errorf("%d others once the other has left", n)
	}
}

// A seat is found where a lock was interrupted.
func TestASeatIsFoundThoughALockWasInterrupted(t *testing.T) {
	interrupted := 3
	lockCall = func(fd uintptr, cmd int, at *unix.Flock_t) error {
		if interrupted--; interrupted >= 0 {
			return syscall.EINTR
		}
		return unix.FcntlFlock(fd, cmd, at)
	}
	t.Cleanup(func() { lockCall = unix.FcntlFlock })
	s, err := Sit(t.TempDir(), "n")
	if err != nil || s.nth != 0 {
		t.Errorf("seat %d, %v", s.nth, err)
	}
}
