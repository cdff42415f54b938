// Package frontend serves clients over HTTP with net/http's server: it limits connections, requests and bodies, and submits requests to the dispatcher.
package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
)

// Limits bounds the resources that clients may use.
type Limits struct {
	MaxConns        int           // connections, and requests in flight; further requests are rejected
	OverflowConns   int           // additional connections, for those rejections; further ones wait in the kernel's accept queue
	MaxDeadline     time.Duration // the longest deadline of a request
	MaxRetryAfter   time.Duration // the longest Retry-After that clients respect; 0: none is sent
	MaxBufferedBody int64         // longest body in bytes that is buffered
	MaxStreamedBody int64         // longest body in bytes that is accepted; one over MaxBufferedBody is forwarded while it is received
	BodyMemory      int64         // bytes for bodies that are buffered or streamed; requests with further ones are rejected. 0: no limit
	Cores           float64       // processor cores that the node may use; 0: 1
	ReadAheadMemory int64         // bytes that may be read ahead of all requests in order to see whether their clients are connected
}

// Timeouts and limits of net/http's server.
const (
	maxHeaderBytes    = 12 << 10                // clients send a few hundred bytes
	maxHeaderLines    = 100                     // each takes some 120 bytes beside its text; clients send some ten
	headerTimeout     = 2600 * time.Millisecond // clients take up to 2 s, and expect an answer within 3 s
	writeTimeout      = 10 * time.Second        // for each part of a streamed answer
	writeTimeoutSlack = 10 * time.Second        // for writing an answer, after the longest deadline
	idleTimeout       = 60 * time.Second
)

// Graceful shutdown.
const (
	drainAcceptTime   = 500 * time.Millisecond // new connections arrive for up to 0.4 s after SIGTERM
	drainIdleTime     = 300 * time.Millisecond // before idle connections are closed; the others are closed with their next answer
	drainPollInterval = 10 * time.Millisecond
	drainSlack        = 100 * time.Millisecond // for writing the last answers, after the longest deadline
)

// Server is the HTTP server of a node for its clients. Its methods are safe for concurrent use; Serve is called once.
type Server struct {
	log         *zap.Logger
	dispatcher  *dispatch.Dispatcher
	metrics     *metrics.Metrics
	httpServer  *http.Server
	limits      Limits
	conns       *connTracker
	listener    atomic.Pointer[limitedListener]
	maxInFlight atomic.Int64 // requests; further ones are rejected
	inFlight    atomic.Int64
	draining    atomic.Bool
	refusalPace *refusalPace
	bodyMemory  *bodyMemory
	drainStart  chan struct{} // closed when Shutdown begins
	drainEnd    chan struct{} // closed when the requests that are still in flight have to be answered at once
}

