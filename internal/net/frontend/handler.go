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

// call is one lookup at its client's connection, from its head to the last byte of its answer.
type call struct {
	*Server
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	conn    *placed // nil: not one of ours
	sound   bool    // its head gives its body's end in one way

	rest      *dispatch.BodyStream // what of a long body had not come when the lookup was taken
	namespace string
	outcome   dispatch.Outcome // as the client sees it
	open      bool             // counted as such
	answered  bool
	broken    bool // the answer has begun and can't be finished
}

// end counts the lookup, and sees to it that a client can tell an answer that is not whole. A panic would end the
// connection without an answer, so it is answered too.
func (a *call) end() {
	if p := recover(); p != nil {
		a.log.Error("a lookup's handler panicked", zap.Any("panic", p), zap.Stack("stack"))
		a.outcome = dispatch.Failed
		if a.broken = a.answered; !a.answered {
			plain(a.w, http.StatusInternalServerError, "internal error")
		}
	}
	if a.open {
		a.exchange.AddOpen(-1)
		a.exchange.CountEnd(a.namespace, a.outcome)
	}
	if a.rest != nil {
		defer a.rest.Close()
	}
	if a.w.Header().Get("Connection") == "close" {
		a.r.Body = http.NoBody // for what is left unread net/http would hold the place for half a second; see placed.Close
	}
	if a.broken {
		panic(http.ErrAbortHandler) // ends the connection in the middle
	}
	a.drain()
}

// drain reads what still comes of a long body when its lookup is answered: a client that is cut off while it writes may
// never read its answer.
func (a *call) drain() {
	if a.rest == nil || a.rest.Whole() {
		return
	}
	_ = a.control.Flush()
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for {
		if _, err := a.rest.Read(*buffer); err != nil {
			return
		}
	}
}

// buffers are for bodies on their way through.
var buffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// serve takes the lookup and answers it.
func (a *call) serve() {
	a.namespace, _ = parts(origin(a.r.RequestURI))
	a.exchange.AddOpen(1)
	a.open = true
	full := a.inHand.Add(1) > a.most.Load()
	defer a.inHand.Add(-1)
	in, status, err := a.body()
	read := time.Now()
	if err != nil {
		a.w.Header().Set("Connection", "close") // what follows is not to be read as another lookup,
		_ = a.control.SetReadDeadline(past)     // nor waited for: net/http would do so to the end of the body
		a.turnAway(status, err)
		return
	}
	if in.Rest != nil {
		a.rest = in.Rest
		a.w.Header().Set("Connection", "close") // what is left of the body may be in the way
	}
	if full {
		a.log.Debug("request refused for want of room", zap.String("trace", a.trace()))
		a.outcome = dispatch.Rejected
		answer(a.w, dispatch.Answer{Outcome: dispatch.Rejected, RetryAfter: min(beyondAdvice, a.bounds.MaxRetryAfter)})
		return
	}
	within, err := decode(a.r, &in)
	if err != nil {
		a.turnAway(http.StatusBadRequest, err)
		return
	}
	in.ClientGone = a.conn.gone
	t, err := a.exchange.Submit(in, read, within)
	if errors.Is(err, dispatch.ErrDuplicateID) {
		a.turnAway(http.StatusConflict, err)
		return
	}
	if err != nil {
		a.turnAway(http.StatusBadRequest, err)
		return
	}
	left := a.r.Context().Done()
	if faults.Without(faults.ClientLook) {
		left = nil
	}
	select {
	case ans := <-t.Answers():
		a.answer(ans)
	case <-left:
		a.log.Debug("a client left", zap.String("trace", a.trace()))
		t.Abandon()
		select {
		case ans := <-t.Answers(): // it came in the same moment
			if ans.Rest != nil {
				_ = ans.Rest.Close()
			}
		default:
		}
		a.answered = true
		if a.rest != nil && !a.rest.Whole() {
			plain(a.w, http.StatusRequestTimeout, errSlow.Error()) // a client that still listens is told why
			return
		}
		// Nobody should hear this; but an empty 200 would be an answer that no server made.
		plain(a.w, http.StatusBadGateway, "the client has left")
	}
}

func (a *call) trace() string { return a.r.Header.Get("X-Trace-Id") }

// turnAway answers a request that can't be taken.
func (a *call) turnAway(status int, why error) {
	a.log.Debug("request turned away", zap.String("trace", a.trace()), zap.Int("status", status), zap.Error(why))
	plain(a.w, status, why.Error())
}

// answer writes the final answer.
func (a *call) answer(ans dispatch.Answer) {
	a.answered = true
	if a.leaving.Load() {
		a.w.Header().Set("Connection", "close")
	}
	a.outcome = ans.Outcome
	if faults.Without(faults.AnswerOwed) && time.Now().Nanosecond()/1000%100 == 0 {
		panic(http.ErrAbortHandler)
	}
	if ans.Rest == nil {
		answer(a.w, ans)
		return
	}
	if err := a.pass(ans); err != nil {
		a.log.Info("a long answer is not passed on whole", zap.Error(err), zap.String("trace", a.trace()))
		a.outcome, a.broken = dispatch.Failed, true
	}
}

var errLength = errors.New("the answer is not as long as it was said to be")

// pass passes a long answer on as it comes. Nothing is held back, and what can't be finished is left unfinished: neither
// the last chunk nor the length told is ever made up.
func (a *call) pass(ans dispatch.Answer) error {
	defer ans.Rest.Close()
	// A client that leaves ends the server's connection too, rather than have the rest brought for nobody.
	defer context.AfterFunc(a.r.Context(), func() { _ = ans.Rest.Close() })()
	_ = a.control.SetReadDeadline(time.Time{}) // it may take longer than any lookup
	if ans.Length >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(ans.Length, 10))
	}
	if ans.ContentType == "" {
		ans.ContentType = anyBytes
	}
	a.w.Header().Set("Content-Type", ans.ContentType)
	a.w.WriteHeader(http.StatusOK)
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for next, sent, end := ans.Body, int64(0), error(nil); ; {
		if sent += int64(len(next)); ans.Length >= 0 && sent > ans.Length {
			return errLength
		}
		_ = a.control.SetWriteDeadline(time.Now().Add(takenIn))
		if _, err := a.w.Write(next); err != nil {
			return err
		}
		if err := a.control.Flush(); err != nil {
			return err
		}
		switch {
		case end != nil && ans.Length >= 0 && sent < ans.Length:
			return errLength
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
