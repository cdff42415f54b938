package frontend

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// Time limits for reading a body. Clients expect an answer within 3 s of connecting.
const (
	bodyTimeout           = 2 * time.Second         // counted from the first read of the body
	bodyTimeoutFromAccept = 2600 * time.Millisecond // counted from the accept; the later of the two deadlines applies
	minBodyBytesPerSecond = 48 << 10                // each such amount received extends the deadline by 1 s; clients send 64 KB in 1 s
	maxBodyPause          = 2 * time.Second         // maximum wait for the next bytes
)

// Clients receive these texts as response bodies.
var (
	errVersion         = errors.New("expected HTTP/1.1")
	errAmbiguousLength = errors.New("both Content-Length and Transfer-Encoding: expected one")
	errBodyTooLong     = errors.New("the body is over its bound")
	errBody            = errors.New("the body can't be read")
	errBodyTooSlow     = errors.New("the body has not come in time")
	errNoMemory        = errors.New("too many bodies at once: a retry is harmless")
)

// readBody reads a request's body, or the beginning of a body longer than MaxBufferedBody. It returns an error of those above if the request must be
// rejected. It rejects a body whose length is given in two ways, or in a way that HTTP/1.0 does not define: such a body may hide another request
// (request smuggling).
func (h *handler) readBody() (request dispatch.Request, err error) {
	r := h.r
	switch {
	case !r.ProtoAtLeast(1, 1):
		return request, errVersion
	case !h.unambiguous:
		return request, errAmbiguousLength
	case r.ContentLength > h.limits.MaxStreamedBody:
		return request, errBodyTooLong
	case r.ContentLength == 0:
		return request, nil
	}
	request.Length = r.ContentLength
	body := h.newPacedBody()
	if r.ContentLength > h.limits.MaxBufferedBody {
		return request, h.streamBody(&request, body)
	}
	request.Body, err = h.memory.readAll(body, r.ContentLength, h.limits.MaxBufferedBody)
	if err != nil {
		return request, bodyError(err)
	}
	if int64(len(request.Body)) > h.limits.MaxBufferedBody {
		return request, h.streamBody(&request, body)
	}
	body.complete()
	return request, nil
}

// streamBody makes request forward the rest of the body while it is received. It returns errNoMemory if there is no memory for that.
func (h *handler) streamBody(request *dispatch.Request, body *pacedBody) error {
	if !h.memory.grow(int64(len(request.Body)) + streamedBytes) {
		return errNoMemory
	}
	_ = h.control.EnableFullDuplex() // the answer may be written before the end of the body is read
	request.BodyStream = dispatch.NewBodyStream(body)
	return nil
}

// bodyError maps an error of reading the body to the one whose text the client receives.
func bodyError(err error) error {
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		return err
	case errors.As(err, &tooLong):
		return errBodyTooLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errBodyTooSlow
	}
	return errBody
}

// bodyRefusal returns the reason and the status of the answer for an error of readBody.
func bodyRefusal(err error) (refusal, int) {
	switch {
	case errors.Is(err, errVersion):
		return refusedVersion, http.StatusHTTPVersionNotSupported
	case errors.Is(err, errAmbiguousLength):
		return refusedAmbiguous, http.StatusBadRequest
	case errors.Is(err, errBodyTooLong):
		return refusedTooLong, http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyTooSlow):
		return refusedBodySlow, http.StatusRequestTimeout
	case errors.Is(err, errNoMemory):
		return refusedMemory, http.StatusServiceUnavailable
	}
	return refusedBodyBroken, http.StatusBadRequest
}

// pacedBody reads a body and requires at least minBodyBytesPerSecond, because slow clients would otherwise hold too many connections.
type pacedBody struct {
	*handler
	reader   io.Reader
	time     *clientTime
	deadline time.Time // extended with the bytes read; zero before the first read
}

func (h *handler) newPacedBody() *pacedBody {
	return &pacedBody{handler: h, reader: http.MaxBytesReader(nil, h.r.Body, h.limits.MaxStreamedBody), time: newClientTime(h.conn)}
}

// WaitingSince implements dispatch.BodySource.
func (b *pacedBody) WaitingSince() time.Time { return b.time.waitingSince() }

func (b *pacedBody) Read(buffer []byte) (int, error) {
	if b.deadline.IsZero() { // the client is not charged for the time before the first read of a long body
		b.deadline = b.firstDeadline()
	}
	now := time.Now()
	deadline := b.deadline
	if pause := now.Add(maxBodyPause); pause.Before(deadline) {
		deadline = pause
	}
	_ = b.control.SetReadDeadline(deadline)                            // cannot fail: all connections here support deadlines
	_ = b.control.SetWriteDeadline(now.Add(b.httpServer.WriteTimeout)) // net/http's own counts from the head
	if b.drainEnded() {                                                // after giveUp has set its deadline, or before
		_ = b.control.SetReadDeadline(pastDeadline)
	}
	b.time.beginRead()
	n, err := b.reader.Read(buffer)
	b.time.endRead(errors.Is(err, io.EOF))
	b.bodyRead.Add(int64(n))
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

// restOfBody returns how many bytes of the body are unread; 0: none, or their number is unknown.
func (h *handler) restOfBody() int64 { return max(0, h.r.ContentLength-h.bodyRead.Load()) }

// complete is called at the end of the body. After that, a read only serves to detect that the client has disconnected.
func (b *pacedBody) complete() {
	_ = b.control.SetReadDeadline(time.Now().Add(b.httpServer.WriteTimeout))
}
