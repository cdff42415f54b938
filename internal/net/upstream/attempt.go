package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

const (
	triesMost = 3                     // connections tried: more than that don't break by chance
	tellAnew  = 50 * time.Millisecond // a server hears what is left of a shot's time, up to so much
	takenIn   = 5 * time.Second       // for bytes that are written to a server, or to a client, to find room there
)

// onceOnly is a body that the transport can't rewind, and so won't send again when a kept connection
// breaks: without it a GET, and anything with an Idempotency-Key, may reach a server twice. An empty one
// counts too, since a request with no body at all could be sent again.
type onceOnly struct{ io.Reader }

func (onceOnly) Close() error { return nil }

// request makes what goes on: the bytes that came, and the time that is left.
func request(ctx context.Context, shot *dispatch.Attempt) *http.Request {
	r := &http.Request{Method: shot.Method, Host: shot.Address,
		// The target as it came: not parsed, not escaped. The host is what connections are kept by: a new server
		// at the address of one that has gone must get none that was made to the old one.
		URL: &url.URL{Scheme: "http", Host: hostOf(shot.Endpoint), Opaque: shot.Target},
		Header: http.Header{
			"User-Agent":   nil,
			"X-Trace-Id":   {shot.TraceID},
			"X-Expires-In": {expiresIn(within(shot))},
		},
		Body: onceOnly{bytes.NewReader(shot.Body)}, ContentLength: int64(len(shot.Body))}
	if shot.Rest != nil {
		r.Body, r.ContentLength = onceOnly{io.MultiReader(bytes.NewReader(shot.Body), shot.Rest)}, shot.Length
	}
	if shot.IdempotencyKey != "" {
		r.Header["Idempotency-Key"] = []string{shot.IdempotencyKey}
	}
	return r.WithContext(context.WithValue(ctx, toAddress{}, target{shot.Address, !shot.Origin}))
}

func expiresIn(left time.Duration) string { return strconv.FormatInt(left.Microseconds(), 10) + "u" }

// within is how long an answer is waited for, counted from the last byte of a body with a rest.
func within(shot *dispatch.Attempt) time.Duration {
	if shot.Rest != nil {
		return shot.Timeout
	}
	return shot.Timeout
}

// hostOf names a place for the transport, which keeps connections by it.
func hostOf(place uint64) string { return "place-" + strconv.FormatUint(place, 10) }

// placeOf names a place as the dialer hears of it.
func placeOf(place uint64) string { return hostOf(place) + ":80" }

// toAddress is the key under which a dial's context has the address behind a place.
type toAddress struct{}

type target struct {
	address string
	cache   bool
}

// carried is the connection that a shot went out on, if it got one.
type carried struct {
	conn          *conn
	request       *outgoing
	written, read int64 // bytes there had been before
}

func (on *carried) got(c net.Conn, reused bool, request *outgoing) {
	on.release() // the transport may have found the first one broken
	on.conn, _ = c.(*conn)
	on.request = request
	on.written, on.read = on.conn.take(reused, request)
}

// release says that nothing of this shot is on its connection any more.
func (on *carried) release() {
	if on.conn != nil {
		on.conn.release()
	}
}

// unwritten says that the request's last byte was not written: it is in the last write, and that one
// failed or never was.
func (on *carried) unwritten() bool {
	return on.conn.failed.Load() || on.conn.written.Load() == on.written
}

// deadline gives the time that the server is told to have, from now on: its connection may have come up late.
func (on *carried) deadline(shot *dispatch.Attempt, until time.Time) time.Duration {
	told, client := shot.Timeout, shot.ClientDeadline()
	if left := time.Until(until); told-left > tellAnew {
		told = max(0, left)
	}
	if !client.IsZero() {
		told = admission.Deadline(told, time.Until(client))
	}
	on.conn.tells(on.request, told, client)
	if faults.Without(faults.ToldDeadline) {
		told += time.Second / 2
	}
	return told
}

// withheld says why the request was not written, and won't be; Granted where it was, or where it got no connection.
func (on *carried) withheld() admission.Reason {
	if on.conn == nil {
		return admission.Granted
	}
	return on.conn.withheld(on.request)
}

// answered says that bytes came back.
func (on *carried) answered() bool {
	on.conn.mu.Lock()
	defer on.conn.mu.Unlock()
	return on.conn.read > on.read
}

