package kernel

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// connPair returns both ends of a loopback connection, and the raw connection of conn.
func connPair(t *testing.T) (conn *net.TCPConn, peer net.Conn, raw syscall.RawConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn = accepted.(*net.TCPConn)
	t.Cleanup(func() { peer.Close(); conn.Close() })
	if raw, err = conn.SyscallConn(); err != nil {
		t.Fatal(err)
	}
	return conn, peer, raw
}

// PeekSocket leaves the bytes for ReadSocket. Without available bytes both return EAGAIN; at the end of the stream ReadSocket returns 0 bytes
// and no error.
func TestSocketReadsDoNotBlock(t *testing.T) {
	_, peer, raw := connPair(t)
	buffer := make([]byte, 8)
	var n int
	var err error
	callOnSocket := func(f func(uintptr, []byte) (int, error)) {
		t.Helper()
		if controlErr := raw.Control(func(fd uintptr) { n, err = f(fd, buffer) }); controlErr != nil {
			t.Fatal(controlErr)
		}
	}
	for _, f := range []func(uintptr, []byte) (int, error){PeekSocket, ReadSocket} {
		if callOnSocket(f); n != 0 || !errors.Is(err, syscall.EAGAIN) {
			t.Errorf("%d bytes, %v, want 0 and EAGAIN", n, err)
		}
	}
	if _, err := peer.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { ready, _ := poll(raw, unix.POLLIN); return ready != 0 })
	for _, f := range []func(uintptr, []byte) (int, error){PeekSocket, ReadSocket} {
		if callOnSocket(f); n != 2 || err != nil {
			t.Errorf("%d bytes, %v, want 2", n, err)
		}
	}
	peer.Close()
	waitFor(t, func() bool { ready, _ := poll(raw, unix.POLLRDHUP); return ready != 0 })
	if callOnSocket(ReadSocket); n != 0 || err != nil {
		t.Errorf("%d bytes, %v, want 0 and no error at the end of the stream", n, err)
	}
}

// poll runs PollNow on the descriptor of raw.
func poll(raw syscall.RawConn, events int16) (ready int16, err error) {
	_ = raw.Control(func(fd uintptr) { ready, err = PollNow(fd, events) })
	return ready, err
}

// waitFor waits until condition returns true, for at most a second.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within a second")
		}
	}
}

// ReplaceFile replaces a file and leaves no temporary file behind. It returns an error for a path that can't be written.
func TestPutFileReplacesAtomically(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	for _, text := range []string{"one", "two"} {
		if err := ReplaceFile(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := ReadFileContents(path); string(got) != text || err != nil {
			t.Errorf("%q, %v, want %q", got, err, text)
		}
	}
	if _, err := os.Stat(path + ".new"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the temporary file is left over: %v", err)
	}
	if err := ReplaceFile(filepath.Join(path, "below"), nil); err == nil {
		t.Error("a file below a file was written")
	}
}
