// Package frontend serves clients over HTTP, on net/http's server: it bounds connections, requests and bodies, and hands requests to the dispatcher.
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
)

// Limits bounds what clients may use.
type Limits struct {
	Descriptors   int           // connections, and requests in flight; further ones are rejected
	OverflowConns int           // connections for those rejections; further ones wait in the kernel's queue
	MaxDeadline   time.Duration // the longest deadline of a request
	MaxRetryAfter time.Duration // the longest Retry-After that clients heed; 0: none is sent
	MaxBuffered   int64         // bytes of a body that is buffered;
	MaxStreamed   int64         // bytes of one that is forwarded as it comes
}

// Timeouts and limits of net/http's server.
const (
	maxHeaderBytes    = 12 << 10                // clients send some hundred
	headerTimeout     = 2600 * time.Millisecond // clients take up to 2 s, and an answer is due within 3 s
	writeTimeout      = 10 * time.Second        // for each part of a streamed answer
	writeTimeoutSlack = 10 * time.Second        // of an answer, beyond the longest deadline
	idleTimeout       = 60 * time.Second
)

// Graceful shutdown.
const (
	drainAcceptTime   = 500 * time.Millisecond // new connections come for up to 0.4 s after SIGTERM
	drainIdleTime     = 300 * time.Millisecond // before idle connections are closed; others close with their next answer
	drainPollInterval = 10 * time.Millisecond
	drainSlack        = 100 * time.Millisecond // for the last answers to be written, beyond the longest deadline
)

// Server is the clients' side of a node. Its methods may be called from several goroutines; Serve is called once.
type Server struct {
	log         *zap.Logger
	dispatcher  *dispatch.Dispatcher
	httpServer  *http.Server
	limits      Limits
	conns       *connTracker
	listener    atomic.Pointer[limitedListener]
	maxInFlight atomic.Int64 // requests; further ones are rejected
	inFlight    atomic.Int64
	draining    atomic.Bool
}

// New returns a server that hands requests to d.
func New(d *dispatch.Dispatcher, limits Limits, log *zap.Logger) *Server {
	s := &Server{log: log, dispatcher: d, limits: limits, conns: newConnTracker(limits.Descriptors)}
	s.maxInFlight.Store(int64(limits.Descriptors))
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

// Serve serves clients until Shutdown has ended, or the listener fails.
func (s *Server) Serve(l net.Listener) error {
	onFull := func(acceptWait time.Duration) { s.conns.closeIdle(1, acceptWait) }
	limited := newLimitedListener(l, s.limits.Descriptors+s.limits.OverflowConns, onFull, s.log)
	s.listener.Store(limited)
	err := s.httpServer.Serve(limited)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() {
		return nil
	}
	return err
}

// Resize changes the limits on connections and requests. Connections beyond them are closed as they become idle.
func (s *Server) Resize(descriptors, overflowConns int) {
	s.maxInFlight.Store(int64(descriptors))
	if l := s.listener.Load(); l != nil {
		l.maxConns.Store(int64(descriptors + overflowConns))
	}
	s.conns.resize(descriptors)
}

// Shutdown ends the service without losing a request. Connections go on coming for a while, so it goes on accepting them, closes each with its
// next answer, and only then closes the listener and waits for the rest. hasSuccessor says that this process's socket was passed on to or is
// shared with a successor, which takes the new connections at once. Shutdown returns an error if connections were still open after the
// longest deadline.
//
// It does not use Shutdown or SetKeepAlivesEnabled of http.Server, which close idle connections even while a request on them is being read.
func (s *Server) Shutdown(hasSuccessor bool) error {
	s.draining.Store(true)
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
			s.conns.closeIdle(s.conns.count(), elapsed)
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

// maxDrainTime returns how long Shutdown may take.
func (s *Server) maxDrainTime() time.Duration {
	return drainAcceptTime + s.limits.MaxDeadline + drainSlack
}

// drained reports whether no client is owed anything: no connection is open, further ones had time to come, and those that
// linger had theirs since the last open one.
func (s *Server) drained(open, lingering int, elapsed, lastOpen time.Duration) bool {
	if open > 0 || elapsed < drainAcceptTime {
		return false
	}
	return lingering == 0 || elapsed >= lastOpen+minLinger || elapsed >= s.maxDrainTime()
}

// queueDrained reports whether the listener may be closed: with connections in its queue, the kernel would reset them.
func (s *Server) queueDrained(l *limitedListener, elapsed time.Duration) bool {
	return elapsed >= drainAcceptTime && (!l.hasQueued() || elapsed >= drainAcceptTime+s.limits.MaxDeadline/2)
}

// openConns returns the number of open connections, without those that linger, and of these.
func (s *Server) openConns(l *limitedListener) (open, lingering int) {
	open = s.conns.count()
	if l == nil {
		return open, 0
	}
	lingering = l.lingeringCount()
	accepted := int(l.conns.Load()) - lingering // may include one that net/http does not have yet
	return max(open, accepted), lingering
}

// Draining reports whether Shutdown was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Open returns the number of client connections.
func (s *Server) Open() int { return s.conns.count() }

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := &handler{Server: s, w: w, r: r, control: http.NewResponseController(w), outcome: dispatch.Failed}
	h.conn, _ = r.Context().Value(connKey{}).(*clientConn)
	h.unambiguous = h.conn != nil && h.conn.framing.nextUnambiguous()
	if s.conns.overLimit() || s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == readinessPath {
		s.serveReadiness(w)
		return
	}
	defer h.finish()
	h.serve()
}

const readinessPath = "/up"

func (s *Server) serveReadiness(w http.ResponseWriter) {
	if s.dispatcher.Ready() && !s.draining.Load() {
		writePlain(w, http.StatusOK, "up")
		return
	}
	writePlain(w, http.StatusServiceUnavailable, "not up")
}
