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

// A call that can't be written down changes nothing, here or in the file, and says so.
func TestACallThatIsNotWrittenChangesNothing(t *testing.T) {
	folder := t.TempDir()
	b := open(folder, zap.NewNop())
	must(t, b.Out("a"))
	must(t, os.Mkdir(b.path+".new", 0o700)) // so that nothing can be written there
	if err := b.Out("b"); err == nil {
		t.Error("a call that was not written down is a yes")
	}
	if err := b.Back("a"); err == nil {
		t.Error("a call that was not written down is a yes")
	}
	after := open(folder, zap.NewNop())
	if ids := b.out(); !slices.Equal(ids, []string{"a"}) || !slices.Equal(after.out(), ids) {
		t.Errorf("out are %v, and after a restart %v, want a", ids, after.out())
	}
}
