package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
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
	conn        *clientConn // nil if the connection was not accepted by a limitedListener
	unambiguous bool        // the head gives the body's length in one way

	bodyStream *dispatch.BodyStream // the rest of a long body; nil if the whole body was buffered
	bodyRead   atomic.Int64         // bytes
	memory     bodyReservation
	class      string
	outcome    dispatch.Outcome // as the client sees it
	counted    bool             // the dispatcher counts the request as open
	answered   bool
	attempted  bool // a server has worked on the request, or may have
	truncated  bool // the answer was written partially and cannot be completed
}

// finish counts the request's outcome. It aborts the connection of an answer that was not completed, so that the client detects the truncation. After
// a panic it answers 500 if no answer was started, since net/http would close the connection without one.
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
		h.dispatcher.AddOpenRequests(-1)
		h.dispatcher.CountOutcome(h.class, h.outcome)
	}
	defer h.memory.release()
	if h.bodyStream != nil {
		defer h.bodyStream.Close()
	}
	if h.w.Header().Get("Connection") == "close" {
		// With an unread body net/http would keep the connection for half a second; clientConn.Close discards the body instead.
		h.r.Body = http.NoBody
	}
	if h.truncated {
		h.metrics.ConnCloses.Add(string(closedTruncated))
		panic(http.ErrAbortHandler) // closes the connection
	}
	h.drainBody()
}

// drainBody reads the rest of a long body after its request was answered: if the connection closes while the client still writes, the client may never
// read the answer.
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

// bufferPool holds buffers for bodies that are streamed or discarded.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// serve reads the request, submits it to the dispatcher and writes the answer.
func (h *handler) serve() {
	h.class, _ = classAndKey(originForm(h.r.RequestURI))
	h.dispatcher.AddOpenRequests(1)
	h.counted = true
	overLimit := h.inFlight.Add(1) > h.maxInFlight.Load()
	defer h.inFlight.Add(-1)
	request, err := h.readBody()
	bodyReadAt := h.receivedAt()
	if err != nil {
		reason, status := bodyRefusal(err)
		h.refuseBody(reason, status, err)
		return
	}
	if request.BodyStream != nil {
		h.bodyStream = request.BodyStream
		h.closeAfterAnswer(closedStreamedBody) // the unread rest of the body would precede the next request on the connection
	}
	if overLimit || h.drainEnded() {
		h.rejectWithoutAttempt()
		return
	}
	timeout, err := parseRequest(h.r, &request)
	if err != nil {
		h.refuseInvalid(refusedInvalid, http.StatusBadRequest, err)
		return
	}
	request.CheckClient = func() admission.Reason { return h.conn.clientState(h.restOfBody()) }
	pending, err := h.dispatcher.Submit(request, bodyReadAt, timeout)
	if err != nil {
		reason, status := submitRefusal(err)
		h.refuseInvalid(reason, status, err)
		return
	}
	h.await(pending)
}

// receivedAt returns when the request, or the part of it that is buffered, was received.
func (h *handler) receivedAt() time.Time {
	if h.conn == nil {
		return time.Now()
	}
	return h.conn.receivedAt()
}

// noteAnswered is called when the answer was written.
func (h *handler) noteAnswered() {
	if h.conn != nil {
		h.conn.answeredAt = time.Now()
	}
}

// submitRefusal returns the reason and the status of the answer for an error of Submit.
func submitRefusal(err error) (refusal, int) {
	if errors.Is(err, dispatch.ErrDuplicateID) {
		return refusedDuplicate, http.StatusConflict
	}
	return refusedClass, http.StatusBadRequest
}

// await waits for the dispatcher's answer and writes it, or abandons the request if its client disconnects first, or gives
// it up if the node is about to end.
func (h *handler) await(pending *dispatch.PendingRequest) {
	clientGone := h.r.Context().Done()
	if faults.Disabled(faults.ClientGoneCheck) {
		clientGone = nil
	}
	select {
	case answer := <-pending.Answers():
		h.writeAnswer(answer)
	case <-h.drainEnd:
		h.giveUp(pending)
	case <-clientGone:
		if h.bodyStream != nil && h.drainEnded() { // the end of the body's last read, not of the client
			h.giveUp(pending)
			return
		}
		h.abandon(pending)
	}
}

// giveUp ends a request because the node is about to end, and writes its final answer.
func (h *handler) giveUp(pending *dispatch.PendingRequest) {
	h.log.Info("request given up at the end of the shutdown", zap.String("trace", h.traceID()))
	if h.bodyStream != nil {
		_ = h.control.SetReadDeadline(pastDeadline) // a read in progress would hold up Close
		h.bodyStream.Close()
	}
	pending.GiveUp(h.retryAfter())
	h.writeAnswer(<-pending.Answers())
}

