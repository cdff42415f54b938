package upstream

import (
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// outgoingRequest is a request on a connection, with what has to hold when its first byte is written. It belongs to the
// request, not to the connection: the transport may hand the connection on before the request's sender has asked for its
// denial. It is guarded by the connection's lock.
type outgoingRequest struct {
	writeStarted    bool                    // its first byte was written, or denied
	unsolicited     bool                    // bytes came before that
	decision        admission.Reason        // Granted, or why it was not written; made once, at the first byte
	presetRefusal   admission.Reason        // Granted, or a reason that an earlier step has set
	clientState     func() admission.Reason // whether the client still waits; nil: it does
	sendBy          time.Time               // when the first byte must have been written; zero: any time
	clientDeadline  time.Time               // when the client stops waiting; zero: the server is told no time
	declaredTimeout time.Duration           // the time that the server is told to have
}

// denialError is the error of a request that was not written.
type denialError struct{ reason admission.Reason }

// Error implements error.
func (e denialError) Error() string { return "the request was not written: " + e.reason.String() }
