//go:build faults

package handover

import (
	"syscall"
	"testing"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

// If the locks can't be queried, Others returns the last count. If it returned 0, this process would also use the share of the node's
// limits that another process uses.
func TestOthersKeepsLastCountAfterLockError(t *testing.T) {
	t.Cleanup(func() { kernel.InjectErrors(nil) })
	folder := t.TempDir()
	first, err := Join(folder, "n")
	if err != nil {
		t.Fatal(err)
	}
	second, err := Join(folder, "n")
	if err != nil {
		t.Fatal(err)
	}
	if n := first.Others(); n != 1 {
		t.Fatalf("%d others, want 1", n)
	}
	for _, err := range []error{syscall.EINTR, syscall.EAGAIN, syscall.ENOLCK, syscall.EIO} {
		kernel.InjectErrorTimes(kernel.Lock, err, 20)
		if n := first.Others(); n != 1 {
			t.Errorf("%v: %d others, want 1, the last count", err, n)
		}
	}
	kernel.InjectErrors(nil)
	second.Leave()
	if n := first.Others(); n != 0 {
		t.Errorf("%d others after the other process left, want 0", n)
	}
}

// A lock call that a signal interrupts (EINTR) is retried; Join must not take the slot for locked by another process.
func TestJoinRetriesInterruptedLock(t *testing.T) {
	t.Cleanup(func() { kernel.InjectErrors(nil) })
	kernel.InjectErrorTimes(kernel.Lock, syscall.EINTR, 3)
	m, err := Join(t.TempDir(), "n")
	if err != nil || m.slot != 0 {
		t.Errorf("slot %d, %v", m.slot, err)
	}
}
