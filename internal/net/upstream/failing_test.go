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

// Guards against blaming the server for a read or write that fails with a local error. A call that lacks memory for a moment
// is repeated, and the attempt is answered. A call that keeps failing ends the attempt: as not run if the request's last byte
// was not written, otherwise as one that may have run.
func TestLocalReadAndWriteErrorsAreNotServerFailures(t *testing.T) {
	t.Cleanup(func() { kernel.InjectErrors(nil) })
	const transient, permanent = 2, 1 << 30
	served, notSent := []routing.Result{routing.Served}, []routing.Result{routing.NotSent}
	// The connection's first read may fail before or after the request is written.
	notSentOrCanceled := []routing.Result{routing.NotSent, routing.Canceled}
	for _, c := range []struct {
		call  kernel.Call
		err   syscall.Errno
		times int64
		want  []routing.Result
	}{
		{kernel.Read, syscall.ENOMEM, transient, served},
		{kernel.Read, syscall.ENOBUFS, transient, served},
		{kernel.Write, syscall.ENOMEM, transient, served},
		{kernel.Write, syscall.ENOBUFS, transient, served},
		{kernel.Peek, syscall.ENOMEM, transient, served},
		{kernel.Read, syscall.ENOMEM, permanent, notSentOrCanceled},
		{kernel.Read, syscall.EIO, permanent, notSentOrCanceled},
		{kernel.Write, syscall.ENOBUFS, permanent, notSent},
		{kernel.Write, syscall.EPERM, permanent, notSent},
		{kernel.Write, syscall.EIO, permanent, notSent},
		{kernel.Peek, syscall.ENOMEM, permanent, notSent},
	} {
		var received atomic.Int64
		client, server := newTestClient(t), rawServer(t, func(c net.Conn, r *http.Request, nth int) {
			received.Add(1)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		})
		client.dialer.Timeout = time.Second // a slow connect on a busy machine must not fail this test
		kernel.InjectErrorTimes(c.call, c.err, c.times)
		result, _ := client.send(newAttempt(server, "GET", ""))
		kernel.InjectErrors(nil)
		if !slices.Contains(c.want, result.Code()) {
			t.Errorf("%s, %v, %d times: %v (%v), want one of %v", c.call, c.err, c.times, result, result.Code(), c.want)
		}
		if !result.MayHaveRun() && received.Load() > 0 {
			t.Errorf("%s, %v, %d times: %v counts as not run, but the server received the request", c.call, c.err, c.times, result)
		}
		if result == dispatch.Complete {
			continue
		}
		for deadline := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
			client.dialer.mu.Lock()
			open := client.dialer.openConns
			client.dialer.mu.Unlock()
			if open == 0 {
				break
			} else if time.Now().After(deadline) {
				t.Errorf("%s, %v: %d connections are still open", c.call, c.err, open)
				break
			}
		}
	}
}

// A read that fails with a local error in the middle of an answer must not count against the server either.
func TestLocalReadErrorWithinAnswerIsNotServerFailure(t *testing.T) {
	t.Cleanup(func() { kernel.InjectErrors(nil) })
	client, server := newTestClient(t), rawServer(t, func(c net.Conn, r *http.Request, nth int) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok")
		time.Sleep(30 * time.Millisecond) // until the client has read the first half
		kernel.InjectErrorTimes(kernel.Read, syscall.EIO, 1<<30)
		fmt.Fprint(c, "ok")
	})
	if result, _ := client.send(newAttempt(server, "GET", "")); result.Code() != routing.Canceled || !result.MayHaveRun() {
		t.Errorf("%v (%v), want canceled and may have run", result, result.Code())
	}
}
