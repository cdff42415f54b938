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

// DocumentedErrors maps each call to the errors that its manual page documents, except those that a programming error causes (EBADF,
// EFAULT, EINVAL, ENOTSOCK).
var DocumentedErrors = map[Call][]syscall.Errno{
	Read:     {syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	Peek:     {syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	Count:    {syscall.ENOTTY},
	Write:    {syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO, syscall.EPERM},
	Poll:     {syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM},
	Lock:     {syscall.EINTR, syscall.EAGAIN, syscall.EACCES, syscall.ENOLCK},
	ReadFile: {syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EIO, syscall.ENOENT},
	Put:      {syscall.EINTR, syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS, syscall.EMFILE, syscall.ENFILE},
	Connect: {syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.EPERM, syscall.EACCES, syscall.EINTR},
	Accept: {syscall.EINTR, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM},
}

// injected returns the error to inject into a call; nil if injection is off.
var injected atomic.Pointer[func(Call) error]

// InjectErrors injects the errors that f returns into all following calls; a nil error lets the call run. A nil f ends the injection.
func InjectErrors(f func(Call) error) {
	if f == nil {
		injected.Store(nil)
		return
	}
	injected.Store(&f)
}

// InjectErrorTimes injects err into the next calls of the target kind, as many as times says. It replaces any earlier injection, and the
// next call of InjectErrors or InjectErrorTimes ends it.
func InjectErrorTimes(target Call, err error, times int64) {
	var remaining atomic.Int64
	remaining.Store(times)
	InjectErrors(func(call Call) error {
		if call == target && remaining.Add(-1) >= 0 {
			return os.NewSyscallError(string(call), err)
		}
		return nil
	})
}

// injectedFailure returns the error to inject into a call, or nil.
func injectedFailure(call Call) error {
	if f := injected.Load(); f != nil {
		return (*f)(call)
	}
	return nil
}

// init turns on random failures if the environment variable FailureRateEnv is a number above 0.
func init() {
	rate, err := strconv.ParseFloat(os.Getenv(FailureRateEnv), 64)
	if err != nil || rate <= 0 {
		return
	}
	InjectErrors(func(call Call) error {
		if rand.Float64() >= rate {
			return nil
		}
		errs := DocumentedErrors[call]
		err := errs[rand.IntN(len(errs))]
		if (call == Read || call == Write) && (err == syscall.EIO || err == syscall.EPERM) {
			return nil
		}
		return os.NewSyscallError(string(call), err)
	})
}

// failingConn injects errors into the reads and writes of a connection.
type failingConn struct{ net.Conn }

// wrapConn returns c with errors injected into its reads and writes.
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
