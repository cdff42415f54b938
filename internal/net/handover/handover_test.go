package handover

import (
	"context"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// dup gives a descriptor of its own for a file or socket, as a process inherits one.
func dup(t *testing.T, f *os.File, err error) int {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	return fd
}

// Two processes that hold a passed socket both take connections from it; when one has closed it, all are the other's.
func TestAPassedSocketOutlivesWhoClosesIt(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	var listeners []net.Listener
	for range 2 {
		f, err := held.(*net.TCPListener).File()
		l, err := Socket(dup(t, f, err))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		listeners = append(listeners, l)
	}
	came := make(chan int, 100)
	for i, l := range listeners {
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				c.Close()
				came <- i
			}
		}()
	}
	dial := func(n int) {
		for range n {
			c, err := net.Dial("tcp", held.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		}
	}
	dial(20)
	for range 20 {
		<-came
	}
	listeners[0].Close()
	dial(20)
	for range 20 {
		select {
		case i := <-came:
			if i == 0 {
				t.Error("taken by the one that has closed it")
			}
		case <-time.After(2 * time.Second):
			t.Fatal("a connection is lost")
		}
	}
}

func TestWhatIsNoListeningSocketIsNamed(t *testing.T) {
	f, err := os.Open(os.DevNull)
	file := dup(t, f, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	f, err = c.(*net.TCPConn).File()
	connection := dup(t, f, err)
	local, err := net.Listen("unix", t.TempDir()+"/s")
	if err != nil {
		t.Fatal(err)
	}
	defer local.Close()
	f, err = local.(*net.UnixListener).File()
	for what, fd := range map[string]int{"a file": file, "a connection": connection, "nothing": 1 << 20,
		"a socket of another family": dup(t, f, err)} {
		if _, err := Socket(fd); err == nil || !strings.Contains(err.Error(), "expected a listening TCP socket") {
			t.Errorf("%s: %v", what, err)
		}
		_ = syscall.Close(fd)
	}
}

func TestMembersAreCountedAndLeave(t *testing.T) {
	folder := t.TempDir()
	join := func(name string) *Membership {
		s, err := Join(folder, name)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	one, stranger := join("n"), join("another node")
	if one.Others() != 0 || stranger.Others() != 0 {
		t.Error("nobody else is there")
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	told := make(chan int, 10)
	go one.Follow(ctx, 0, time.Millisecond, func(n int) { told <- n })
	other := join("n")
	if n := <-told; n != 1 || other.Others() != 1 {
		t.Errorf("%d and %d others, want one each", n, other.Others())
	}
	third := join("n")
	if n := <-told; n != 2 {
		t.Errorf("%d others, want two", n)
	}
	third.Leave()
	other.Leave()
	for n := <-told; n != 0; n = <-told {
	}
	if again := join("n"); again.slot != 1 {
		t.Errorf("slot %d, want the one that was left", again.slot)
	}
	if s, err := Join("", "n"); err != nil || s.Others() != 0 {
		t.Error("without a folder no member is seen")
	}
	if _, err := Join(folder+"/none", "n"); err == nil {
		t.Error("a folder that isn't there must be told")
	}
}
