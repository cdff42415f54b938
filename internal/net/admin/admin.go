// Package admin implements the node's admin HTTP server, which operators reach at an address separate from the clients'. It reports the
// node's status and metrics, and has calls that eject or restore a cache server. The Node carries them out.
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
	headerTimeout     = 10 * time.Second       // connLimiter closes slow connections sooner when others wait
	writeTimeout      = 2 * time.Second        // added to headerTimeout; responses are small and due within 1 s
	maxDiscardedBytes = 64 << 10               // of a request body, which no call uses
	discardTimeout    = 300 * time.Millisecond // for reading maxDiscardedBytes
	maxIDBytes        = 256
)

// ErrUnknownServer is returned for a server that was never on the endpoint list.
var ErrUnknownServer = errors.New("no such server was ever listed")

// Node is the node that the admin server reports on and changes.
type Node interface {
	// Serving reports whether the node accepts client requests.
	Serving() bool
	// Eject takes a server out of use: it gets no new requests until Restore. When either returns nil, the change is stored and in effect.
	Eject(id string) error
	Restore(id string) error
	// ClusterMetrics returns the metrics of the node's cluster by name; empty if the node has no cluster.
	ClusterMetrics() map[string]any
	// Memory returns what the node's process uses; zero if that is not measured.
	Memory() metrics.Memory
}

// Server is the admin HTTP server.
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

// Serve accepts connections on l until Close.
func (s *Server) Serve(l net.Listener) {
	err := s.server.Serve(s.conns.listener(acceptor.New(l, s.log)))
	if !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("admin server failed", zap.Error(err))
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() { _ = s.server.Close() }

// ServeHTTP handles one call and closes its connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		s.conns.requestRead(c)
	}
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex() // respond without reading the body first
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

// discardBody reads the request body. If unread bytes were left, closing the connection would reset it, and the client could lose the
// response.
func discardBody(rc *http.ResponseController, r *http.Request) {
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
}

// The paths of the operators' calls.
const (
	statusPath  = "/status"
	metricsPath = "/status/metrics"
	ejectPath   = "/maintenance/enter/" // followed by the server's id
	restorePath = "/maintenance/exit/"
)

// answer handles a call and returns the response's status and body. It sets headers that only this response has.
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

// route returns the method and the handler of a path; the handler is nil if no call has that path.
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

// change runs apply, Eject or Restore, for the server with the given escaped id. The response and the log name the server's new state.
func (s *Server) change(escapedID, state string, apply func(id string) error) (int, string) {
	id, err := url.PathUnescape(escapedID) // decoded only once: an id may contain %
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
