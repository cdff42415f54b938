package handover

import (
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// Processes of different versions count each other: by a write lock on one of the first eight bytes of this file.
func TestTheSeatsFileKeepsItsForm(t *testing.T) {
	folder := t.TempDir()
	s, err := Join(folder, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Leave()
	f, err := os.OpenFile(filepath.Join(folder, "n1.seats"), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if i, err := f.Stat(); err != nil || i.Size() != 0 {
		t.Errorf("the file holds bytes: %v, %v", i, err)
	}
	for nth := range int64(9) {
		at := unix.Flock_t{Type: unix.F_WRLCK, Start: nth, Len: 1}
		if err := unix.FcntlFlock(f.Fd(), unix.F_OFD_GETLK, &at); err != nil {
			t.Fatal(err)
		}
		if locked := at.Type != unix.F_UNLCK; locked != (nth == 0) {
			t.Errorf("byte %d: locked %v", nth, locked)
		}
	}
	at := unix.Flock_t{Type: unix.F_WRLCK, Start: 7, Len: 1}
	if err := unix.FcntlFlock(f.Fd(), unix.F_OFD_SETLK, &at); err != nil {
		t.Fatal(err)
	}
	if n := s.Others(); n != 1 {
		t.Errorf("%d others, want the one on byte 7", n)
	}
}
