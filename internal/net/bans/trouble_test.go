package bans

import (
	"os"
	"slices"
	"syscall"
	"testing"

	"go.uber.org/zap"
)

// What the other process of a node was told is read again where reading it failed for want of descriptors or by the disk: the ban is in
// force in both.
func TestABanIsReadAgainAfterAFailure(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.EINTR, syscall.ENOMEM, syscall.EAGAIN} {
		folder := t.TempDir()
		one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
		must(t, one.Out("a"))
		failing := 2
		readFile = func(path string) ([]byte, error) {
			if failing--; failing >= 0 {
				return nil, &os.PathError{Op: "read", Path: path, Err: err}
			}
			return os.ReadFile(path)
		}
		t.Cleanup(func() { readFile = os.ReadFile })
		for range 3 {
			other.Look()
		}
		if ids := other.out(); !slices.Equal(ids, []string{"a"}) {
			t.Errorf("%v: out are %v, want a", err, ids)
		}
	}
}

// A call that comes while the file can't be read is refused, and loses nothing of what the other process was told: written from what
// this process knew, the file would lack it.
func TestAChangeKeepsWhatCannotBeRead(t *testing.T) {
	t.Cleanup(func() { readFile = os.ReadFile })
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.EINTR, syscall.ENOMEM, syscall.EAGAIN} {
		folder := t.TempDir()
		one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
		must(t, one.Out("a"))
		readFile = func(path string) ([]byte, error) { return nil, &os.PathError{Op: "read", Path: path, Err: err} }
		if other.Out("b") == nil {
			t.Errorf("%v: a call is answered well though the file could not be read", err)
		}
		readFile = os.ReadFile
		must(t, other.Out("c"))
		one.Look()
		for _, each := range []*reader{one, other} {
			if ids := each.out(); !slices.Equal(ids, []string{"a", "c"}) {
				t.Errorf("%v: out are %v, want a and c", err, ids)
			}
		}
	}
}
