//go:build faults

package ejection

import (
	"math"
	"slices"
	"syscall"
	"testing"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

// A read of the file may fail for lack of descriptors or memory, or with an I/O error. A later Refresh must read the
// file again, so that an ejection made by the other process of the node takes effect in both.
func TestRefreshRetriesAfterReadError(t *testing.T) {
	t.Cleanup(func() { kernel.InjectErrors(nil) })
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.EINTR, syscall.ENOMEM, syscall.EAGAIN} {
		folder := t.TempDir()
		one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
		must(t, one.Eject("a"))
		kernel.InjectErrorTimes(kernel.ReadFile, err, 2)
		for range 3 {
			other.Refresh()
		}
		if ids := other.ejected(); !slices.Equal(ids, []string{"a"}) {
			t.Errorf("%v: ejected %v, want a", err, ids)
		}
	}
}

// Eject must fail while the file cannot be read. If it wrote the file from the entries in memory, an ejection made by
// the other process would be lost.
func TestEjectFailsWhileFileUnreadable(t *testing.T) {
	t.Cleanup(func() { kernel.InjectErrors(nil) })
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.ENOMEM, syscall.EAGAIN} {
		folder := t.TempDir()
		one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
		must(t, one.Eject("a"))
		kernel.InjectErrorTimes(kernel.ReadFile, err, math.MaxInt64)
		if other.Eject("b") == nil {
			t.Errorf("%v: Eject succeeded though the file could not be read", err)
		}
		kernel.InjectErrors(nil)
		must(t, other.Eject("c"))
		one.Refresh()
		for _, each := range []*process{one, other} {
			if ids := each.ejected(); !slices.Equal(ids, []string{"a", "c"}) {
				t.Errorf("%v: ejected %v, want a and c", err, ids)
			}
		}
	}
}

// Eject must succeed when reading the file is merely interrupted, and keep the ejections of the other process.
func TestEjectRetriesInterruptedRead(t *testing.T) {
	t.Cleanup(func() { kernel.InjectErrors(nil) })
	folder := t.TempDir()
	one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
	must(t, one.Eject("a"))
	kernel.InjectErrorTimes(kernel.ReadFile, syscall.EINTR, 3)
	must(t, other.Eject("b"))
	if ids := other.ejected(); !slices.Equal(ids, []string{"a", "b"}) {
		t.Errorf("ejected %v, want a and b", ids)
	}
}
