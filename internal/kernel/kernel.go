// Package kernel makes the system calls that the node makes itself, beside those of the standard library. Each is made again where a
// signal interrupted it, and a few times where the machine lacked memory for it. Builds with the tag faults can let each of them fail, and those that the standard library makes.
package kernel

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Call is a kind of system call.
type Call string

// The calls.
const (
	Read     Call = "read"  // of a socket, without waiting
	Peek     Call = "peek"  // recv with MSG_PEEK, without waiting
	Write    Call = "write" // of a socket
	Poll     Call = "poll"
	Lock     Call = "lock"      // fcntl of an open file description
	ReadFile Call = "read file" // open, read and close
	Put      Call = "put file"  // write beside, and rename
	Connect  Call = "connect"   // socket and connect
	Accept   Call = "accept"
)

// RateVariable tells a process of a build with the tag faults which share of its calls is to fail, by documented errors but for those that
// end a connection: what was read from a client can't be answered then.
const RateVariable = "THISTLERUDDER_KERNEL_FAILURES"

const (
	shortTries = 4                      // further calls where the machine lacked memory: the lack passes as others give theirs back
	shortPause = 500 * time.Microsecond // before each of them
)

// short says that a call failed for want of memory of this machine: nothing is wrong with what it was made for, and the same call may
// succeed at once. poll(2) may say EAGAIN for that.
func short(call Call, err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS) || call == Poll && errors.Is(err, syscall.EAGAIN)
}

// again makes a call until it succeeds, or fails for a reason that does not pass. It waits shortTries times shortPause at the most.
func again[T any](call Call, do func() (T, error)) (result T, err error) {
	for tries := 0; ; {
		if err = failure(call); err == nil {
			result, err = do()
		}
		switch {
		case errors.Is(err, syscall.EINTR):
		case short(call, err) && tries < shortTries:
			tries++
			time.Sleep(shortPause)
		default:
			return result, err
		}
	}
}

// Failure gives the error by which a call is to fail that the standard library makes; in a release there is none.
func Failure(call Call) error { return failure(call) }

// ReadSocket reads what a socket has, without waiting: n 0 and no error is its end. EAGAIN: there is nothing now.
func ReadSocket(fd uintptr, b []byte) (n int, err error) {
	n, err = again(Read, func() (int, error) { return syscall.Read(int(fd), b) })
	return max(n, 0), err
}

// PeekSocket does the same and leaves the bytes where they are.
func PeekSocket(fd uintptr, b []byte) (n int, err error) {
	n, err = again(Peek, func() (int, error) {
		n, _, err := syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n, err
	})
	return max(n, 0), err
}

// PollNow looks which of the events of one descriptor are there, without waiting.
func PollNow(fd uintptr, events int16) (there int16, err error) {
	look := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if _, err := again(Poll, func() (int, error) { return unix.Poll(look, 0) }); err != nil {
		return 0, err
	}
	return look[0].Revents & events, nil
}

// FileLock makes a call for a lock on an open file.
func FileLock(fd uintptr, command int, at *unix.Flock_t) error {
	_, err := again(Lock, func() (struct{}, error) { return struct{}{}, unix.FcntlFlock(fd, command, at) })
	return err
}

// FileText reads a whole file.
func FileText(path string) ([]byte, error) {
	return again(ReadFile, func() ([]byte, error) { return os.ReadFile(path) })
}

// PutFile puts a whole new file in the place of the one at path: killed at any moment, it leaves one of the two. It writes path + ".new",
// so only one may do so at a time.
func PutFile(path string, text []byte) error {
	_, err := again(Put, func() (struct{}, error) {
		aside := path + ".new"
		if err := os.WriteFile(aside, text, 0o600); err != nil {
			return struct{}{}, err
		}
		return struct{}{}, os.Rename(aside, path)
	})
	return err
}

// WriteAll writes to a connection until all is out, or an error that does not pass. n is how many bytes are out.
func WriteAll(write func([]byte) (int, error), b []byte) (n int, err error) {
	_, err = again(Write, func() (int, error) {
		wrote, err := write(b[n:])
		n += wrote
		return wrote, err
	})
	return n, err
}

// Dialer makes connections, as net.Dialer's method does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Dialing gives a dialer whose calls of the kernel can fail as connect(2) and socket(2) do.
func Dialing(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := failure(Connect); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return dial(ctx, network, address)
	}
}

// DialingWhole is Dialing for connections that are only read and written by the standard library: those calls can fail too.
func DialingWhole(dial Dialer) Dialer {
	connect := Dialing(dial)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return whole(c), nil
	}
}
