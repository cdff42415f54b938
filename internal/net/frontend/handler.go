package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// overflowRetryAfter is the Retry-After of requests that are rejected for lack of capacity.
const overflowRetryAfter = 250 * time.Millisecond

// handler serves one request, from its head to the last byte of its answer.
type handler struct {
	*Server
	w           http.ResponseWriter
	r           *http.Request
	control     *http.ResponseController
	conn        *clientConn // nil: not accepted by a limitedListener
	unambiguous bool        // the head gives the body's length in one way

	bodyStream *dispatch.BodyStream // the rest of a long body; nil: the body was short
	class      string
	outcome    dispatch.Outcome // as the client sees it
	counted    bool             // among the open requests
	answered   bool
	truncated  bool // the answer was begun and cannot be completed
}

// finish counts the request, and breaks the connection of an answer that was not completed, so that the client can tell. After a panic it
// answers if it can, since net/http would close the connection without an answer.
func (h *handler) finish() {
	if p := recover(); p != nil {
		h.log.Error("request handler panicked", zap.Any("panic", p), zap.Stack("stack"))
		h.outcome = dispatch.Failed
		h.truncated = h.answered
		if !h.answered {
			writePlain(h.w, http.StatusInternalServerError, "internal error")
		}
	}
	if h.counted {
		h.dispatcher.AddOpen(-1)
		h.dispatcher.CountEnd(h.class, h.outcome)
	}
	if h.bodyStream != nil {
		defer h.bodyStream.Close()
	}
	if h.w.Header().Get("Connection") == "close" {
		// net/http would keep the connection for half a second over an unread body; clientConn.Close takes care of that.
		h.r.Body = http.NoBody
	}
	if h.truncated {
		panic(http.ErrAbortHandler) // closes the connection
	}
	h.drainBody()
}

// drainBody reads the rest of a long body once its request is answered: a client that is cut off while it writes may never read the answer.
func (h *handler) drainBody() {
	if h.bodyStream == nil || h.bodyStream.Complete() {
		return
	}
	_ = h.control.Flush()
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	for {
		if _, err := h.bodyStream.Read(*buffer); err != nil {
			return
		}
	}
}

const copyBufferBytes = 16 << 10

// bufferPool has buffers for bodies that are streamed or discarded.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// serve handles the request.
func (h *handler) serve() {
	h.class, _ = classAndKey(originForm(h.r.RequestURI))
	h.dispatcher.AddOpen(1)
	h.counted = true
	overLimit := h.inFlight.Add(1) > h.maxInFlight.Load()
	defer h.inFlight.Add(-1)
	request, status, err := h.readBody()
	bodyReadAt := time.Now()
	if err != nil {
		h.refuseBody(status, err)
		return
	}
	if request.Rest != nil {
		h.bodyStream = request.Rest
		h.w.Header().Set("Connection", "close") // the rest of the body may stand before the next request
	}
	if overLimit {
		h.rejectOverLimit()
		return
	}
	timeout, err := parseRequest(h.r, &request)
	if err != nil {
		h.refuseInvalid(http.StatusBadRequest, err)
		return
	}
	request.ClientGone = h.conn.clientGone
	pending, err := h.dispatcher.Submit(request, bodyReadAt, timeout)
	if err != nil {
		h.refuseInvalid(submitStatus(err), err)
		return
	}
	h.await(pending)
}

func submitStatus(err error) int {
	if errors.Is(err, dispatch.ErrDuplicateID) {
		return http.StatusConflict
	}
	return http.StatusBadRequest
}

// await writes the dispatcher's answer, or abandons the request once its client has gone.
func (h *handler) await(pending *dispatch.PendingRequest) {
	clientGone := h.r.Context().Done()
	if faults.Without(faults.ClientLook) {
		clientGone = nil
	}
	select {
	case answer := <-pending.Answers():
		h.writeAnswer(answer)
	case <-clientGone:
		h.abandon(pending)
	}
}

