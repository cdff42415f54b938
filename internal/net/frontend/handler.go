package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// handler is one lookup at its client's connection, from its head to the last byte of its answer.
type handler struct {
	*Server
	w           http.ResponseWriter
	r           *http.Request
	control     *http.ResponseController
	conn        *clientConn // nil: not one of ours
	unambiguous bool        // its head gives its body's end in one way

	bodyStream *dispatch.BodyStream // what of a long body had not come when the lookup was taken
	class      string
	outcome    dispatch.Outcome // as the client sees it
	counted    bool             // counted as such
	answered   bool
	truncated  bool // the answer has begun and can't be finished
}

// finish counts the lookup, and sees to it that a client can tell an answer that is not whole. A panic would end the
// connection without an answer, so it is answered too.
func (a *handler) finish() {
	if p := recover(); p != nil {
		a.log.Error("a lookup's handler panicked", zap.Any("panic", p), zap.Stack("stack"))
		a.outcome = dispatch.Failed
		if a.truncated = a.answered; !a.answered {
			writePlain(a.w, http.StatusInternalServerError, "internal error")
		}
	}
	if a.counted {
		a.dispatcher.AddOpen(-1)
		a.dispatcher.CountEnd(a.class, a.outcome)
	}
	if a.bodyStream != nil {
		defer a.bodyStream.Close()
	}
	if a.w.Header().Get("Connection") == "close" {
		a.r.Body = http.NoBody // for what is left unread net/http would hold the place for half a second; see placed.Close
	}
	if a.truncated {
		panic(http.ErrAbortHandler) // ends the connection in the middle
	}
	a.drain()
}

// drain reads what still comes of a long body when its lookup is answered: a client that is cut off while it writes may
// never read its answer.
func (a *handler) drain() {
	if a.bodyStream == nil || a.bodyStream.Whole() {
		return
	}
	_ = a.control.Flush()
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	for {
		if _, err := a.bodyStream.Read(*buffer); err != nil {
			return
		}
	}
}

// bufferPool are for bodies on their way through.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// serve takes the lookup and answers it.
func (a *handler) serve() {
	a.class, _ = classAndKey(originForm(a.r.RequestURI))
	a.dispatcher.AddOpen(1)
	a.counted = true
	full := a.inFlight.Add(1) > a.maxInFlight.Load()
	defer a.inFlight.Add(-1)
	in, status, err := a.readBody()
	read := time.Now()
	if err != nil {
		a.w.Header().Set("Connection", "close")     // what follows is not to be read as another lookup,
		_ = a.control.SetReadDeadline(pastDeadline) // nor waited for: net/http would do so to the end of the body
		a.reject(status, err)
		return
	}
	if in.Rest != nil {
		a.bodyStream = in.Rest
		a.w.Header().Set("Connection", "close") // what is left of the body may be in the way
	}
	if full {
		a.log.Debug("request refused for want of room", zap.String("trace", a.traceID()))
		a.outcome = dispatch.Rejected
		writeAnswer(a.w, dispatch.Answer{Outcome: dispatch.Rejected, RetryAfter: min(overflowRetryAfter, a.limits.MaxRetryAfter)})
		return
	}
	within, err := parseRequest(a.r, &in)
	if err != nil {
		a.reject(http.StatusBadRequest, err)
		return
	}
	in.ClientGone = a.conn.clientGone
	t, err := a.dispatcher.Submit(in, read, within)
	if errors.Is(err, dispatch.ErrDuplicateID) {
		a.reject(http.StatusConflict, err)
		return
	}
	if err != nil {
		a.reject(http.StatusBadRequest, err)
		return
	}
	left := a.r.Context().Done()
	if faults.Without(faults.ClientLook) {
		left = nil
	}
	select {
	case ans := <-t.Answers():
		a.writeAnswer(ans)
	case <-left:
		a.log.Debug("a client left", zap.String("trace", a.traceID()))
		t.Abandon()
		select {
		case ans := <-t.Answers(): // it came in the same moment
			if ans.Rest != nil {
				_ = ans.Rest.Close()
			}
		default:
		}
		a.answered = true
		if a.bodyStream != nil && !a.bodyStream.Whole() {
			writePlain(a.w, http.StatusRequestTimeout, errBodyTooSlow.Error()) // a client that still listens is told why
			return
		}
		// Nobody should hear this; but an empty 200 would be an answer that no server made.
		writePlain(a.w, http.StatusBadGateway, "the client has left")
	}
}

func (a *handler) traceID() string { return a.r.Header.Get("X-Trace-Id") }

// reject answers a request that can't be taken.
func (a *handler) reject(status int, why error) {
	a.log.Debug("request turned away", zap.String("trace", a.traceID()), zap.Int("status", status), zap.Error(why))
	writePlain(a.w, status, why.Error())
}

// writeAnswer writes the final answer.
func (a *handler) writeAnswer(ans dispatch.Answer) {
	a.answered = true
	if a.draining.Load() {
		a.w.Header().Set("Connection", "close")
	}
	a.outcome = ans.Outcome
	if faults.Without(faults.AnswerOwed) && time.Now().Nanosecond()/1000%100 == 0 {
		panic(http.ErrAbortHandler)
	}
	if ans.Rest == nil {
		writeAnswer(a.w, ans)
		return
	}
	if err := a.streamAnswer(ans); err != nil {
		a.log.Info("a long answer is not passed on whole", zap.Error(err), zap.String("trace", a.traceID()))
		a.outcome, a.truncated = dispatch.Failed, true
	}
}

var errAnswerLength = errors.New("the answer is not as long as it was said to be")

// streamAnswer passes a long answer on as it comes. Nothing is held back, and what can't be finished is left unfinished: neither
// the last chunk nor the length told is ever made up.
func (a *handler) streamAnswer(ans dispatch.Answer) error {
	defer ans.Rest.Close()
	// A client that leaves ends the server's connection too, rather than have the rest brought for nobody.
	defer context.AfterFunc(a.r.Context(), func() { _ = ans.Rest.Close() })()
	_ = a.control.SetReadDeadline(time.Time{}) // it may take longer than any lookup
	if ans.Length >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(ans.Length, 10))
	}
	if ans.ContentType == "" {
		ans.ContentType = defaultContentType
	}
	a.w.Header().Set("Content-Type", ans.ContentType)
	a.w.WriteHeader(http.StatusOK)
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	for next, sent, end := ans.Body, int64(0), error(nil); ; {
		if sent += int64(len(next)); ans.Length >= 0 && sent > ans.Length {
			return errAnswerLength
		}
		_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := a.w.Write(next); err != nil {
			return err
		}
		if err := a.control.Flush(); err != nil {
			return err
		}
		switch {
		case end != nil && ans.Length >= 0 && sent < ans.Length:
			return errAnswerLength
		case end != nil:
			return nil
		}
		n, err := ans.Rest.Read(*buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		next, end = (*buffer)[:n], err
	}
}
