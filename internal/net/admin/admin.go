// Package admin serves operators at an address of their own: the node's status and metrics, and calls that eject or restore a server. It decides
// nothing; the Node does.
package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/acceptor"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
)

const (
	maxHeaderBytes    = 4 << 10
	headerTimeout     = 10 * time.Second       // connLimiter ends slow callers sooner when others wait
	writeTimeout      = 2 * time.Second        // beyond headerTimeout; answers are small and due within 1 s
	maxDiscardedBytes = 64 << 10               // of a body, which no call needs
	discardTimeout    = 300 * time.Millisecond // for reading that
	maxIDBytes        = 256
)

// ErrUnknownServer says that a server was never on the endpoint list.
var ErrUnknownServer = errors.New("no such server was ever listed")

// Node is what the calls are about.
type Node interface {
	// Serving reports whether the node takes clients.
	Serving() bool
	// Eject sends nothing new to a server; Restore ends that. Either is stored and in force when it returns nil.
	Eject(id string) error
	Restore(id string) error
	// ClusterMetrics returns the metrics of the node's cluster by name; none if it has no cluster.
	ClusterMetrics() map[string]any
}

// Server serves the admin address.
type Server struct {
	log     *zap.Logger
	node    Node
	metrics *metrics.Metrics
	server  *http.Server
	conns   *connLimiter
}

// New returns a server that holds at most maxConns connections at a time.
func New(n Node, m *metrics.Metrics, maxConns int, log *zap.Logger) *Server {
	s := &Server{log: log, node: n, metrics: m, conns: newConnLimiter(maxConns)}
	s.server = &http.Server{
		Handler:           s,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout,
		WriteTimeout:      headerTimeout + writeTimeout,
		ErrorLog:          zap.NewStdLog(log),
		ConnState:         s.conns.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	s.server.SetKeepAlivesEnabled(false)
	return s
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Serve serves until Close.
func (s *Server) Serve(l net.Listener) {
	err := s.server.Serve(s.conns.listener(acceptor.New(l, s.log)))
	if !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("admin server failed", zap.Error(err))
	}
}

// Close ends the service at once.
func (s *Server) Close() { _ = s.server.Close() }

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		s.conns.requestRead(c)
	}
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex() // do not wait for a body
	status, text := s.answer(w.Header(), r)
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
	if r.ContentLength != 0 {
		discardBody(rc, r)
	}
}

// discardBody reads a body: closing a connection with unread bytes would reset it, and lose the answer.
func discardBody(rc *http.ResponseController, r *http.Request) {
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
}

// The paths of the operators' calls.
const (
	statusPath  = "/status"
	metricsPath = "/status/metrics"
	ejectPath   = "/maintenance/enter/" // and the server's id
	restorePath = "/maintenance/exit/"
)

// answer returns the status and the body for a call, and sets headers particular to it.
func (s *Server) answer(header http.Header, r *http.Request) (status int, text string) {
	method, handle := s.route(r.URL.EscapedPath())
	if handle == nil {
		return http.StatusNotFound, "no such path\n"
	}
	if r.Method != method {
		header.Set("Allow", method)
		return http.StatusMethodNotAllowed, "expected " + method + "\n"
	}
	return handle()
}

// route returns the method and the handler of a path; a nil handler if there is none.
func (s *Server) route(path string) (method string, handle func() (status int, text string)) {
	switch {
	case path == statusPath:
		return http.MethodGet, s.status
	case path == metricsPath:
		return http.MethodGet, func() (int, string) { return http.StatusOK, s.metricsPage() }
	case strings.HasPrefix(path, ejectPath):
		return http.MethodPost, func() (int, string) { return s.change(path[len(ejectPath):], "out", s.node.Eject) }
	case strings.HasPrefix(path, restorePath):
		return http.MethodPost, func() (int, string) { return s.change(path[len(restorePath):], "in use", s.node.Restore) }
	}
	return "", nil
}

func (s *Server) status() (int, string) {
	if s.node.Serving() {
		return http.StatusOK, "clients are served\n"
	}
	return http.StatusServiceUnavailable, "no clients are served\n"
}

// change ejects or restores the server with an escaped id; state is what it is afterwards.
func (s *Server) change(escapedID, state string, apply func(id string) error) (int, string) {
	id, err := url.PathUnescape(escapedID) // once
	if err != nil || id == "" || len(id) > maxIDBytes {
		return http.StatusNotFound, "no such server\n"
	}
	switch err := apply(id); {
	case errors.Is(err, ErrUnknownServer):
		return http.StatusNotFound, err.Error() + "\n"
	case err != nil:
		s.log.Error("operator's change of a server failed", zap.String("server", id), zap.Error(err))
		return http.StatusInternalServerError, err.Error() + "\n"
	}
	s.log.Info("operator changed a server", zap.String("server", id), zap.String("is", state))
	return http.StatusOK, id + " is " + state + "\n"
}
