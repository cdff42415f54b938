// Package frontend is the side of a node that clients talk to, on net/http's server.
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

// Limits is what the clients' side may take.
type Limits struct {
	Descriptors   int           // connections, and lookups in hand; those beyond are deferred
	OverflowConns int           // connections for such deferrals; the next wait for a free place
	MaxDeadline   time.Duration // the longest time limit of a lookup
	MaxRetryAfter time.Duration // the longest retry-after that clients heed, 0: none is to be given
	MaxBuffered   int64         // of a lookup that is held whole, in bytes,
	MaxStreamed   int64         // and of one that is passed on as it comes
}

const (
	maxHeaderBytes        = 12 << 10                // bytes of a lookup's head; real ones take some hundred
	headerTimeout         = 2600 * time.Millisecond // for headers: true clients take up to 2 s, an answer is owed within 3 s
	bodyTimeoutFromAccept = 2600 * time.Millisecond // after the connection came, for a body: an answer is owed within 3 s
	bodyTimeout           = 2 * time.Second         // after the headers, where that is later;
	minBodyBytesPerSecond = 48 << 10                // and a second more for so many bytes: true clients send 64 kB in one
	maxBodyPause          = 2 * time.Second         // for the next bytes of a long one
	writeTimeout          = 10 * time.Second        // for a client to take some of its answer
	writeTimeoutSlack     = 10 * time.Second        // beyond the longest limit: by then a lookup and its answer are through
	idleTimeout           = 60 * time.Second        // a connection between lookups
	drainAcceptTime       = 500 * time.Millisecond  // new connections go on coming for up to 0.4 s after SIGTERM
	drainIdleTime         = 300 * time.Millisecond  // kept connections end by their next answer; only idle ones are closed later
	drainPollInterval     = 10 * time.Millisecond   // between looks at who may go meanwhile
	drainSlack            = 100 * time.Millisecond  // beyond the longest limit, for the last answers to be written
	overflowRetryAfter    = 250 * time.Millisecond  // retry-after of a deferral for want of room here
)

// Server is the client side of a node.
type Server struct {
	log         *zap.Logger
	dispatcher  *dispatch.Dispatcher
	httpServer  *http.Server
	limits      Limits
	conns       *connTracker
	listener    atomic.Pointer[limitedListener]
	maxInFlight atomic.Int64 // lookups in hand; those beyond are deferred
	inFlight    atomic.Int64 // lookups
	draining    atomic.Bool
}

// New makes the client side.
func New(x *dispatch.Dispatcher, b Limits, log *zap.Logger) *Server {
	c := &Server{log: log, dispatcher: x, limits: b, conns: newConnTracker(b.Descriptors)}
	c.maxInFlight.Store(int64(b.Descriptors))
	c.httpServer = &http.Server{Handler: c, MaxHeaderBytes: 2 * maxHeaderBytes, ReadHeaderTimeout: headerTimeout, DisableGeneralOptionsHandler: true,
		ReadTimeout: headerTimeout, WriteTimeout: b.MaxDeadline + writeTimeoutSlack, IdleTimeout: idleTimeout,
		ErrorLog: zap.NewStdLog(log), ConnState: c.conns.connState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		}}
	return c
}

// connKey is the key under which a lookup's context has its connection.
type connKey struct{}

// Serve answers clients until Leave has ended, or the listener fails.
func (c *Server) Serve(l net.Listener) error {
	b := newLimitedListener(l, c.limits.Descriptors+c.limits.OverflowConns, func(waited time.Duration) { c.conns.closeIdle(1, waited) }, c.log)
	c.listener.Store(b)
	err := c.httpServer.Serve(b)
	if errors.Is(err, http.ErrServerClosed) || c.draining.Load() {
		return nil
	}
	return err
}

// Resize changes how many connections are taken, and lookups; those that are open beyond make way as they can.
func (c *Server) Resize(descriptors, beyond int) {
	c.maxInFlight.Store(int64(descriptors))
	if b := c.listener.Load(); b != nil {
		b.maxConns.Store(int64(descriptors + beyond))
	}
	c.conns.resize(descriptors)
}

// Shutdown ends the service without losing a lookup: connections go on coming for a while, so it goes on
// accepting them, ends each with its next answer, and only then closes the listener and waits for the rest. Where
// another process has the clients' socket too, the next connections are its own at once.
func (c *Server) Shutdown(succeeded bool) error {
	c.draining.Store(true)
	began, last := time.Now(), time.Duration(0)
	// Not by Shutdown or SetKeepAlivesEnabled: they close idle connections even while a lookup on them is being read.
	for end := drainAcceptTime + c.limits.MaxDeadline + drainSlack; ; time.Sleep(drainPollInterval) {
		l, span := c.listener.Load(), time.Since(began) // Serve may begin only now
		// Closed with connections in its queue, a socket would reset them.
		if l != nil && (succeeded || span >= drainAcceptTime && (!l.hasQueued() || span >= drainAcceptTime+c.limits.MaxDeadline/2)) {
			_ = l.Close()
		}
		if !succeeded || span >= drainIdleTime {
			c.conns.closeIdle(c.conns.count(), span)
		}
		open, lingers := c.conns.count(), 0
		if l != nil {
			lingers = l.lingeringCount()
			open = max(open, int(l.conns.Load())-lingers) // one may be on its way from the listener
		}
		if open > 0 {
			last = span
		}
		switch {
		case open == 0 && span >= drainAcceptTime && (lingers == 0 || span >= last+minLinger || span >= end):
			return c.httpServer.Close()
		case span >= end:
			_ = c.httpServer.Close()
			return fmt.Errorf("%d connections were still open", open)
		}
	}
}

// Draining says whether no more clients are to come.
func (c *Server) Draining() bool { return c.draining.Load() }

// Open gives how many connections clients have.
func (c *Server) Open() int { return c.conns.count() }

// ServeHTTP answers one lookup.
func (c *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := &handler{Server: c, w: w, r: r, control: http.NewResponseController(w), outcome: dispatch.Failed}
	a.conn, _ = r.Context().Value(connKey{}).(*clientConn)
	a.unambiguous = a.conn != nil && a.conn.framing.nextUnambiguous()
	if c.conns.overLimit() || c.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/up" {
		if c.dispatcher.Ready() && !c.draining.Load() {
			writePlain(w, http.StatusOK, "up")
		} else {
			writePlain(w, http.StatusServiceUnavailable, "not up")
		}
		return
	}
	defer a.finish()
	a.serve()
}
