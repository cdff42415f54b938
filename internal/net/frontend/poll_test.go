//go:build faults

package frontend

import (
	"syscall"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

// A poll that was interrupted tells nothing, and is made again; one that fails for good holds nobody to have gone, and no queue to be empty.
func TestFailedPollReportsNoClose(t *testing.T) {
	t.Cleanup(func() { kernel.Fail(nil) })
	t.Run("interrupted", func(t *testing.T) {
		listener, conn, clientSide := connPair(t)
		clientSide.Close()
		waitFor(t, conn.clientGone)
		kernel.FailTimes(kernel.Poll, syscall.EINTR, 3)
		if !conn.clientGone() {
			t.Error("a client that has gone was held to be there")
		}
		listener.lastAccept.Store(0)
		listener.conns.Store(0)
		dial(t, listener.Addr().String())
		waitFor(t, listener.hasQueued)
		kernel.FailTimes(kernel.Poll, syscall.EINTR, 3)
		if !listener.hasQueued() {
			t.Error("a socket with a connection in its queue was held to be empty")
		}
	})
	t.Run("out of memory", func(t *testing.T) {
		listener, conn, _ := connPair(t)
		listener.lastAccept.Store(0)
		kernel.FailTimes(kernel.Poll, syscall.ENOMEM, 1<<30)
		if conn.clientGone() {
			t.Error("a client that is there was held to have gone")
		}
		if !listener.hasQueued() {
			t.Error("a queue that nobody could look at was held to be empty")
		}
	})
}

// waitFor waits until something holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it never holds")
		}
	}
}
