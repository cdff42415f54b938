package upstream

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// An error of this machine in making a connection tells nothing of the server. connect(2) and socket(2) document which there are; only
// what the server's machine or the way to it answered counts against it.
func TestTroubleOfThisMachineIsNotTheServers(t *testing.T) {
	for err, want := range map[syscall.Errno]dispatch.End{
		syscall.EADDRNOTAVAIL: dispatch.NoRoom, syscall.EADDRINUSE: dispatch.NoRoom, syscall.EAGAIN: dispatch.NoRoom, syscall.ENOBUFS: dispatch.NoRoom,
		syscall.ENOMEM: dispatch.NoRoom, syscall.EMFILE: dispatch.NoRoom, syscall.ENFILE: dispatch.NoRoom, syscall.ENETUNREACH: dispatch.NoRoom,
		syscall.ENETDOWN: dispatch.NoRoom, syscall.EPERM: dispatch.NoRoom, syscall.EACCES: dispatch.NoRoom, syscall.EAFNOSUPPORT: dispatch.NoRoom,
		syscall.EINTR: dispatch.NoRoom, syscall.EINVAL: dispatch.NoRoom,
		syscall.ECONNREFUSED: dispatch.Unreached, syscall.EHOSTUNREACH: dispatch.Unreached, syscall.EHOSTDOWN: dispatch.Unreached,
		syscall.ETIMEDOUT: dispatch.Unheard, syscall.ECONNRESET: dispatch.Unwritten,
	} {
		s := side(t)
		s.dialer.Control = func(string, string, syscall.RawConn) error { return os.NewSyscallError("connect", err) }
		if end, _ := s.send(shot("127.0.0.1:9", "GET", "")); end != want {
			t.Errorf("%v: %v, want %v", err, end, want)
		}
		if s.dialer.open != 0 || s.dialer.dialing != 0 {
			t.Errorf("%v: %d descriptors and %d dials are still counted", err, s.dialer.open, s.dialer.dialing)
		}
	}
	if errors.Is(syscall.EAGAIN, os.ErrDeadlineExceeded) {
		t.Error("EAGAIN can't be told from a time-out")
	}
}