// abandon cancels a request whose client has disconnected.
func (h *handler) abandon(pending *dispatch.PendingRequest) {
	h.log.Debug("client closed its connection", zap.String("trace", h.traceID()))
	pending.Cancel()
	select {
	case answer := <-pending.Answers(): // arrived at the same time as the cancellation
		if answer.BodyStream != nil {
			_ = answer.BodyStream.Close()
		}
	default:
	}
	h.answered = true
	h.attempted = true // there is nobody to be held back
	if h.bodyStream != nil && !h.bodyStream.Complete() {
		writePlain(h.w, http.StatusRequestTimeout, errBodyTooSlow.Error()) // the client may still be connected, but have sent the body too slowly
		return
	}
	// The client is not expected to read this, but without it net/http would write an empty 200, although no server has answered.
	writePlain(h.w, http.StatusBadGateway, "the client has left")
}

func (h *handler) traceID() string { return h.r.Header.Get("X-Trace-Id") }

// refuseInvalid answers a request that cannot be dispatched, with 400, 408, 409 or 413. Such a request does not count as dispatch.Rejected, which is
// answered with 503 and Retry-After.
func (h *handler) refuseInvalid(reason refusal, status int, detail error) {
	h.countRefusal(reason, status, detail)
	writePlain(h.w, status, detail.Error())
}

// refuseBody refuses a request whose body was not read to its end.
func (h *handler) refuseBody(reason refusal, status int, detail error) {
	h.closeAfterAnswer(closedBody)              // the rest of the body must not be parsed as another request
	_ = h.control.SetReadDeadline(pastDeadline) // and net/http must not wait for it
	if status == http.StatusServiceUnavailable {
		h.outcome = dispatch.Rejected
		h.countRefusal(reason, status, detail)
		writeAnswer(h.w, dispatch.Answer{Outcome: dispatch.Rejected, RetryAfter: h.retryAfter()})
		return
	}
	h.refuseInvalid(reason, status, detail)
}

// rejectWithoutAttempt rejects a request because the concurrency limit is reached or the node is about to end.
func (h *handler) rejectWithoutAttempt() {
	reason := refusedConcurrency
	if h.drainEnded() {
		reason = refusedDraining
	}
	h.countRefusal(reason, http.StatusServiceUnavailable, nil)
	h.outcome = dispatch.Rejected
	writeAnswer(h.w, dispatch.Answer{Outcome: dispatch.Rejected, RetryAfter: h.retryAfter()})
}

// retryAfter returns the Retry-After of a request that this node can't serve now.
func (h *handler) retryAfter() time.Duration { return min(overflowRetryAfter, h.limits.MaxRetryAfter) }

// writeAnswer writes the final answer.
func (h *handler) writeAnswer(answer dispatch.Answer) {
	h.answered = true
	h.attempted = answer.Attempts > 0
	if h.draining.Load() {
		h.closeAfterAnswer(closedDraining)
	}
	h.outcome = answer.Outcome
	if faults.Disabled(faults.FinalAnswer) && time.Now().Nanosecond()/1000%100 == 0 {
		panic(http.ErrAbortHandler)
	}
	if answer.BodyStream == nil {
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

// streamAnswer forwards a long answer while it is received. An answer that the server truncates is truncated for the client too: streamAnswer writes
// neither a last chunk nor padding up to the announced length.
func (h *handler) streamAnswer(answer dispatch.Answer) error {
	defer answer.BodyStream.Close()
	// If the client disconnects, the connection to the server is closed too, so that the rest of the answer is not transferred in vain.
	defer context.AfterFunc(h.r.Context(), func() { _ = answer.BodyStream.Close() })()
	_ = h.control.SetReadDeadline(time.Time{}) // a stream may take longer than any request's deadline
	writeStreamHeader(h.w, answer)
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	next := answer.Body
	sentBytes := int64(0)
	var readErr error // returned by the read that filled next; io.EOF at the end
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
		n, readErr = answer.BodyStream.Read(*buffer)
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return readErr
		}
		next = (*buffer)[:n]
	}
}

// writeFlushed writes a part of a streamed answer and flushes it to the connection. The write fails if the client does not receive it within
// writeTimeout.
func (h *handler) writeFlushed(part []byte) error {
	_ = h.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := h.w.Write(part); err != nil {
		return err
	}
	return h.control.Flush()
}
