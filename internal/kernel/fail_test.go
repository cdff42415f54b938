//go:build faults

package kernel

import (
	"errors"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// What was interrupted is made again, however often, and a few times where memory lacked; another error is given at once.
func TestCallsThatPassAreMadeAgain(t *testing.T) {
	t.Cleanup(func() { Fail(nil) })
	near, far, raw := pair(t)
	if _, err := far.Write(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	until(t, func() bool { there, _ := poll(raw, unix.POLLIN); return there != 0 })
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
		Write:    func() error { _, err := WriteAll(near.Write, []byte("x")); return err },
		Put:      func() error { return PutFile(path, []byte("x")) },
		ReadFile: func() error { _, err := FileText("/dev/null"); return err },
	}
	for call, do := range calls {
		FailTimes(call, syscall.EINTR, 20)
		if err := do(); err != nil {
			t.Errorf("%s: %v after an interruption", call, err)
		}
		for _, lack := range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS} {
			FailTimes(call, lack, shortTries)
			if err := do(); err != nil {
				t.Errorf("%s: %v after a moment's lack", call, err)
			}
			FailTimes(call, lack, shortTries+1)
			if err := do(); !errors.Is(err, lack) {
				t.Errorf("%s: %v, want the lack that lasts, %v", call, err, lack)
			}
		}
		if call == Poll {
			FailTimes(call, syscall.EAGAIN, 1<<40)
			if err := do(); !errors.Is(err, syscall.EAGAIN) {
				t.Errorf("%s: %v, want an end to a lack that lasts", call, err)
			}
		}
		FailTimes(call, syscall.EIO, 1)
		if err := do(); !errors.Is(err, syscall.EIO) {
			t.Errorf("%s: %v, want the input/output error", call, err)
		}
	}
}
