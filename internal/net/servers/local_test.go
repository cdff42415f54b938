package servers

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"github.com/thistlerudder/thistlerudder/internal/net/exchange"
)

// An error of this machine in making a connection tells nothing of the server. connect(2) and socket(2) document which there are; only
// what the server's machine or the way to it answered counts against it.
func TestTroubleOfThisMachineIsNotTheServers(t *testing.T) {
	for err, want := range map[syscall.Errno]exchange.End{
		syscall.EADDRNOTAVAIL: exchange.NoRoom, syscall.EADDRINUSE: exchange.NoRoom, syscall.EAGAIN: exchange.NoRoom, syscall.ENOBUFS: exchange.NoRoom,
		syscall.ENOMEM: exchange.NoRoom, syscall.EMFILE: exchange.NoRoom, syscall.ENFILE: exchange.NoRoom, syscall.ENETUNREACH: exchange.NoRoom,
		syscall.ENETDOWN: exchange.NoRoom, syscall.EPERM: exchange.NoRoom, syscall.EACCES: exchange.NoRoom, syscall.EAFNOSUPPORT: exchange.NoRoom,
		syscall.EINTR: exchange.NoRoom, syscall.EINVAL: exchange.NoRoom,
		syscall.ECONNREFUSED: exchange.Unreached, syscall.EHOSTUNREACH: exchange.Unreached, syscall.EHOSTDOWN: exchange.Unreached,
		syscall.ETIMEDOUT: exchange.Unheard, syscall.ECONNRESET: exchange.Unwritten,
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
