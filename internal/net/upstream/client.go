// Package upstream carries shots to the cache servers and the origin over http.Transport, and finds out how
// each one ended.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// Limits is what the servers' side may take.
type Limits struct {
	Descriptors    int           // connections to servers, open or being made
	MaxAttempts    int           // out at once; a shot beyond them isn't sent
	ConnectTimeout time.Duration // a connection that isn't up by then is given up
	IdleTimeout    time.Duration // a server closes a connection that was idle for so long
	MaxBuffered    int64         // of an answer that is held whole, in bytes,
	MaxStreamed    int64         // and of one that is passed on as it comes
}

const (
	idlePart     = 0.7      // share of the servers' idle limit after which we close, lest a shot cross theirs
	headersMost  = 16 << 10 // bytes of an answer's headers; real ones take some hundred
	bufferSize   = 4 << 10  // bytes of each connection's two buffers
	dialsPart    = 4        // a quarter of the descriptors may be dials, the rest can go on
	dialsEach    = 32       // to one server: more at once wouldn't come up any sooner
	earlyPart    = 8        // of a shot's time, where the rig wants it told to be over too early
	keepIdlePart = 2        // half of the descriptors may lie idle, so that a dial finds one
)

// Client is the server side of a node.
type Client struct {
	log       *zap.Logger
	transport *http.Transport
	dialer    *dialer
	bounds    Limits
	out       atomic.Int64
	pauses    pauses
	context   context.Context
	stop      context.CancelFunc
}

// New makes the server side.
func New(b Limits, log *zap.Logger) *Client {
	d := &dialer{Dialer: net.Dialer{Timeout: b.ConnectTimeout, KeepAlive: -1}, most: b.Descriptors, each: dialsEach, to: map[string]int{},
		kept: map[string]map[*conn]bool{}}
	s := &Client{log: log, dialer: d, bounds: b, transport: &http.Transport{
		Proxy:                  nil, // never one from the environment
		DialContext:            d.dial,
		DisableCompression:     true,
		MaxIdleConns:           max(1, b.Descriptors/keepIdlePart),
		MaxIdleConnsPerHost:    max(1, b.Descriptors/keepIdlePart),
		IdleConnTimeout:        time.Duration(float64(b.IdleTimeout) * idlePart),
		MaxResponseHeaderBytes: headersMost,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}}
	s.context, s.stop = context.WithCancel(context.Background())
	return s
}

// Close takes back what is out.
func (s *Client) Close() {
	s.stop()
	s.transport.CloseIdleConnections()
}

// Resize changes how many descriptors connections to servers may take; idle ones beyond that are closed.
func (s *Client) Resize(descriptors int) { s.dialer.resize(descriptors) }

// CloseIdle closes the connections to a place that carry nothing, but for so many, without making its caller wait.
func (s *Client) CloseIdle(place uint64, but int) { go s.dialer.hangUp(placeOf(place), but) }

// SetMaxConns bounds the connections to each cache, those being made included.
func (s *Client) SetMaxConns(n int) { s.dialer.bound(n) }

// Send sends a shot and settles it, without making its caller wait.
func (s *Client) Send(shot *dispatch.Attempt) {
	go func() {
		defer s.out.Add(-1)
		end, answer := dispatch.NoResources, dispatch.Answer{}
		// A panic must not take the node down, and a shot that settled nowhere would keep its lookup for ever.
		defer func() {
			if r := recover(); r != nil {
				s.log.Error("a shot panicked", zap.Any("panic", r), zap.Stack("stack"))
				end, answer = dispatch.ConnectionLost, dispatch.Answer{}
			}
			shot.Finish(end, answer)
			shot.Release()
		}()
		if faults.Without(faults.OneAttempt) {
			time.AfterFunc(shot.Timeout/earlyPart, func() { shot.Finish(dispatch.TimedOut, dispatch.Answer{}) })
		}
		if s.out.Add(1) <= int64(s.bounds.MaxAttempts) {
			end, answer = s.send(shot)
		}
	}()
}
