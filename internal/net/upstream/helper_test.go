package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"go.uber.org/zap"
)

func newTestClient(t *testing.T) *Client {
	client := New(Limits{MaxConns: 8, MaxAttempts: 8, ConnectTimeout: 100 * time.Millisecond, IdleTimeout: time.Second, MaxBufferedBody: 1 << 10, MaxStreamedBody: 1 << 10},
		zap.NewNop())
	t.Cleanup(client.Close)
	return client
}

func newAttempt(address, method string, body string) *dispatch.Attempt {
	return &dispatch.Attempt{Request: &dispatch.Request{Method: method, Target: "/read/k", TraceID: "t", Body: []byte(body)},
		Address: address, Timeout: 500 * time.Millisecond}
}

// trackLatestConn returns a pointer to the connection that the client dialed last.
func trackLatestConn(client *Client) **conn {
	var last *conn
	dial := client.transport.DialContext
	client.transport.DialContext = func(ctx context.Context, network, key string) (net.Conn, error) {
		c, err := dial(ctx, network, key)
		last, _ = c.(*conn)
		return c, err
	}
	return &last
}

// hasUnread reports whether the socket holds unread bytes or an EOF.
func hasUnread(c *conn) bool {
	unread, _ := c.hasUnreadInput()
	return unread
}

// rawServer starts a TCP server and returns its address. handle is called for each request, and writes the answer to the
// connection itself. nth is the number of earlier requests on that connection.
func rawServer(t *testing.T, handle func(c net.Conn, r *http.Request, nth int)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for br, nth := bufio.NewReader(c), 0; ; nth++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					handle(c, r, nth)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client.(*net.TCPConn), server.(*net.TCPConn)
}
