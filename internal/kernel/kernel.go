// Package kernel makes the system calls that the node doesn't leave to the standard library. It retries a call that a signal
// interrupted, and a few times one for which the machine lacked memory. Builds with the tag faults can inject errors into these calls,
// and into connect, read and write of the standard library's connections.
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

// The kinds of system call.
const (
	Read     Call = "read"  // of a socket, without waiting
	Peek     Call = "peek"  // recv with MSG_PEEK, without waiting
	Write    Call = "write" // of a socket
	Poll     Call = "poll"
	Lock     Call = "lock"      // fcntl, on an open file description
	ReadFile Call = "read file" // open, read and close
	Put      Call = "put file"  // write a new file, and rename it
	Connect  Call = "connect"   // socket and connect
	Accept   Call = "accept"
)

// RateVariable is the environment variable with the fraction of calls that fail in a build with the tag faults. They fail with their
// documented errors, but for those that end a connection, after which no client could be answered.
const RateVariable = "THISTLERUDDER_KERNEL_FAILURES"

const (
	maxTransientRetries = 4
	transientRetryDelay = 500 * time.Microsecond
)

// isTransient reports whether a call failed for lack of memory in the kernel, so that a retry may succeed. poll(2) may return EAGAIN
// for that.
func isTransient(call Call, err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS) || call == Poll && errors.Is(err, syscall.EAGAIN)
}

// retry makes a call until it succeeds or fails with an error that isn't transient. It blocks for at most maxTransientRetries times
// transientRetryDelay beside the calls themselves.
func retry[T any](call Call, do func() (T, error)) (result T, err error) {
	for retries := 0; ; {
		if err = injectedFailure(call); err == nil {
			result, err = do()
		}
		switch {
		case errors.Is(err, syscall.EINTR):
		case isTransient(call, err) && retries < maxTransientRetries:
			retries++
			time.Sleep(transientRetryDelay)
		default:
			return result, err
		}
	}
}

// Failure returns the error to inject into a call that the standard library makes, nil for none. A release injects none.
func Failure(call Call) error { return injectedFailure(call) }

// ReadSocket reads the bytes available from a socket, without waiting. It returns 0 and no error at the end of the stream, and EAGAIN
// if no bytes are available.
func ReadSocket(fd uintptr, b []byte) (n int, err error) {
	n, err = retry(Read, func() (int, error) { return syscall.Read(int(fd), b) })
	return max(n, 0), err
}

// PeekSocket is like ReadSocket but leaves the bytes in the socket.
func PeekSocket(fd uintptr, b []byte) (n int, err error) {
	n, err = retry(Peek, func() (int, error) {
		n, _, err := syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n, err
	})
	return max(n, 0), err
}

// PollNow returns which of the events a descriptor has, without waiting.
func PollNow(fd uintptr, events int16) (ready int16, err error) {
	descriptors := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if _, err := retry(Poll, func() (int, error) { return unix.Poll(descriptors, 0) }); err != nil {
		return 0, err
	}
	return descriptors[0].Revents & events, nil
}

// FileLock runs an fcntl lock command on an open file.
func FileLock(fd uintptr, command int, lock *unix.Flock_t) error {
	_, err := retry(Lock, func() (struct{}, error) { return struct{}{}, unix.FcntlFlock(fd, command, lock) })
	return err
}

// FileText returns the contents of a file.
func FileText(path string) ([]byte, error) {
	return retry(ReadFile, func() ([]byte, error) { return os.ReadFile(path) })
}

// PutFile replaces the file at path atomically with respect to a kill of the process, not to a loss of power: there is no fsync. It
// writes path + ".new" first, so callers must not run it concurrently for one path.
func PutFile(path string, text []byte) error {
	_, err := retry(Put, func() (struct{}, error) {
		temporary := path + ".new"
		if err := os.WriteFile(temporary, text, 0o600); err != nil {
			return struct{}{}, err
		}
		return struct{}{}, os.Rename(temporary, path)
	})
	return err
}

// WriteAll writes all of b to a connection, and returns how many bytes it has written.
func WriteAll(write func([]byte) (int, error), b []byte) (n int, err error) {
	_, err = retry(Write, func() (int, error) {
		written, err := write(b[n:])
		n += written
		return written, err
	})
	return n, err
}

// Dialer connects as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Dialing returns a dialer into which errors of connect(2) and socket(2) can be injected.
func Dialing(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := injectedFailure(Connect); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return dial(ctx, network, address)
	}
}

// DialingWhole is like Dialing, for connections that only the standard library reads and writes: errors can be injected there too.
func DialingWhole(dial Dialer) Dialer {
	connect := Dialing(dial)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrapConn(c), nil
	}
}
