//go:build faults

package kernel

import (
	"errors"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// A call that fails with EINTR is retried without limit. A call that fails for lack of kernel memory (ENOMEM, ENOBUFS, and EAGAIN from poll) is
// retried at most maxTransientRetries times. Any other error is returned at once.
func TestTransientErrorsAreRetried(t *testing.T) {
	t.Cleanup(func() { InjectErrors(nil) })
	conn, peer, raw := connPair(t)
	if _, err := peer.Write(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { ready, _ := poll(raw, unix.POLLIN); return ready != 0 })
	path := t.TempDir() + "/f"
	calls := map[Call]func() error{
		Peek: func() (err error) {
			_ = raw.Control(func(fd uintptr) { _, err = PeekSocket(fd, make([]byte, 1)) })
			return err
		},
		Read: func() (err error) {
			_ = raw.Control(func(fd uintptr) { _, err = ReadSocket(fd, make([]byte, 1)) })
			return err
		},
		Poll:     func() error { _, err := poll(raw, unix.POLLIN); return err },
		Write:    func() error { _, err := WriteAll(conn.Write, []byte("x")); return err },
		Put:      func() error { return ReplaceFile(path, []byte("x")) },
		ReadFile: func() error { _, err := ReadFileContents("/dev/null"); return err },
	}
	for call, do := range calls {
		InjectErrorTimes(call, syscall.EINTR, 20)
		if err := do(); err != nil {
			t.Errorf("%s: %v after EINTR", call, err)
		}
		for _, transient := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS} {
			InjectErrorTimes(call, transient, maxTransientRetries)
			if err := do(); err != nil {
				t.Errorf("%s: %v after a transient error", call, err)
			}
			InjectErrorTimes(call, transient, maxTransientRetries+1)
			if err := do(); !errors.Is(err, transient) {
				t.Errorf("%s: %v after the retries, want %v", call, err, transient)
			}
		}
		if call == Poll {
			InjectErrorTimes(call, syscall.EAGAIN, 1<<40) // more failures than retries
			if err := do(); !errors.Is(err, syscall.EAGAIN) {
				t.Errorf("%s: %v, want EAGAIN after the retries", call, err)
			}
		}
		InjectErrorTimes(call, syscall.EIO, 1)
		if err := do(); !errors.Is(err, syscall.EIO) {
			t.Errorf("%s: %v, want EIO", call, err)
		}
	}
}
