// Package kernel makes the system calls that the node doesn't leave to the standard library. A call that a signal interrupts is
// retried without limit. A call that fails for lack of kernel memory is retried at most maxTransientRetries times. Builds with the
// tag faults can inject errors into these calls, and into connect, read and write of the standard library's connections.
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

// Call is a kind of system call, or of a sequence of them. Its value is the name in the text of injected errors.
type Call string

// The kinds of calls.
const (
	Read     Call = "read"  // of a socket, non-blocking
	Peek     Call = "peek"  // recv with MSG_PEEK, non-blocking
	Count    Call = "count" // ioctl with SIOCINQ
	Write    Call = "write" // of a socket
	Poll     Call = "poll"
	Lock     Call = "lock"      // fcntl lock commands on an open file description
	ReadFile Call = "read file" // open, read and close a file
	Put      Call = "put file"  // write a temporary file and rename it
	Connect  Call = "connect"   // socket and connect
	Accept   Call = "accept"
)

// FailureRateEnv is the name of the environment variable that sets the fraction of calls for which an error is drawn in a build with the
// tag faults. The error is one of the call's documented errors and is injected, except for an error of Read or Write
// that would end a connection: the call then runs, since the client couldn't get a response after that error.
const FailureRateEnv = "THISTLERUDDER_KERNEL_FAILURES"

const (
	maxTransientRetries = 4
	transientRetryDelay = 500 * time.Microsecond
)

// isTransient reports whether a call failed because the kernel lacked memory, so that a retry may succeed. poll(2) may return EAGAIN in
// that case.
func isTransient(call Call, err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS) || call == Poll && errors.Is(err, syscall.EAGAIN)
}

// retry repeats a call after EINTR, without limit, and after transient errors, at most maxTransientRetries times with
// transientRetryDelay before each retry, so it blocks for at most their product in addition to the calls themselves. It returns the result
// of the last call.
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

// Failure returns the error to inject into a call that the standard library makes, or nil. It is always nil in builds without the tag
// faults.
func Failure(call Call) error { return injectedFailure(call) }

// ReadSocket reads the bytes available from a socket, without blocking. It returns 0 and no error at the end of the stream, and EAGAIN
// if no bytes are available.
func ReadSocket(fd uintptr, b []byte) (n int, err error) {
	n, err = retry(Read, func() (int, error) { return syscall.Read(int(fd), b) })
	return max(n, 0), err
}

// PeekSocket is like ReadSocket but leaves the bytes in the socket's receive buffer.
func PeekSocket(fd uintptr, b []byte) (n int, err error) {
	n, err = retry(Peek, func() (int, error) {
		n, _, err := syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n, err
	})
	return max(n, 0), err
}

// UnreadBytes returns the number of bytes in a socket's receive buffer.
func UnreadBytes(fd uintptr) (int, error) {
	return retry(Count, func() (int, error) { return unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
}

// ReceiveState is what the kernel tells of a TCP socket's receiving side.
type ReceiveState struct {
	Unread     int           // bytes in the receive buffer
	BufferSize int           // of the receive buffer, in bytes, overhead included
	Window     int           // bytes that the peer may send, as last told to it; 0 also in kernels before 6.2, which don't tell
	Segment    int           // bytes of the peer's full segments, as far as known
	SinceData  time.Duration // since the last data came
}

// SinceData returns the time since data last came on a TCP socket, in ticks of the kernel's.
func SinceData(fd uintptr) (time.Duration, error) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return sinceData(info), nil
}

func sinceData(info *unix.TCPInfo) time.Duration {
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// ReceiveStateOf returns the state of a TCP socket's receiving side.
func ReceiveStateOf(fd uintptr) (state ReceiveState, err error) {
	if state.Unread, err = UnreadBytes(fd); err != nil {
		return state, err
	}
	if state.BufferSize, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF); err != nil {
		return state, err
	}
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return state, err
	}
	state.Window, state.Segment = int(info.Rcv_wnd), int(info.Rcv_mss)
	state.SinceData = sinceData(info)
	return state, nil
}

// processStart is when this process started, by its own clock.
var processStart = time.Now()

// SinceBoot returns the time since the machine's start, which all processes measure alike and no step of the wall clock changes. Where the machine doesn't
// tell, it is the time since the process's start.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

// PollNow returns the subset of events that are ready on a descriptor, without blocking.
func PollNow(fd uintptr, events int16) (ready int16, err error) {
	descriptors := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if _, err := retry(Poll, func() (int, error) { return unix.Poll(descriptors, 0) }); err != nil {
		return 0, err
	}
	return descriptors[0].Revents & events, nil
}

// FileLock runs an fcntl lock command on an open file description.
func FileLock(fd uintptr, command int, lock *unix.Flock_t) error {
	_, err := retry(Lock, func() (struct{}, error) { return struct{}{}, unix.FcntlFlock(fd, command, lock) })
	return err
}

// ReadFileContents returns the contents of a file.
func ReadFileContents(path string) ([]byte, error) {
	return retry(ReadFile, func() ([]byte, error) { return os.ReadFile(path) })
}

// ReplaceFile replaces the file at path. If the process is killed, the file has either the old or the new contents. If the machine loses
// power, it may have neither, as there is no fsync. ReplaceFile first writes path + ".new", so it must not run concurrently for the same path.
func ReplaceFile(path string, contents []byte) error {
	_, err := retry(Put, func() (struct{}, error) {
		temporary := path + ".new"
		if err := os.WriteFile(temporary, contents, 0o600); err != nil {
			return struct{}{}, err
		}
		return struct{}{}, os.Rename(temporary, path)
	})
	return err
}

// WriteAll writes all of b to a connection and returns the number of bytes written. A retry continues after the bytes already written.
func WriteAll(write func([]byte) (int, error), b []byte) (n int, err error) {
	_, err = retry(Write, func() (int, error) {
		written, err := write(b[n:])
		n += written
		return written, err
	})
	return n, err
}

// Dialer has the signature of net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// InjectConnectErrors returns a dialer that calls dial, and into which errors of connect(2) and socket(2) can be injected.
func InjectConnectErrors(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := injectedFailure(Connect); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return dial(ctx, network, address)
	}
}

// InjectConnErrors is like InjectConnectErrors, but errors can also be injected into reads and writes of the connection. It is for
// connections that only the standard library reads and writes; the calls of this package inject errors themselves.
func InjectConnErrors(dial Dialer) Dialer {
	connect := InjectConnectErrors(dial)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrapConn(c), nil
	}
}
