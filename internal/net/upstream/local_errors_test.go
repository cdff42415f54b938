package upstream

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// A local error of a dial must not count against the server. The errors are those documented for connect(2) and socket(2). Only
// errors caused by the server's machine or the network path to it count against the server.
func TestLocalDialErrorsAreNotServerFailures(t *testing.T) {
	for err, want := range map[syscall.Errno]dispatch.AttemptResult{
		syscall.EADDRNOTAVAIL: dispatch.NoResources, syscall.EADDRINUSE: dispatch.NoResources, syscall.EAGAIN: dispatch.NoResources, syscall.ENOBUFS: dispatch.NoResources,
		syscall.ENOMEM: dispatch.NoResources, syscall.EMFILE: dispatch.NoResources, syscall.ENFILE: dispatch.NoResources, syscall.ENETUNREACH: dispatch.NoResources,
		syscall.ENETDOWN: dispatch.NoResources, syscall.EPERM: dispatch.NoResources, syscall.EACCES: dispatch.NoResources, syscall.EAFNOSUPPORT: dispatch.NoResources,
		syscall.EINTR: dispatch.NoResources, syscall.EINVAL: dispatch.NoResources,
		syscall.ECONNREFUSED: dispatch.ConnectRefused, syscall.EHOSTUNREACH: dispatch.ConnectRefused, syscall.EHOSTDOWN: dispatch.ConnectRefused,
		syscall.ETIMEDOUT: dispatch.ConnectTimeout, syscall.ECONNRESET: dispatch.WriteFailed,
	} {
		client := newTestClient(t)
		client.dialer.Control = func(string, string, syscall.RawConn) error { return os.NewSyscallError("connect", err) }
		if result, _ := client.send(newAttempt("127.0.0.1:9", "GET", "")); result != want {
			t.Errorf("%v: %v, want %v", err, result, want)
		}
		if client.dialer.openConns != 0 || client.dialer.dials != 0 {
			t.Errorf("%v: %d descriptors and %d dials are still counted", err, client.dialer.openConns, client.dialer.dials)
		}
	}
	if errors.Is(syscall.EAGAIN, os.ErrDeadlineExceeded) {
		t.Error("EAGAIN can't be distinguished from a timeout")
	}
}
