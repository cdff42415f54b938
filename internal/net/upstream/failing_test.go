//go:build faults

package upstream

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
)

// A read or a write that fails by this machine tells nothing of the server: one that lacked memory for a moment is made again, and the
// attempt is answered; one that goes on failing ends the attempt, as not run where its last byte was not written, and as in doubt after that.
func TestFailingReadsAndWritesAreNotTheServers(t *testing.T) {
	t.Cleanup(func() { kernel.Fail(nil) })
	const aMoment, forGood = 2, 1 << 30
	answered, unsent := []routing.Result{routing.Served}, []routing.Result{routing.NotSent}
	either := []routing.Result{routing.NotSent, routing.Canceled} // the connection's first read may fail before anything is written, or after it
	for _, c := range []struct {
		call  kernel.Call
		err   syscall.Errno
		times int64
		want  []routing.Result
	}{
		{kernel.Read, syscall.ENOMEM, aMoment, answered},
		{kernel.Read, syscall.ENOBUFS, aMoment, answered},
		{kernel.Write, syscall.ENOMEM, aMoment, answered},
		{kernel.Write, syscall.ENOBUFS, aMoment, answered},
		{kernel.Peek, syscall.ENOMEM, aMoment, answered},
		{kernel.Read, syscall.ENOMEM, forGood, either},
		{kernel.Read, syscall.EIO, forGood, either},
		{kernel.Write, syscall.ENOBUFS, forGood, unsent},
		{kernel.Write, syscall.EPERM, forGood, unsent},
		{kernel.Write, syscall.EIO, forGood, unsent},
		{kernel.Peek, syscall.ENOMEM, forGood, unsent},
	} {
		var reached atomic.Int64
		s, server := newTestClient(t), rawServer(t, func(c net.Conn, r *http.Request, nth int) {
			reached.Add(1)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		})
		s.dialer.Timeout = time.Second // a connect that a busy machine holds up is not what is looked at here
		kernel.FailTimes(c.call, c.err, c.times)
		end, _ := s.send(newAttempt(server, "GET", ""))
		kernel.Fail(nil)
		if !slices.Contains(c.want, end.Code()) {
			t.Errorf("%s, %v, %d times: %v (%v), want one of %v", c.call, c.err, c.times, end, end.Code(), c.want)
		}
		if !end.MayHaveRun() && reached.Load() > 0 {
			t.Errorf("%s, %v, %d times: %v counts as not run, and has", c.call, c.err, c.times, end)
		}
		if end == dispatch.Complete {
			continue
		}
		for by := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
			s.dialer.mu.Lock()
			open := s.dialer.openConns
			s.dialer.mu.Unlock()
			if open == 0 {
				break
			} else if time.Now().After(by) {
				t.Errorf("%s, %v: %d connections are still open", c.call, c.err, open)
				break
			}
		}
	}
}

// A read that fails by this machine in the middle of an answer is no word on the server either.
func TestAReadThatFailsAmidAnAnswerIsNotTheServers(t *testing.T) {
	t.Cleanup(func() { kernel.Fail(nil) })
	s, server := newTestClient(t), rawServer(t, func(c net.Conn, r *http.Request, nth int) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok")
		time.Sleep(30 * time.Millisecond) // the first half is read
		kernel.FailTimes(kernel.Read, syscall.EIO, 1<<30)
		fmt.Fprint(c, "ok")
	})
	if end, _ := s.send(newAttempt(server, "GET", "")); end.Code() != routing.Canceled || !end.MayHaveRun() {
		t.Errorf("%v (%v), want one that tells nothing of the server and is in doubt", end, end.Code())
	}
}
