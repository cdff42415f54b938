package frontend

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// Time for a body. An answer is due 3 s after the connection came.
const (
	bodyTimeout           = 2 * time.Second         // from the first read,
	bodyTimeoutFromAccept = 2600 * time.Millisecond // or this from the accept, if that is later,
	minBodyBytesPerSecond = 48 << 10                // and a second more for so many bytes: clients send 64 KB in one
	maxBodyPause          = 2 * time.Second         // to the next bytes
)

// Clients receive these texts as bodies.
var (
	errVersion         = errors.New("expected HTTP/1.1")
	errAmbiguousLength = errors.New("both Content-Length and Transfer-Encoding: expected one")
	errBodyTooLong     = errors.New("the body is over its bound")
	errBody            = errors.New("the body can't be read")
	errBodyTooSlow     = errors.New("the body has not come in time")
)

// readBody reads a request's body, or the beginning of a long one, or returns the status of its rejection. A body whose length is given in two
// ways, or in one that HTTP/1.0 did not know, may hide another request.
func (h *handler) readBody() (request dispatch.Request, status int, err error) {
	r := h.r
	switch {
	case !r.ProtoAtLeast(1, 1):
		return request, http.StatusHTTPVersionNotSupported, errVersion
	case !h.unambiguous:
		return request, http.StatusBadRequest, errAmbiguousLength
	case r.ContentLength > h.limits.MaxStreamed:
		return request, http.StatusRequestEntityTooLarge, errBodyTooLong
	case r.ContentLength == 0:
		return request, 0, nil
	}
	request.Length = r.ContentLength
	body := h.newPacedBody()
	if r.ContentLength > h.limits.MaxBuffered {
		h.streamBody(&request, body)
		return request, 0, nil
	}
	request.Body, err = io.ReadAll(io.LimitReader(body, h.limits.MaxBuffered+1))
	if err != nil {
		status, err = bodyError(err)
		return request, status, err
	}
	if int64(len(request.Body)) > h.limits.MaxBuffered {
		h.streamBody(&request, body)
	} else {
		body.complete()
	}
	return request, 0, nil
}

// streamBody leaves the rest of a body to be forwarded as it comes.
func (h *handler) streamBody(request *dispatch.Request, body *pacedBody) {
	_ = h.control.EnableFullDuplex() // the answer may come before the end of the body
	request.Rest = dispatch.NewBodyStream(body)
}

// bodyError returns the status and the error that the client gets for a failed read.
func bodyError(err error) (status int, reason error) {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge, errBodyTooLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, errBodyTooSlow
	}
	return http.StatusBadRequest, errBody
}

// pacedBody reads a body that must come at minBodyBytesPerSecond at least: a slower client would use up connections.
type pacedBody struct {
	*handler
	reader   io.Reader
	deadline time.Time // moves on with the bytes read; zero before the first read
}

func (h *handler) newPacedBody() *pacedBody {
	return &pacedBody{handler: h, reader: http.MaxBytesReader(nil, h.r.Body, h.limits.MaxStreamed)}
}

func (b *pacedBody) Read(buffer []byte) (int, error) {
	if b.deadline.IsZero() { // the wait of a long body before its first read is not the client's fault
		b.deadline = b.firstDeadline()
	}
	deadline := b.deadline
	if pause := time.Now().Add(maxBodyPause); pause.Before(deadline) {
		deadline = pause
	}
	_ = b.control.SetReadDeadline(deadline) // cannot fail: each connection here has deadlines
	n, err := b.reader.Read(buffer)
	b.deadline = b.deadline.Add(time.Duration(n) * time.Second / minBodyBytesPerSecond)
	if errors.Is(err, io.EOF) {
		b.complete()
	}
	return n, err
}

func (b *pacedBody) firstDeadline() time.Time {
	deadline := time.Now().Add(bodyTimeout)
	if fromAccept := b.conn.acceptedAt.Add(bodyTimeoutFromAccept); fromAccept.After(deadline) {
		return fromAccept
	}
	return deadline
}

// complete is called at the end of the body: a further read only tells that the client has gone.
func (b *pacedBody) complete() {
	_ = b.control.SetReadDeadline(time.Now().Add(b.httpServer.WriteTimeout))
}