// breaks says that an error is the connection's, not one of the bytes that came on it.
func breaks(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// send does one exchange with a server and tells how it ended. A connection that breaks before the shot was
// written whole tells little of the server, and the shot has not run, so another one is tried.
func (s *Client) send(shot *dispatch.Attempt) (dispatch.AttemptResult, dispatch.Answer) {
	sent := time.Now()
	until := shot.AttemptDeadline(sent)
	for tried := 1; ; tried++ {
		var on carried
		end, answer, err := s.once(shot, until, &on)
		if err != nil && on.conn != nil && on.conn.retire() {
			_ = on.conn.Close() // by now: the transport's own closing may come after the next shot, where one may be out at a time
		}
		late := !shot.SendBy.IsZero() && time.Now().After(shot.SendBy) || !time.Now().Before(until)
		once := shot.Rest != nil && shot.Rest.Started()
		denied := on.withheld()
		shot.Deny(denied)
		again := end == dispatch.WriteFailed || denied == admission.NotQuiet || denied == admission.ConnectionEnding || denied == admission.DeadlineStale
		if again && tried < triesMost && s.context.Err() == nil && !late && !once {
			continue
		}
		if end <= dispatch.UnclearStatus && (shot.Rest == nil || shot.Rest.Whole()) {
			shot.Written() // also where nothing was left in the transport's buffer
		}
		if err != nil {
			s.log.Info("shot came to nothing", zap.Stringer("end", end), zap.String("server", shot.Address),
				zap.String("trace", shot.TraceID), zap.Duration("after", time.Since(sent)), zap.Error(err))
		}
		return end, answer
	}
}

// once tries one connection.
func (s *Client) once(shot *dispatch.Attempt, until time.Time, on *carried) (dispatch.AttemptResult, dispatch.Answer, error) {
	ctx, end := context.WithCancelCause(s.context)
	defer end(nil)
	w := &wait{end: end}
	halt := w.halt
	limit := time.AfterFunc(time.Until(until), func() { halt(errLate) })
	defer limit.Stop()
	watch := s.watch(shot, on, halt)
	defer watch.Stop()
	defer on.release()
	var r *http.Request
	r = request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			on.got(i.Conn, i.Reused, &outgoing{client: shot.ClientState, beginBy: shot.SendBy})
			if i.Reused {
				on.conn.awaitQuiet(ctx, on.request, s.dialer.quiet.wanted(placeOf(shot.Endpoint)), earlier(until, shot.SendBy))
			}
			if shot.Rest == nil {
				r.Header["X-Expires-In"] = []string{expiresIn(on.deadline(shot, until))}
			}
		},
		// From the first byte of a long body on, its time counts from its last.
		WroteHeaders: func() {
			if shot.Rest != nil {
				limit.Stop()
			}
		},
		GotFirstResponseByte: func() { watch.Reset(s.pauses.patience()) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err != nil || on.conn == nil {
				return
			}
			if on.conn.last(shot.Written); shot.Rest != nil {
				shot.BodySent()
				limit.Reset(within(shot))
			}
		},
	}), shot)
	resp, err := s.transport.RoundTrip(r)
	if err != nil {
		return s.broken(ctx, err, shot, on), dispatch.Answer{}, err
	}
	defer resp.Body.Close()
	how, answer, err := s.read(resp, until)
	if how == dispatch.Shed && on.written == 0 && resp.Close {
		how = dispatch.ConnectionLimit // a full queue turns a shot away and keeps the connection
	}
	denied := on.withheld()
	switch {
	case denied != admission.Granted:
		return endOf(denied), dispatch.Answer{}, denial{denied}
	case err != nil && ctx.Err() != nil:
		return s.gaveUp(ctx), dispatch.Answer{}, err
	case err != nil && on.conn.failedHere.Load():
		return dispatch.Canceled, dispatch.Answer{}, err
	case err != nil || how != dispatch.Complete:
		return how, answer, err
	}
	s.pauses.seen(on.conn.paused())
	if answer.Length != 0 {
		limit.Stop() // it has come in time; how long it takes is the server's and the client's
		watch.Stop()
		if w.over(); ctx.Err() != nil {
			return s.gaveUp(ctx), dispatch.Answer{}, context.Cause(ctx)
		}
		return s.pass(ctx, shot, resp, answer, end)
	}
	return how, answer, nil
}

// earlier gives the first of two times; a zero one is none.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}

// wait is for an answer. A timer that was stopped may still come: on a crowded core what it starts runs late.
type wait struct {
	mu   sync.Mutex
	done bool
	end  context.CancelCauseFunc
}

