// Package upstream carries attempts to the cache servers and the origin over http.Transport, and finds out how each one
// ended. It bounds descriptors and dials, and makes sure that no request is written twice, or written after the client
// has gone.
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

// Limits bounds what a Client may use.
type Limits struct {
	Descriptors    int           // connections to servers, dials included
	MaxAttempts    int           // in flight; one beyond them is not sent
	ConnectTimeout time.Duration // a connection that isn't up by then is given up
	IdleTimeout    time.Duration // after which a server closes an idle connection
	MaxBuffered    int64         // bytes of an answer that is read whole before it counts
	MaxStreamed    int64         // bytes of an answer that is forwarded as it comes
}

const (
	idleTimeoutFactor = 0.7      // of the servers' idle timeout: we close first, so that no request crosses their close
	maxIdleDivisor    = 2        // half of the descriptors may be idle connections, so that a dial finds a free one
	maxHeaderBytes    = 16 << 10 // of an answer's headers; real ones take some hundred bytes
	bufferBytes       = 4 << 10  // of each connection's read and write buffer
)

// earlyFinishDivisor is the part of an attempt's time after which the fault "one attempt" reports it as timed out.
const earlyFinishDivisor = 8

// Client implements dispatch.Transport. Its methods may be called from any goroutine and do not block.
type Client struct {
	log       *zap.Logger
	transport *http.Transport
	dialer    *dialer
	limits    Limits
	inFlight  atomic.Int64
	stalls    stallDetector
	context   context.Context // ends with Close
	stop      context.CancelFunc
}

// New returns a Client that has no connections yet.
func New(limits Limits, log *zap.Logger) *Client {
	d := newDialer(limits)
	c := &Client{log: log, dialer: d, limits: limits, transport: &http.Transport{
		Proxy:                  nil, // never one from the environment
		DialContext:            d.dial,
		DisableCompression:     true,
		MaxIdleConns:           max(1, limits.Descriptors/maxIdleDivisor),
		MaxIdleConnsPerHost:    max(1, limits.Descriptors/maxIdleDivisor),
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

// Resize changes how many descriptors connections may take. Idle connections beyond that are closed.
func (c *Client) Resize(descriptors int) { c.dialer.resize(descriptors) }

// CloseIdle closes an endpoint's idle connections, except for keep of them, in a goroutine of its own.
func (c *Client) CloseIdle(incarnation uint64, keep int) {
	go c.dialer.closeIdle(poolKey(incarnation), keep)
}

// SetMaxConns bounds the connections to each cache server, dials included.
func (c *Client) SetMaxConns(n int) { c.dialer.setMaxConnsPerCache(n) }

// Send carries an attempt, and finishes and releases it, in a goroutine of its own.
func (c *Client) Send(a *dispatch.Attempt) {
	go func() {
		defer c.inFlight.Add(-1)
		result := dispatch.NoResources
		answer := dispatch.Answer{}
		// An attempt that is never finished would keep its request for good, so a panic finishes it too.
		defer func() {
			if r := recover(); r != nil {
				c.log.Error("attempt panicked", zap.Any("panic", r), zap.Stack("stack"))
				result = dispatch.ConnectionLost
				answer = dispatch.Answer{}
			}
			a.Finish(result, answer)
			a.Release()
		}()
		if faults.Without(faults.OneAttempt) {
			time.AfterFunc(a.Timeout/earlyFinishDivisor, func() { a.Finish(dispatch.TimedOut, dispatch.Answer{}) })
		}
		if c.inFlight.Add(1) <= int64(c.limits.MaxAttempts) {
			result, answer = c.send(a)
		}
	}()
}
