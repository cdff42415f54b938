package handover

import (
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// Processes of different versions that serve as the same node count each other by the locks on one file, so the format must not change. The
// file has size 0. Each process holds a write lock on one of the byte offsets 0 to 7; locks may lie beyond the end of a file.
func TestSeatsFileFormat(t *testing.T) {
	folder := t.TempDir()
	m, err := Join(folder, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer m.Leave()
	f, err := os.OpenFile(filepath.Join(folder, "n1.seats"), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil || info.Size() != 0 {
		t.Errorf("the file is not empty: %v, %v", info, err)
	}
	for offset := range int64(9) {
		lock := unix.Flock_t{Type: unix.F_WRLCK, Start: offset, Len: 1}
		if err := unix.FcntlFlock(f.Fd(), unix.F_OFD_GETLK, &lock); err != nil {
			t.Fatal(err)
		}
		if locked := lock.Type != unix.F_UNLCK; locked != (offset == 0) {
			t.Errorf("byte %d: locked %v", offset, locked)
		}
	}
	lock := unix.Flock_t{Type: unix.F_WRLCK, Start: 7, Len: 1}
	if err := unix.FcntlFlock(f.Fd(), unix.F_OFD_SETLK, &lock); err != nil {
		t.Fatal(err)
	}
	if n := m.Others(); n != 1 {
		t.Errorf("%d others, want 1, which holds byte 7", n)
	}
}
