//go:build faults

package kernel

import (
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
)

// Documented has the errors that each call's manual page documents, but for those that a caller's mistake causes (EBADF, EFAULT, EINVAL,
// ENOTSOCK).
var Documented = map[Call][]syscall.Errno{
	Read:     {syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	Peek:     {syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	Write:    {syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO, syscall.EPERM},
	Poll:     {syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM},
	Lock:     {syscall.EINTR, syscall.EAGAIN, syscall.EACCES, syscall.ENOLCK},
	ReadFile: {syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EIO, syscall.ENOENT},
	Put:      {syscall.EINTR, syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS, syscall.EMFILE, syscall.ENFILE},
	Connect: {syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.EPERM, syscall.EACCES, syscall.EINTR},
	Accept: {syscall.EINTR, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM},
}

var injected atomic.Pointer[func(Call) error]

// Fail injects the errors that f returns, nil for none, into all calls from now on. A nil f ends the injection.
func Fail(f func(Call) error) {
	if f == nil {
		injected.Store(nil)
		return
	}
	injected.Store(&f)
}

// FailTimes injects an error into the next calls of one kind, a number of times, until the next call of Fail.
func FailTimes(target Call, err error, times int64) {
	var remaining atomic.Int64
	remaining.Store(times)
	Fail(func(call Call) error {
		if call == target && remaining.Add(-1) >= 0 {
			return os.NewSyscallError(string(call), err)
		}
		return nil
	})
}

func injectedFailure(call Call) error {
	if f := injected.Load(); f != nil {
		return (*f)(call)
	}
	return nil
}

func init() {
	rate, err := strconv.ParseFloat(os.Getenv(RateVariable), 64)
	if err != nil || rate <= 0 {
		return
	}
	Fail(func(call Call) error {
		if rand.Float64() >= rate {
			return nil
		}
		errs := Documented[call]
		err := errs[rand.IntN(len(errs))]
		if (call == Read || call == Write) && (err == syscall.EIO || err == syscall.EPERM) {
			return nil
		}
		return os.NewSyscallError(string(call), err)
	})
}

// failingConn injects errors into reads and writes.
type failingConn struct{ net.Conn }

func wrapConn(c net.Conn) net.Conn { return failingConn{c} }

func (c failingConn) Read(b []byte) (int, error) {
	if err := injectedFailure(Read); err != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
	}
	return c.Conn.Read(b)
}

func (c failingConn) Write(b []byte) (int, error) {
	if err := injectedFailure(Write); err != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
	}
	return c.Conn.Write(b)
}
