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

// connPair returns a listener, a connection that it has accepted, and the client's side of that connection.
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

// rawReader reads a connection's bytes without parsing their framing.
type rawReader struct{ *clientConn }

func (c rawReader) Read(b []byte) (int, error) { return c.readWait(b) }

// Bytes must be read in order and exactly once while another goroutine checks for the client's disconnect. The bytes read ahead must be counted and stay
// within the limits.
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
					t.Errorf("%d bytes read ahead", buffered)
				}
			}
		})
		time.Sleep(time.Duration(r.Intn(20)) * time.Millisecond)
		got, err := io.ReadAll(rawReader{serverSide}) // clientConn.Read would reject them as a head that is too long
		if err != nil || !bytes.Equal(got, sent) {
			t.Errorf("seed %d: %d of %d bytes, %v", seed, len(got), len(sent), err)
		}
		close(readDone)
		checks.Wait()
		if !serverSide.clientGone() || listener.readAhead.Load() != 0 {
			t.Errorf("clientGone %v, %d bytes read ahead", serverSide.clientGone(), listener.readAhead.Load())
		}
	}
}

// A client's close behind a full TCP window must be detected, and a client that only writes many bytes must count as connected. A read must also
// return bytes that clientGone has read ahead while the read waited. Closing the connection releases the bytes read ahead. After the read deadline,
// Read must return the bytes that arrived before it, and otherwise fail with os.ErrDeadlineExceeded.
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
			t.Errorf("clientGone = %v, want %v", !closes, closes)
		}
		if buffered := listener.readAhead.Load(); buffered == 0 || buffered > maxReadAheadPerConn+64<<10 {
			t.Errorf("%d bytes read ahead", buffered)
		}
		_ = serverSide.SetReadDeadline(time.Now().Add(-time.Second))
		if _, err := serverSide.readWait(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("readWait after the deadline: %v", err)
		}
		if n, err := serverSide.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Errorf("Read after the deadline, bytes available: %d, %v", n, err)
		}
		_, silent, _ := connPair(t)
		_ = silent.SetReadDeadline(time.Now().Add(-time.Second))
		if n, err := silent.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("Read after the deadline, no bytes available: %d, %v", n, err)
		}
		serverSide.Close()
		if buffered := listener.readAhead.Load(); buffered != 0 {
			t.Errorf("%d bytes read ahead are counted after the close", buffered)
		}
		<-writeDone
	}
}
