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

// Bounds is what the servers' side may take.
type Bounds struct {
	Descriptors   int           // connections to servers, open or being made
	Shots         int           // out at once; a shot beyond them isn't sent
	ConnectWithin time.Duration // a connection that isn't up by then is given up
	IdleFor       time.Duration // a server closes a connection that was idle for so long
	Body          int64         // of an answer that is held whole, in bytes,
	Long          int64         // and of one that is passed on as it comes
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

// Servers is the server side of a node.
type Servers struct {
	log       *zap.Logger
	transport *http.Transport
	dialer    *dialer
	bounds    Bounds
	out       atomic.Int64
	pauses    pauses
	context   context.Context
	stop      context.CancelFunc
}

// New makes the server side.
func New(b Bounds, log *zap.Logger) *Servers {
	d := &dialer{Dialer: net.Dialer{Timeout: b.ConnectWithin, KeepAlive: -1}, most: b.Descriptors, each: dialsEach, to: map[string]int{},
		kept: map[string]map[*conn]bool{}}
	s := &Servers{log: log, dialer: d, bounds: b, transport: &http.Transport{
		Proxy:                  nil, // never one from the environment
		DialContext:            d.dial,
		DisableCompression:     true,
		MaxIdleConns:           max(1, b.Descriptors/keepIdlePart),
		MaxIdleConnsPerHost:    max(1, b.Descriptors/keepIdlePart),
		IdleConnTimeout:        time.Duration(float64(b.IdleFor) * idlePart),
		MaxResponseHeaderBytes: headersMost,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}}
	s.context, s.stop = context.WithCancel(context.Background())
	return s
}

// Close takes back what is out.
func (s *Servers) Close() {
	s.stop()
	s.transport.CloseIdleConnections()
}

// Resize changes how many descriptors connections to servers may take; idle ones beyond that are closed.
func (s *Servers) Resize(descriptors int) { s.dialer.resize(descriptors) }

// HangUp closes the connections to a place that carry nothing, but for so many, without making its caller wait.
func (s *Servers) HangUp(place uint64, but int) { go s.dialer.hangUp(placeOf(place), but) }

// Most bounds the connections to each cache, those being made included.
func (s *Servers) Most(n int) { s.dialer.bound(n) }

// Carry sends a shot and settles it, without making its caller wait.
func (s *Servers) Carry(shot *dispatch.Shot) {
	go func() {
		defer s.out.Add(-1)
		end, answer := dispatch.NoRoom, dispatch.Answer{}
		// A panic must not take the node down, and a shot that settled nowhere would keep its lookup for ever.
		defer func() {
			if r := recover(); r != nil {
				s.log.Error("a shot panicked", zap.Any("panic", r), zap.Stack("stack"))
				end, answer = dispatch.Lost, dispatch.Answer{}
			}
			shot.Settle(end, answer)
			shot.Over()
		}()
		if faults.Without(faults.OneAttempt) {
			time.AfterFunc(shot.Within/earlyPart, func() { shot.Settle(dispatch.Silent, dispatch.Answer{}) })
		}
		if s.out.Add(1) <= int64(s.bounds.Shots) {
			end, answer = s.send(shot)
		}
	}()
}
