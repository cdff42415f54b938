package servers

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
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/exchange"
)

// onceOnly is a body that the transport can't rewind, and so won't send again when a kept connection
// breaks: without it a GET, and anything with an Idempotency-Key, may reach a server twice. An empty one
// counts too, since a request with no body at all could be sent again.
type onceOnly struct{ io.Reader }

func (onceOnly) Close() error { return nil }

// request makes what goes on: the bytes that came, and the time that is left.
func request(ctx context.Context, shot *exchange.Shot) *http.Request {
	r := &http.Request{Method: shot.Method, Host: shot.Address,
		// The target as it came: not parsed, not escaped.
		URL: &url.URL{Scheme: "http", Host: shot.Address, Opaque: shot.Target},
		Header: http.Header{
			"User-Agent":   nil,
			"X-Trace-Id":   {shot.Trace},
			"X-Expires-In": {strconv.FormatInt(shot.Within.Microseconds(), 10) + "u"},
		},
		Body: onceOnly{bytes.NewReader(shot.Body)}, ContentLength: int64(len(shot.Body))}
	if shot.Idempotency != "" {
		r.Header["Idempotency-Key"] = []string{shot.Idempotency}
	}
	return r.WithContext(ctx)
}

// carried is the connection that a shot went out on, if it got one.
type carried struct {
	conn   *conn
	before int64 // bytes that had been written to it
}

func (on *carried) got(c net.Conn) {
	on.conn, _ = c.(*conn)
	on.before = on.conn.written.Load()
}

// unwritten says that the request's last byte was not written: it is in the last write, and that one
// failed or never was.
func (on *carried) unwritten() bool {
	return on.conn.failed.Load() || on.conn.written.Load() == on.before
}

// send does one exchange with a server and tells how it ended.
func (s *Servers) send(shot *exchange.Shot) (exchange.End, exchange.Answer) {
	ctx, cancel := context.WithTimeout(s.context, shot.Within)
	defer cancel()
	var on carried
	sent := time.Now()
	resp, err := s.transport.RoundTrip(request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { on.got(i.Conn) },
	}), shot))
	var end exchange.End
	var answer exchange.Answer
	if err != nil {
		end = s.broken(ctx, err, &on)
	} else {
		defer resp.Body.Close()
		if end, answer, err = s.read(resp); err != nil && ctx.Err() != nil {
			end = s.gaveUp()
		}
	}
	if err != nil {
		s.log.Info("shot came to nothing", zap.Stringer("end", end), zap.String("server", shot.Address),
			zap.String("trace", shot.Trace), zap.Duration("after", time.Since(sent)), zap.Error(err))
	}
	return end, answer
}

// broken tells how an exchange without an answer ended. The transport returns only after its writing
// is over, unless the wait for it was given up: then what was written is in doubt, and it may have run.
func (s *Servers) broken(ctx context.Context, err error, on *carried) exchange.End {
	var dial *net.OpError // the dial's own word
	switch {
	case errors.Is(err, errNoRoom):
		return exchange.NoRoom
	case on.conn == nil && s.context.Err() != nil:
		return exchange.Withdrawn
	case on.conn == nil && ctx.Err() != nil && !errors.As(err, &dial):
		return exchange.Overtaken
	case on.conn == nil:
		return exchange.Unreached
	case ctx.Err() != nil:
		return s.gaveUp()
	case on.unwritten():
		return exchange.Unwritten
	default:
		return exchange.Lost
	}
}

// gaveUp tells why the node stopped waiting.
func (s *Servers) gaveUp() exchange.End {
	if s.context.Err() != nil {
		return exchange.Withdrawn
	}
	return exchange.Silent
}

var errTooLong = errors.New("the answer's body is over its bound")

// read takes an answer whole before it counts, which also lets its connection be used again.
func (s *Servers) read(resp *http.Response) (exchange.End, exchange.Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.bounds.Body+1))
	if err == nil && int64(len(body)) > s.bounds.Body {
		err = errTooLong
	}
	if err != nil {
		return exchange.CutShort, exchange.Answer{}, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return exchange.Whole, exchange.Answer{Body: body, ContentType: resp.Header.Get("Content-Type")}, nil
	case http.StatusNotFound:
		return exchange.Lacking, exchange.Answer{}, nil
	case http.StatusInternalServerError:
		return exchange.Failing, exchange.Answer{}, nil
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Never-Ran") == "1" {
			return exchange.TurnedAway, exchange.Answer{}, nil
		}
	}
	return exchange.Unclear, exchange.Answer{}, nil
}
