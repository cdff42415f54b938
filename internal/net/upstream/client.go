// Package upstream sends attempts to the cache servers and the origin over http.Transport, and determines the result of
// each attempt. It limits descriptors and dials, and ensures that no request is written twice, or written after its
// client has disconnected.
package upstream

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// Limits bounds the resources and times of a Client.
type Limits struct {
	MaxConns        int           // connections to servers, dials included
	MaxAttempts     int           // in flight; further attempts end with NoResources and are not sent
	ConnectTimeout  time.Duration // of a dial
	IdleTimeout     time.Duration // after which servers close an idle connection
	MaxBufferedBody int64         // largest body, in bytes, that is read to its end before the answer is delivered
	MaxStreamedBody int64         // largest body, in bytes, that is streamed to the client

	MaxStreamDuration time.Duration // of an answer over MaxBufferedBody, from when it is known to be
}

const (
	// idleTimeoutFactor is the part of the servers' idle timeout after which this side closes an idle connection. It closes
	// before the server does, so that no request is sent while the server is closing the connection.
	idleTimeoutFactor = 0.7

	maxIdleDivisor = 2        // at most half of the descriptors are idle connections, so that dials find free ones
	maxHeaderBytes = 16 << 10 // of an answer's headers; usual ones take some hundred bytes
	bufferBytes    = 4 << 10  // of each connection's read and write buffer
)

// earlyFinishDivisor is used when the safeguard faults.OneAttempt is disabled: every attempt is then reported as timed
// out after this part of its timeout, while it is still in flight.
const earlyFinishDivisor = 8

// Client implements dispatch.Transport. Its methods are safe for concurrent use and do not block.
type Client struct {
	log       *zap.Logger
	transport *http.Transport
	dialer    *dialer
	limits    Limits
	inFlight  atomic.Int64
	stalls    stallDetector
	context   context.Context // canceled by Close
	stop      context.CancelFunc
}

// New returns a Client that has no connections yet.
func New(limits Limits, log *zap.Logger) *Client {
	d := newDialer(limits)
	c := &Client{log: log, dialer: d, limits: limits, transport: &http.Transport{
		Proxy:                  nil, // ignore proxies set in the environment
		DialContext:            d.dial,
		DisableCompression:     true,
		MaxIdleConns:           max(1, limits.MaxConns/maxIdleDivisor),
		MaxIdleConnsPerHost:    max(1, limits.MaxConns/maxIdleDivisor),
		IdleConnTimeout:        time.Duration(float64(limits.IdleTimeout) * idleTimeoutFactor),
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}}
	c.context, c.stop = context.WithCancel(context.Background())
	return c
}

// Close cancels the attempts in flight and closes the idle connections.
func (c *Client) Close() {
	c.stop()
	c.transport.CloseIdleConnections()
}

// Resize sets how many descriptors connections may use, and closes idle connections in excess of that.
func (c *Client) Resize(descriptors int) { c.dialer.resize(descriptors) }

// CloseIdleConnections closes all but keep of an endpoint's idle connections. It does so in a new goroutine.
func (c *Client) CloseIdleConnections(incarnation uint64, keep int) {
	go c.dialer.closeIdle(poolKey(incarnation), keep)
}

// SetMaxConnsPerCache limits the connections to each cache server, dials included.
func (c *Client) SetMaxConnsPerCache(n int) { c.dialer.setMaxConnsPerCache(n) }

// Send sends an attempt, then finishes and releases it. It does so in a new goroutine.
func (c *Client) Send(a *dispatch.Attempt) {
	go func() {
		defer c.inFlight.Add(-1)
		result := dispatch.NoResources
		answer := dispatch.Answer{}
		// A panic must finish the attempt too: an attempt that is never finished keeps its request in flight forever.
		defer func() {
			if r := recover(); r != nil {
				c.log.Error("attempt panicked", zap.Any("panic", r), zap.Stack("stack"))
				result = dispatch.ConnectionLost
				answer = dispatch.Answer{}
			}
			a.Finish(result, answer)
		}()
		if faults.Disabled(faults.OneAttempt) {
			time.AfterFunc(a.Timeout/earlyFinishDivisor, func() { a.Finish(dispatch.TimedOut, dispatch.Answer{}) })
		}
		if c.inFlight.Add(1) <= int64(c.limits.MaxAttempts) {
			result, answer = c.send(a)
		}
	}()
}