// abandon gives up a request whose client has gone.
func (h *handler) abandon(pending *dispatch.PendingRequest) {
	h.log.Debug("client closed its connection", zap.String("trace", h.traceID()))
	pending.Cancel()
	select {
	case answer := <-pending.Answers(): // came at the same moment
		if answer.Rest != nil {
			_ = answer.Rest.Close()
		}
	default:
	}
	h.answered = true
	if h.bodyStream != nil && !h.bodyStream.Complete() {
		writePlain(h.w, http.StatusRequestTimeout, errBodyTooSlow.Error()) // the client may have been too slow, and still read
		return
	}
	// Nobody should read this, but without it net/http would write an empty 200, which no server answered.
	writePlain(h.w, http.StatusBadGateway, "the client has left")
}

func (h *handler) traceID() string { return h.r.Header.Get("X-Trace-Id") }

// refuseInvalid answers a request that cannot be dispatched, with 400, 408, 409 or 413. It is not rejected in the sense of
// dispatch.Rejected, which is 503 with Retry-After.
func (h *handler) refuseInvalid(status int, reason error) {
	h.log.Debug("request rejected", zap.String("trace", h.traceID()), zap.Int("status", status), zap.Error(reason))
	writePlain(h.w, status, reason.Error())
}

// refuseBody refuses a request whose body was not read to its end.
func (h *handler) refuseBody(status int, reason error) {
	h.w.Header().Set("Connection", "close")     // the rest must not be read as another request,
	_ = h.control.SetReadDeadline(pastDeadline) // nor waited for, as net/http would
	h.refuseInvalid(status, reason)
}

func (h *handler) rejectOverLimit() {
	h.log.Debug("request rejected, concurrency limit reached", zap.String("trace", h.traceID()))
	h.outcome = dispatch.Rejected
	writeAnswer(h.w, dispatch.Answer{Outcome: dispatch.Rejected, RetryAfter: min(overflowRetryAfter, h.limits.MaxRetryAfter)})
}

// writeAnswer writes the final answer.
func (h *handler) writeAnswer(answer dispatch.Answer) {
	h.answered = true
	if h.draining.Load() {
		h.w.Header().Set("Connection", "close")
	}
	h.outcome = answer.Outcome
	if faults.Without(faults.AnswerOwed) && time.Now().Nanosecond()/1000%100 == 0 {
		panic(http.ErrAbortHandler)
	}
	if answer.Rest == nil {
		writeAnswer(h.w, answer)
		return
	}
	if err := h.streamAnswer(answer); err != nil {
		h.log.Info("streamed answer was not completed", zap.Error(err), zap.String("trace", h.traceID()))
		h.outcome = dispatch.Failed
		h.truncated = true
	}
}

var errAnswerLength = errors.New("the answer's body does not have the announced length")

// streamAnswer writes a long answer as it comes. One that breaks stays incomplete for the client too: neither the last chunk nor the announced
// length is made up.
func (h *handler) streamAnswer(answer dispatch.Answer) error {
	defer answer.Rest.Close()
	// A client that goes ends the server's connection too, which would otherwise bring the rest for nobody.
	defer context.AfterFunc(h.r.Context(), func() { _ = answer.Rest.Close() })()
	_ = h.control.SetReadDeadline(time.Time{}) // a stream may take longer than any request's deadline
	writeStreamHeader(h.w, answer)
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	next := answer.Body
	sentBytes := int64(0)
	var readErr error // of the read that brought next; io.EOF at the end
	for {
		sentBytes += int64(len(next))
		if answer.Length >= 0 && sentBytes > answer.Length {
			return errAnswerLength
		}
		if err := h.writeFlushed(next); err != nil {
			return err
		}
		switch {
		case readErr != nil && answer.Length >= 0 && sentBytes < answer.Length:
			return errAnswerLength
		case readErr != nil:
			return nil
		}
		var n int
		n, readErr = answer.Rest.Read(*buffer)
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return readErr
		}
		next = (*buffer)[:n]
	}
}

// writeFlushed writes a part of a streamed answer through to the connection. The client has writeTimeout to take it.
func (h *handler) writeFlushed(part []byte) error {
	_ = h.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := h.w.Write(part); err != nil {
		return err
	}
	return h.control.Flush()
}
