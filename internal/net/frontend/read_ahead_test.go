package frontend

import (
	"bytes"
	"errors"
	"io"
	"math/rand"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// pair gives a connection as a node has it, and its client's end.
func pair(t *testing.T) (*limitedListener, *clientConn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := newLimitedListener(l, 8, func(time.Duration) {}, zap.NewNop())
	t.Cleanup(func() { b.Close() })
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := b.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return b, near.(*clientConn), far.(*net.TCPConn)
}

// taken reads a connection's bytes, whatever they are.
type taken struct{ *clientConn }

func (c taken) Read(b []byte) (int, error) { return c.readWait(b) }

// Bytes are read in order and once, whoever looks for the client's end meanwhile; what was read ahead is bounded and counted.
func TestBytesReadAheadComeInOrder(t *testing.T) {
	for seed := range int64(8) {
		r := rand.New(rand.NewSource(seed))
		b, near, far := pair(t)
		sent := make([]byte, r.Intn(12<<20))
		_, _ = r.Read(sent)
		pauses := rand.New(rand.NewSource(seed))
		go func() {
			for left := sent; len(left) > 0; {
				n := min(len(left), 1+pauses.Intn(200<<10))
				_, _ = far.Write(left[:n])
				left = left[n:]
			}
			_ = far.CloseWrite()
		}()
		over := make(chan struct{})
		var looks sync.WaitGroup
		looks.Go(func() {
			for {
				select {
				case <-over:
					return
				default:
					near.clientGone()
				}
				if held := b.readAhead.Load(); held > maxReadAheadTotal+64<<10 || held < 0 {
					t.Errorf("%d bytes are held", held)
				}
			}
		})
		time.Sleep(time.Duration(r.Intn(20)) * time.Millisecond)
		got, err := io.ReadAll(taken{near}) // Read would refuse them as a head without an end
		if err != nil || !bytes.Equal(got, sent) {
			t.Errorf("seed %d: %d of %d bytes, %v", seed, len(got), len(sent), err)
		}
		close(over)
		looks.Wait()
		if !near.clientGone() || b.readAhead.Load() != 0 {
			t.Errorf("gone %v, %d bytes held", near.clientGone(), b.readAhead.Load())
		}
	}
}

// An end behind a full window is seen; a client that only writes much is there, and what was read ahead is given back at the close. A read
// that waits for bytes which another takes ahead of it gets them; one beyond its deadline gets what came before it, and nothing else.
func TestAnEndBehindAFullWindowIsSeen(t *testing.T) {
	for _, ends := range []bool{true, false} {
		b, near, far := pair(t)
		wrote := make(chan bool)
		go func() {
			_, _ = far.Write(make([]byte, 3<<20))
			close(wrote)
		}()
		time.Sleep(20 * time.Millisecond)
		if ends {
			far.Close()
		}
		if near.clientGone() != ends {
			t.Errorf("ends %v, and is taken for the other", ends)
		}
		if held := b.readAhead.Load(); held == 0 || held > maxReadAheadPerConn+64<<10 {
			t.Errorf("%d bytes are held", held)
		}
		_ = near.SetReadDeadline(time.Now().Add(-time.Second))
		if _, err := near.readWait(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("beyond its deadline: %v", err)
		}
		if n, err := near.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Errorf("beyond its deadline, of what came before it: %d, %v", n, err)
		}
		_, quiet, _ := pair(t)
		_ = quiet.SetReadDeadline(time.Now().Add(-time.Second))
		if n, err := quiet.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("beyond its deadline, of nothing: %d, %v", n, err)
		}
		near.Close()
		if held := b.readAhead.Load(); held != 0 {
			t.Errorf("%d bytes are held after the close", held)
		}
		<-wrote
	}
}
