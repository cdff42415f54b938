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

// dup closes f and returns a duplicate of its descriptor, like one that a process inherits.
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

// Two processes that have a passed socket open both accept connections. After one has closed it, the other accepts all further connections.
func TestPassedSocketStaysOpenAfterOneListenerCloses(t *testing.T) {
	original, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer original.Close()
	var listeners []net.Listener
	for range 2 {
		f, err := original.(*net.TCPListener).File()
		l, err := ListenerFromFD(dup(t, f, err))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		listeners = append(listeners, l)
	}
	acceptedBy := make(chan int, 100)
	for i, l := range listeners {
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				c.Close()
				acceptedBy <- i
			}
		}()
	}
	dial := func(times int) {
		for range times {
			c, err := net.Dial("tcp", original.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		}
	}
	dial(20)
	for range 20 {
		<-acceptedBy
	}
	listeners[0].Close()
	dial(20)
	for range 20 {
		select {
		case i := <-acceptedBy:
			if i == 0 {
				t.Error("accepted by the listener that was closed")
			}
		case <-time.After(2 * time.Second):
			t.Fatal("a connection was not accepted")
		}
	}
}

func TestSocketRejectsOtherDescriptors(t *testing.T) {
	f, err := os.Open(os.DevNull)
	fileFD := dup(t, f, err)
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
	connFD := dup(t, f, err)
	unixListener, err := net.Listen("unix", t.TempDir()+"/s")
	if err != nil {
		t.Fatal(err)
	}
	defer unixListener.Close()
	f, err = unixListener.(*net.UnixListener).File()
	for kind, fd := range map[string]int{"a file": fileFD, "a connection": connFD, "nothing": 1 << 20,
		"a socket of another family": dup(t, f, err)} {
		if _, err := ListenerFromFD(fd); err == nil || !strings.Contains(err.Error(), "expected a listening TCP socket") {
			t.Errorf("%s: %v", kind, err)
		}
		_ = syscall.Close(fd)
	}
}

func TestMembershipCountsOtherProcesses(t *testing.T) {
	folder := t.TempDir()
	join := func(name string) *Membership {
		m, err := Join(folder, name)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	first, otherNode := join("n"), join("another node")
	if first.Others() != 0 || otherNode.Others() != 0 {
		t.Error("a single process counts other members")
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	counts := make(chan int, 10)
	go first.Follow(ctx, 0, time.Millisecond, func(n int) { counts <- n })
	second := join("n")
	if n := <-counts; n != 1 || second.Others() != 1 {
		t.Errorf("%d and %d others, want 1 each", n, second.Others())
	}
	third := join("n")
	if n := <-counts; n != 2 {
		t.Errorf("%d others, want 2", n)
	}
	third.Leave()
	second.Leave()
	for n := <-counts; n != 0; n = <-counts {
	}
	if rejoined := join("n"); rejoined.slot != 1 {
		t.Errorf("slot %d, want 1, which was released", rejoined.slot)
	}
	if m, err := Join("", "n"); err != nil || m.Others() != 0 {
		t.Error("without a folder Join must succeed and count no other members")
	}
	if _, err := Join(folder+"/none", "n"); err == nil {
		t.Error("Join must fail for a folder that doesn't exist")
	}
}
