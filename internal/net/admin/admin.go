// Package admin answers operators at an address of their own. It decides nothing: it tells how the node does, and hands
// on which servers are to be taken out or used again.
package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/acceptor"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
)

const (
	maxHeaderBytes    = 4 << 10                // bytes of a call's head
	headerTimeout     = 10 * time.Second       // for a head; who holds a place for longer gives way sooner anyway
	writeTimeout      = 2 * time.Second        // for an answer to be written: it is small, and owed in one
	maxDiscardedBytes = 64 << 10               // bytes of a body, which no call needs, that are read and ignored
	discardTimeout    = 300 * time.Millisecond // for those
	maxIDBytes        = 256                    // bytes of an id; those on the list are far shorter
)

// ErrUnknownServer says that the list never told of a server.
var ErrUnknownServer = errors.New("no such server was ever listed")

// Node is what calls are about.
type Node interface {
	// Serving says whether clients are taken.
	Serving() bool
	// Eject takes a server out, and PutBack uses it again. Both have happened when they return nil.
	Eject(id string) error
	Restore(id string) error
	// Fleet gives figures of the node's fleet by name; none where it has none.
	Fleet() map[string]any
}

// Server is the operators' address.
type Server struct {
	log     *zap.Logger
	node    Node
	metrics *metrics.Metrics
	server  *http.Server
	conns   *connLimiter
}

// New makes the address; most is how many connections it may hold.
func New(n Node, f *metrics.Metrics, most int, log *zap.Logger) *Server {
	a := &Server{log: log, node: n, metrics: f, conns: newPlaces(most)}
	a.server = &http.Server{Handler: a, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ReadTimeout: headerTimeout, WriteTimeout: headerTimeout + writeTimeout, ErrorLog: zap.NewStdLog(log),
		ConnState: a.conns.state,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connection{}, c)
		}}
	a.server.SetKeepAlivesEnabled(false)
	return a
}

type connection struct{}

// Serve answers until Close.
func (a *Server) Serve(l net.Listener) {
	if err := a.server.Serve(a.conns.over(acceptor.New(l, a.log))); !errors.Is(err, http.ErrServerClosed) {
		a.log.Error("the operators' address fails", zap.Error(err))
	}
}

// Close ends the service at once.
func (a *Server) Close() { _ = a.server.Close() }

// ServeHTTP answers one call.
func (a *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connection{}).(net.Conn); ok {
		a.conns.called(c)
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // a body is not waited for
	status, text := a.answer(w.Header(), r)
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
	if r.ContentLength != 0 {
		// A connection closed with bytes unread is reset, and the answer with it.
		_ = control.Flush()
		_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
		_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
	}
}

// The paths and the words of the operators' page stand here and nowhere else.
const (
	statusPath  = "/status"
	figuresPath = "/status/metrics"
	outPath     = "/maintenance/enter/"
	backPath    = "/maintenance/exit/"
)

func (a *Server) answer(h http.Header, r *http.Request) (int, string) {
	path := r.URL.EscapedPath()
	wanted := http.MethodGet
	var act func() (int, string)
	switch {
	case path == statusPath:
		act = a.status
	case path == figuresPath:
		act = func() (int, string) { return http.StatusOK, a.page() }
	case strings.HasPrefix(path, outPath):
		wanted, act = http.MethodPost, func() (int, string) { return a.order(path[len(outPath):], "out", a.node.Eject) }
	case strings.HasPrefix(path, backPath):
		wanted, act = http.MethodPost, func() (int, string) { return a.order(path[len(backPath):], "in use", a.node.Restore) }
	default:
		return http.StatusNotFound, "no such path\n"
	}
	if r.Method != wanted {
		h.Set("Allow", wanted)
		return http.StatusMethodNotAllowed, "expected " + wanted + "\n"
	}
	return act()
}

func (a *Server) status() (int, string) {
	if a.node.Serving() {
		return http.StatusOK, "clients are served\n"
	}
	return http.StatusServiceUnavailable, "no clients are served\n"
}

// order hands on one call about a server.
func (a *Server) order(escaped, done string, do func(string) error) (int, string) {
	id, err := url.PathUnescape(escaped) // once
	if err != nil || id == "" || len(id) > maxIDBytes {
		return http.StatusNotFound, "no such server\n"
	}
	switch err := do(id); {
	case errors.Is(err, ErrUnknownServer):
		return http.StatusNotFound, err.Error() + "\n"
	case err != nil:
		a.log.Error("an operator's call was not carried out", zap.String("box", id), zap.Error(err))
		return http.StatusInternalServerError, err.Error() + "\n"
	}
	a.log.Info("by an operator's call", zap.String("box", id), zap.String("is", done))
	return http.StatusOK, id + " is " + done + "\n"
}

// page gives the figures, a line each.
func (a *Server) page() string {
	var b strings.Builder
	for _, name := range a.metrics.Classes() {
		ends := a.metrics.Of(name)
		fmt.Fprintf(&b, "operations.%s.fulfilled=%d\noperations.%s.throttled=%d\noperations.%s.faulted=%d\n",
			name, ends.Served.Load(), name, ends.Rejected.Load(), name, ends.Failed.Load())
	}
	fmt.Fprintf(&b, "relayed=%d\nopen_requests=%d\nregistry_entries=%d\nout_of_rotation=%d\n", a.metrics.Written.Load(),
		a.metrics.Open.Load(), a.metrics.Listed.Load(), a.metrics.Avoided.Load())
	a.reasons(&b)
	fleet := a.node.Fleet()
	for _, name := range slices.Sorted(maps.Keys(fleet)) {
		fmt.Fprintf(&b, "fleet.%s=%v\n", name, fleet[name])
	}
	return b.String()
}

// reasons writes why attempts were withheld and which rules the module's orders would have broken, a line for each reason that came up.
func (a *Server) reasons(to *strings.Builder) {
	for reason := admission.Granted + 1; reason < admission.Reasons; reason++ {
		if n := a.metrics.Denied[reason].Load(); n > 0 {
			fmt.Fprintf(to, "attempts.withheld.%v=%d\n", reason, n)
		}
		if n := a.metrics.Violations[reason].Load(); n > 0 {
			fmt.Fprintf(to, "rules.violated.%v=%d\n", reason, n)
		}
	}
}
