//go:build faults

package frontend

import (
	"syscall"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

// A poll that was interrupted tells nothing, and is made again; one that fails for good holds nobody to have gone, and no queue to be empty.
func TestAPollThatFailsTellsNothing(t *testing.T) {
	t.Cleanup(func() { kernel.Fail(nil) })
	t.Run("interrupted", func(t *testing.T) {
		b, p, far := pair(t)
		far.Close()
		waitFor(t, p.clientGone)
		kernel.FailTimes(kernel.Poll, syscall.EINTR, 3)
		if !p.clientGone() {
			t.Error("a client that has gone was held to be there")
		}
		b.lastAccept.Store(0)
		b.conns.Store(0)
		dial(t, b.Addr().String())
		waitFor(t, b.hasQueued)
		kernel.FailTimes(kernel.Poll, syscall.EINTR, 3)
		if !b.hasQueued() {
			t.Error("a socket with a connection in its queue was held to be empty")
		}
	})
	t.Run("out of memory", func(t *testing.T) {
		b, p, _ := pair(t)
		b.lastAccept.Store(0)
		kernel.FailTimes(kernel.Poll, syscall.ENOMEM, 1<<30)
		if p.clientGone() {
			t.Error("a client that is there was held to have gone")
		}
		if !b.hasQueued() {
			t.Error("a queue that nobody could look at was held to be empty")
		}
	})
}

// waitFor waits until something holds.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it never holds")
		}
	}
}