// New returns a server that submits requests to d.
func New(d *dispatch.Dispatcher, limits Limits, log *zap.Logger) *Server {
	s := &Server{log: log, dispatcher: d, metrics: d.Metrics(), limits: limits,
		conns: newConnTracker(limits.MaxConns, &d.Metrics().ConnCloses), drainStart: make(chan struct{}), drainEnd: make(chan struct{}),
		refusalPace: newRefusalPace(limits.Cores), bodyMemory: newBodyMemory(limits.BodyMemory)}
	s.maxInFlight.Store(int64(limits.MaxConns))
	s.httpServer = &http.Server{
		Handler:                      s,
		MaxHeaderBytes:               2 * maxHeaderBytes, // clientConn rejects longer heads before
		ReadHeaderTimeout:            headerTimeout,
		DisableGeneralOptionsHandler: true,
		ReadTimeout:                  headerTimeout,
		WriteTimeout:                 limits.MaxDeadline + writeTimeoutSlack,
		IdleTimeout:                  idleTimeout,
		ErrorLog:                     zap.NewStdLog(log),
		ConnState:                    s.conns.connState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	return s
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Serve serves clients until Shutdown has finished or the listener fails.
func (s *Server) Serve(l net.Listener) error {
	onFull := func(wait acceptWait) { s.conns.closeIdle(1, wait) }
	limited := newLimitedListener(l, s.limits.MaxConns+s.limits.OverflowConns, s.limits.ReadAheadMemory, onFull, s.metrics, s.log)
	s.listener.Store(limited)
	err := s.httpServer.Serve(limited)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() {
		return nil
	}
	return err
}

// Resize changes the limits on connections and requests. Connections over the new limit are closed when they become idle.
func (s *Server) Resize(descriptors, overflowConns int) {
	s.maxInFlight.Store(int64(descriptors))
	if l := s.listener.Load(); l != nil {
		l.maxConns.Store(int64(descriptors + overflowConns))
	}
	s.conns.resize(descriptors)
}

// Shutdown stops the server without losing a request. Clients go on connecting for a while, so Shutdown goes on accepting connections, closes each
// one with its next answer, and only then closes the listener and waits for the remaining connections. hasSuccessor means that the process's
// listening socket was passed to or is shared with a successor process, which accepts new connections from now on. Shutdown returns an error if
// connections are still open after the longest deadline. By then each request has its answer: one whose client was still
// sending its body, or was slow to send it, is given up shortly before.
//
// It does not use Shutdown or SetKeepAlivesEnabled of http.Server, which close idle connections even while a request on them is being read.
func (s *Server) Shutdown(hasSuccessor bool) error {
	if !s.draining.Swap(true) {
		close(s.drainStart)
	}
	defer time.AfterFunc(s.maxDrainTime()-drainSlack, func() { close(s.drainEnd) }).Stop()
	start := time.Now()
	lastOpen := time.Duration(0) // when a connection was last open
	end := s.maxDrainTime()
	for ; ; time.Sleep(drainPollInterval) {
		listener := s.listener.Load() // nil until Serve begins
		elapsed := time.Since(start)
		if listener != nil && (hasSuccessor || s.queueDrained(listener, elapsed)) {
			_ = listener.Close()
		}
		if !hasSuccessor || elapsed >= drainIdleTime {
			s.conns.closeAllIdle(elapsed)
		}
		open, lingering := s.openConns(listener)
		if open > 0 {
			lastOpen = elapsed
		}
		switch {
		case s.drained(open, lingering, elapsed, lastOpen):
			return s.httpServer.Close()
		case elapsed >= end:
			_ = s.httpServer.Close()
			return fmt.Errorf("%d connections were still open", open)
		}
	}
}

// maxDrainTime returns the maximum duration of Shutdown.
func (s *Server) maxDrainTime() time.Duration {
	return drainAcceptTime + s.limits.MaxDeadline + drainSlack
}

// drained reports whether Shutdown may finish: no connection is open, drainAcceptTime has passed for new ones to arrive, and lingering connections have
// had minLinger since a connection was last open.
func (s *Server) drained(open, lingering int, elapsed, lastOpen time.Duration) bool {
	if open > 0 || elapsed < drainAcceptTime {
		return false
	}
	return lingering == 0 || elapsed >= lastOpen+minLinger || elapsed >= s.maxDrainTime()
}

// queueDrained reports whether the listener may be closed. The kernel resets the connections that are still in its accept queue at that time, so
// they are accepted first. After half of MaxDeadline, queueDrained gives up on a queue that does not become empty.
func (s *Server) queueDrained(l *limitedListener, elapsed time.Duration) bool {
	return elapsed >= drainAcceptTime && (!l.hasQueued() || elapsed >= drainAcceptTime+s.limits.MaxDeadline/2)
}

// openConns returns the number of open connections that do not linger, and the number of those that linger.
func (s *Server) openConns(l *limitedListener) (open, lingering int) {
	open = s.conns.count()
	if l == nil {
		return open, 0
	}
	lingering = l.lingeringCount()
	accepted := int(l.conns.Load()) - lingering // includes one that Accept waits for or has not returned to net/http yet
	return max(open, accepted), lingering
}

// drainEnded reports whether a request must be answered at once, as the node is about to end.
func (s *Server) drainEnded() bool {
	select {
	case <-s.drainEnd:
		return true
	default:
		return false
	}
}

// Draining reports whether Shutdown was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// OpenConns returns the number of client connections.
func (s *Server) OpenConns() int { return s.conns.count() }

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := &handler{Server: s, w: w, r: r, control: http.NewResponseController(w), outcome: dispatch.Failed,
		memory: bodyReservation{memory: s.bodyMemory}}
	h.conn, _ = r.Context().Value(connKey{}).(*clientConn)
	h.unambiguous = h.conn != nil && h.conn.framing.nextUnambiguous()
	switch {
	case s.draining.Load():
		h.closeAfterAnswer(closedDraining)
	case s.conns.overLimit():
		h.closeAfterAnswer(closedOverLimit)
	}
	if r.URL.Path == readinessPath {
		s.serveReadiness(w)
		h.noteAnswered()
		h.paceRefusal()
		return
	}
	defer h.finish()
	h.serve()
	h.noteAnswered()
	if !h.attempted && !h.truncated {
		h.paceRefusal()
	}
}

const readinessPath = "/up"

func (s *Server) serveReadiness(w http.ResponseWriter) {
	if s.dispatcher.Ready() && !s.draining.Load() {
		writePlain(w, http.StatusOK, "up")
		return
	}
	writePlain(w, http.StatusServiceUnavailable, "not up")
}