// halt gives the shot up, unless the wait is over.
func (w *wait) halt(why error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.done {
		w.end(why)
	}
}

func (w *wait) over() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
}

// broken tells how an exchange without an answer ended. The transport returns only after its writing
// is over, unless the wait for it was given up: then what was written is in doubt, and it may have run.
func (s *Client) broken(ctx context.Context, err error, shot *dispatch.Attempt, on *carried) dispatch.AttemptResult {
	var dial *net.OpError // the dial's own word
	denied := on.withheld()
	switch {
	case errors.Is(err, errNoRoom), on.conn == nil && local(err):
		return dispatch.NoResources
	case denied != admission.Granted && s.context.Err() == nil:
		return endOf(denied)
	case on.conn == nil && s.context.Err() != nil:
		return dispatch.Canceled
	case on.conn == nil && ctx.Err() != nil && !errors.As(err, &dial):
		return dispatch.NotConnected
	case on.conn == nil && errors.Is(err, syscall.ECONNRESET):
		return dispatch.WriteFailed // a new connection that is reset: a dead server would refuse it
	case on.conn == nil && errors.As(err, &dial) && dial.Timeout():
		return dispatch.ConnectTimeout
	case on.conn == nil:
		return dispatch.ConnectRefused
	case shot.Rest != nil && !shot.Rest.Whole():
		return dispatch.WriteFailed // its last byte never came to us
	case ctx.Err() != nil:
		return s.gaveUp(ctx)
	case on.unwritten() && on.conn.failedHere.Load():
		return dispatch.NoResources
	case on.unwritten():
		return dispatch.WriteFailed
	case on.conn.failedHere.Load():
		return dispatch.Canceled
	case on.answered() && !breaks(err):
		return dispatch.Malformed
	default:
		return dispatch.ConnectionLost
	}
}

// endOf tells how an attempt ended that was not written. Only what its server did on the connection tells of that server.
func endOf(denied admission.Reason) dispatch.AttemptResult {
	switch denied {
	case admission.RequestOver, admission.ClientGone:
		return dispatch.Withheld
	case admission.UnsolicitedBytes:
		return dispatch.WriteFailed
	default:
		return dispatch.NotConnected
	}
}

// gaveUp tells why the node stopped waiting.
func (s *Client) gaveUp(ctx context.Context) dispatch.AttemptResult {
	switch {
	case s.context.Err() != nil:
		return dispatch.Canceled
	case errors.Is(context.Cause(ctx), errHalf):
		return dispatch.Malformed
	default:
		return dispatch.TimedOut
	}
}

var (
	errTooLong = errors.New("the answer's body is over its bound")
	errOther   = errors.New("the server speaks another protocol from here on")
	errHalf    = errors.New("the answer has begun and does not go on")
	errLate    = errors.New("no answer in time")
)

// read takes an answer whole before it counts, which also lets its connection be used again. Of a long one it takes the
// first bytes; its Length is not 0 then. Where an answer says nothing of its length it is whole when the server ends the
// connection; one that dies resets it.
func (s *Client) read(resp *http.Response, until time.Time) (dispatch.AttemptResult, dispatch.Answer, error) {
	good := resp.StatusCode == http.StatusOK
	switch most := s.bounds.MaxStreamed; {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return dispatch.Malformed, dispatch.Answer{}, errOther
	case resp.ContentLength > most, resp.ContentLength > s.bounds.MaxBuffered && !good:
		return dispatch.Malformed, dispatch.Answer{}, errTooLong
	}
	answer := dispatch.Answer{ContentType: resp.Header.Get("Content-Type")}
	long, err := false, error(nil)
	if answer.Body, long, err = s.gather(resp, good, until); long {
		answer.Length = resp.ContentLength
	}
	switch {
	case err != nil && breaks(err):
		return dispatch.Truncated, dispatch.Answer{}, err
	case err != nil:
		return dispatch.Malformed, dispatch.Answer{}, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return dispatch.Complete, answer, nil
	case http.StatusNotFound:
		return dispatch.NotFound, dispatch.Answer{}, nil
	case http.StatusInternalServerError:
		return dispatch.ServerError, dispatch.Answer{}, nil
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Never-Ran") == "1" {
			return dispatch.Shed, dispatch.Answer{}, nil
		}
	}
	return dispatch.UnclearStatus, dispatch.Answer{}, nil
}
