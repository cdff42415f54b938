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

// What the other process of a node was told is read again where reading it failed for want of descriptors or by the disk: the ban is in
// force in both.
func TestABanIsReadAgainAfterAFailure(t *testing.T) {
	t.Cleanup(func() { kernel.Fail(nil) })
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.EINTR, syscall.ENOMEM, syscall.EAGAIN} {
		folder := t.TempDir()
		one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
		must(t, one.Eject("a"))
		kernel.FailTimes(kernel.ReadFile, err, 2)
		for range 3 {
			other.Refresh()
		}
		if ids := other.out(); !slices.Equal(ids, []string{"a"}) {
			t.Errorf("%v: out are %v, want a", err, ids)
		}
	}
}

// A call that comes while the file can't be read is refused, and loses nothing of what the other process was told: written from what
// this process knew, the file would lack it.
func TestAChangeKeepsWhatCannotBeRead(t *testing.T) {
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
		for _, each := range []*reader{one, other} {
			if ids := each.out(); !slices.Equal(ids, []string{"a", "c"}) {
				t.Errorf("%v: out are %v, want a and c", err, ids)
			}
		}
	}
}

// A call whose reading is only interrupted goes through, and keeps what the other process was told.
func TestAnInterruptedReadIsMadeAgain(t *testing.T) {
	t.Cleanup(func() { kernel.Fail(nil) })
	folder := t.TempDir()
	one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
	must(t, one.Eject("a"))
	kernel.FailTimes(kernel.ReadFile, syscall.EINTR, 3)
	must(t, other.Eject("b"))
	if ids := other.out(); !slices.Equal(ids, []string{"a", "b"}) {
		t.Errorf("out are %v, want a and b", ids)
	}
}
