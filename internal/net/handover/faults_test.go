//go:build faults

package handover

import (
	"syscall"
	"testing"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

// A count of the members that fails changes nothing: taken for none, it would give this process the share of the limits that
// another one uses.
func TestOthersKeepsLastCountAfterLockError(t *testing.T) {
	t.Cleanup(func() { kernel.Fail(nil) })
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
		t.Fatalf("%d others, want one", n)
	}
	for _, err := range []error{syscall.EINTR, syscall.EAGAIN, syscall.ENOLCK, syscall.EIO} {
		kernel.FailTimes(kernel.Lock, err, 20)
		if n := first.Others(); n != 1 {
			t.Errorf("%v: %d others, want one as before", err, n)
		}
	}
	kernel.Fail(nil)
	second.Leave()
	if n := first.Others(); n != 0 {
		t.Errorf("%d others once the other has left", n)
	}
}

// A slot is found where a lock was interrupted.
func TestJoinRetriesInterruptedLock(t *testing.T) {
	t.Cleanup(func() { kernel.Fail(nil) })
	kernel.FailTimes(kernel.Lock, syscall.EINTR, 3)
	m, err := Join(t.TempDir(), "n")
	if err != nil || m.slot != 0 {
		t.Errorf("slot %d, %v", m.slot, err)
	}
}
