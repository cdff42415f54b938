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

// connPair gives a connection as a node has it, and its client's end.
func connPair(t *testing.T) (*limitedListener, *clientConn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited := newLimitedListener(l, 8, func(time.Duration) {}, zap.NewNop())
	t.Cleanup(func() { limited.Close() })
	clientSide, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	serverSide, err := limited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { serverSide.Close(); clientSide.Close() })
	return limited, serverSide.(*clientConn), clientSide.(*net.TCPConn)
}

// rawReader reads a connection's bytes, whatever they are.
type rawReader struct{ *clientConn }

func (c rawReader) Read(b []byte) (int, error) { return c.readWait(b) }

// Bytes are read in order and once, whoever looks for the client's end meanwhile; what was read ahead is bounded and counted.
func TestReadAheadKeepsByteOrder(t *testing.T) {
	for seed := range int64(8) {
		r := rand.New(rand.NewSource(seed))
		listener, serverSide, clientSide := connPair(t)
		sent := make([]byte, r.Intn(12<<20))
		_, _ = r.Read(sent)
		pauses := rand.New(rand.NewSource(seed))
		go func() {
			for rest := sent; len(rest) > 0; {
				n := min(len(rest), 1+pauses.Intn(200<<10))
				_, _ = clientSide.Write(rest[:n])
				rest = rest[n:]
			}
			_ = clientSide.CloseWrite()
		}()
		readDone := make(chan struct{})
		var checks sync.WaitGroup
		checks.Go(func() {
			for {
				select {
				case <-readDone:
					return
				default:
					serverSide.clientGone()
				}
				if buffered := listener.readAhead.Load(); buffered > maxReadAheadTotal+64<<10 || buffered < 0 {
					t.Errorf("%d bytes are held", buffered)
				}
			}
		})
		time.Sleep(time.Duration(r.Intn(20)) * time.Millisecond)
		got, err := io.ReadAll(rawReader{serverSide}) // Read would refuse them as a head without an end
		if err != nil || !bytes.Equal(got, sent) {
			t.Errorf("seed %d: %d of %d bytes, %v", seed, len(got), len(sent), err)
		}
		close(readDone)
		checks.Wait()
		if !serverSide.clientGone() || listener.readAhead.Load() != 0 {
			t.Errorf("gone %v, %d bytes held", serverSide.clientGone(), listener.readAhead.Load())
		}
	}
}

// An end behind a full window is seen; a client that only writes much is there, and what was read ahead is given back at the close. A read
// that waits for bytes which another takes ahead of it gets them; one beyond its deadline gets what came before it, and nothing else.
func TestClientCloseBehindFullWindowIsDetected(t *testing.T) {
	for _, closes := range []bool{true, false} {
		listener, serverSide, clientSide := connPair(t)
		writeDone := make(chan bool)
		go func() {
			_, _ = clientSide.Write(make([]byte, 3<<20))
			close(writeDone)
		}()
		time.Sleep(20 * time.Millisecond)
		if closes {
			clientSide.Close()
		}
		if serverSide.clientGone() != closes {
			t.Errorf("ends %v, and is taken for the other", closes)
		}
		if buffered := listener.readAhead.Load(); buffered == 0 || buffered > maxReadAheadPerConn+64<<10 {
			t.Errorf("%d bytes are held", buffered)
		}
		_ = serverSide.SetReadDeadline(time.Now().Add(-time.Second))
		if _, err := serverSide.readWait(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("beyond its deadline: %v", err)
		}
		if n, err := serverSide.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Errorf("beyond its deadline, of what came before it: %d, %v", n, err)
		}
		_, silent, _ := connPair(t)
		_ = silent.SetReadDeadline(time.Now().Add(-time.Second))
		if n, err := silent.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("beyond its deadline, of nothing: %d, %v", n, err)
		}
		serverSide.Close()
		if buffered := listener.readAhead.Load(); buffered != 0 {
			t.Errorf("%d bytes are held after the close", buffered)
		}
		<-writeDone
	}
}
