//go:build faults

package frontend

import (
	"syscall"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// An interrupted poll must be retried. If poll keeps failing, the client must count as connected, and the accept queue as not empty.
func TestFailedPollReportsNoClose(t *testing.T) {
	t.Cleanup(func() { kernel.InjectErrors(nil) })
	t.Run("interrupted", func(t *testing.T) {
		listener, conn, clientSide := connPair(t)
		clientSide.Close()
		waitFor(t, func() bool { return conn.clientState(0) == admission.ClientGone })
		kernel.InjectErrorTimes(kernel.Poll, syscall.EINTR, 3)
		if conn.clientState(0) != admission.ClientGone {
			t.Error("a disconnected client counts as connected")
		}
		listener.lastAccept.Store(0)
		listener.conns.Store(0)
		dial(t, listener.Addr().String())
		waitFor(t, listener.hasQueued)
		kernel.InjectErrorTimes(kernel.Poll, syscall.EINTR, 3)
		if !listener.hasQueued() {
			t.Error("hasQueued = false with a connection in the accept queue")
		}
	})
	t.Run("out of memory", func(t *testing.T) {
		listener, conn, _ := connPair(t)
		listener.lastAccept.Store(0)
		kernel.InjectErrorTimes(kernel.Poll, syscall.ENOMEM, 1<<30)
		if conn.clientState(0) == admission.ClientGone {
			t.Error("a connected client counts as gone")
		}
		if !listener.hasQueued() {
			t.Error("hasQueued = false although poll fails")
		}
	})
}

// waitFor waits until condition is true, for up to 1 s.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not become true within 1 s")
		}
	}
}
