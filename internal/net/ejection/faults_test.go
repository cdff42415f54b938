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

// An ejection by the other process of a node is read again after a read failed for lack of descriptors or by the disk: it is in
// force in both.
func TestRefreshRetriesAfterReadError(t *testing.T) {
	t.Cleanup(func() { kernel.Fail(nil) })
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.EINTR, syscall.ENOMEM, syscall.EAGAIN} {
		folder := t.TempDir()
		one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
		must(t, one.Eject("a"))
		kernel.FailTimes(kernel.ReadFile, err, 2)
		for range 3 {
			other.Refresh()
		}
		if ids := other.ejected(); !slices.Equal(ids, []string{"a"}) {
			t.Errorf("%v: out are %v, want a", err, ids)
		}
	}
}

// A call while the file cannot be read fails, and loses no ejection of the other process: written from what
// this process knew, the file would lack it.
func TestEjectFailsWhileFileUnreadable(t *testing.T) {
	t.Cleanup(func() { kernel.Fail(nil) })
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.ENOMEM, syscall.EAGAIN} {
		folder := t.TempDir()
		one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
		must(t, one.Eject("a"))
		kernel.FailTimes(kernel.ReadFile, err, math.MaxInt64)
		if other.Eject("b") == nil {
			t.Errorf("%v: a call is answered well though the file could not be read", err)
		}
		kernel.Fail(nil)
		must(t, other.Eject("c"))
		one.Refresh()
		for _, each := range []*process{one, other} {
			if ids := each.ejected(); !slices.Equal(ids, []string{"a", "c"}) {
				t.Errorf("%v: out are %v, want a and c", err, ids)
			}
		}
	}
}

// A call whose reading is only interrupted goes through, and keeps the ejections of the other process.
func TestEjectRetriesInterruptedRead(t *testing.T) {
	t.Cleanup(func() { kernel.Fail(nil) })
	folder := t.TempDir()
	one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
	must(t, one.Eject("a"))
	kernel.FailTimes(kernel.ReadFile, syscall.EINTR, 3)
	must(t, other.Eject("b"))
	if ids := other.ejected(); !slices.Equal(ids, []string{"a", "b"}) {
		t.Errorf("out are %v, want a and b", ids)
	}
}
