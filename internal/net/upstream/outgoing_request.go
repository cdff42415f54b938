package upstream

import (
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// outgoingRequest is the state of a request on a connection: the conditions under which its first byte may be written,
// and the decision. The state is kept per request, not per connection, because the transport may reuse the connection
// for the next request before the exchange has read this request's denial. It is guarded by the connection's lock.
type outgoingRequest struct {
	writeStarted    bool                    // the first byte was written or denied
	unsolicited     bool                    // bytes arrived before writeStarted was set
	decision        admission.Reason        // made once, before the first byte; Granted, or the reason for the denial
	presetRefusal   admission.Reason        // a reason for denial found before the write, or Granted
	attemptState    func() admission.Reason // Granted while the client still waits; nil: it does
	sendBy          time.Time               // latest time for the first byte; zero: no limit
	clientDeadline  time.Time               // when the client stops waiting; zero: declaredTimeout is not checked
	declaredTimeout time.Duration           // the timeout sent to the server in X-Expires-In
	maxWriteStall   time.Duration           // longest time in which the server may take no byte; 0: writeTimeout
}

// denialError is returned by conn.Write for a request that must not be written.
type denialError struct{ reason admission.Reason }

// Error implements error.
func (e denialError) Error() string { return "the request was not written: " + e.reason.String() }
