package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

const (
	initialReadBytes  = 4 << 10 // read of an answer of unknown length before any of it is streamed
	bufferTimeDivisor = 2       // an answer of unknown length is streamed if it is incomplete after half of the attempt's remaining time
)

// unknownLength is the Content-Length of an answer that declares none.
const unknownLength = -1

// Errors of an answer that can't be delivered.
var (
	errTooLong  = errors.New("answer body exceeds the size limit")
	errUpgraded = errors.New("server switched protocols")
)

// receivedAnswer is an answer of which the head and a part of the body, or all of it, were received.
type receivedAnswer struct {
	dispatch.Answer
	rest io.Reader // the rest of the body, to be streamed; nil: the body is whole
}

// answerTimes are when an answer that is not whole is streamed.
type answerTimes struct {
	streamFrom time.Time // from then on an answer of unknown length is streamed as soon as a part of its body comes
	streamBy   time.Time // at that time it is, if a part of its body has come, whether or not more comes; zero: never
}

// answerTimes returns the times for an answer whose head has come, for which the exchange's deadline is moved if it may be long.
func (x *exchange) answerTimes(resp *http.Response) answerTimes {
	now := time.Now()
	times := answerTimes{streamFrom: now.Add(x.answerDeadline().Sub(now) / bufferTimeDivisor)}
	if resp.StatusCode == http.StatusOK && (resp.ContentLength < 0 || resp.ContentLength > x.client.limits.MaxBufferedBody) {
		times.streamBy = x.allowLongAnswer()
	}
	return times
}

// readAnswer reads an answer to its end before it is delivered, which also allows the connection to be reused. Of a long
// answer it reads only the first bytes and sets rest and Length. An answer without a declared length is complete when the
// server closes the connection; a server that crashes resets it instead.
func (c *Client) readAnswer(resp *http.Response, times answerTimes) (dispatch.AttemptResult, receivedAnswer, error) {
	ok := resp.StatusCode == http.StatusOK
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return dispatch.Malformed, receivedAnswer{}, errUpgraded
	case resp.ContentLength > c.limits.MaxStreamedBody, resp.ContentLength > c.limits.MaxBufferedBody && !ok:
		return dispatch.Malformed, receivedAnswer{}, errTooLong
	}
	body, rest, err := c.readBody(resp, ok, times)
	switch {
	case err != nil && isConnectionError(err):
		return dispatch.Truncated, receivedAnswer{}, err
	case err != nil:
		return dispatch.Malformed, receivedAnswer{}, err
	case !ok:
		return resultOfStatus(resp), receivedAnswer{}, nil
	}
	answer := receivedAnswer{Answer: dispatch.Answer{Body: body, ContentType: resp.Header.Get("Content-Type")}, rest: rest}
	if rest != nil {
		answer.Length = resp.ContentLength
	}
	return dispatch.Complete, answer, nil
}

// resultOfStatus returns the result for a status other than 200.
func resultOfStatus(resp *http.Response) dispatch.AttemptResult {
	switch resp.StatusCode {
	case http.StatusNotFound:
		return dispatch.NotFound
	case http.StatusInternalServerError:
		return dispatch.ServerError
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Never-Ran") == "1" {
			return dispatch.Shed
		}
	}
	return dispatch.UnclearStatus
}

// readBody reads a body to its end, except for a long body that may be streamed: then it stops after the first bytes, and
// returns the rest. A body is long if its declared length exceeds MaxBufferedBody. A body of unknown length is long if it exceeds
// MaxBufferedBody, or is incomplete at the times of answerTimes.
func (c *Client) readBody(resp *http.Response, mayStream bool, times answerTimes) (body []byte, rest io.Reader, err error) {
	if resp.ContentLength < 0 && mayStream {
		return c.readBodyOfUnknownLength(resp.Body, times)
	}
	size := initialReadBytes
	if resp.ContentLength >= 0 {
		size = int(min(resp.ContentLength, c.limits.MaxBufferedBody)) + 1 // 1 more, so that the last Read returns io.EOF
	}
	body = make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		tooLong := int64(len(body)) > c.limits.MaxBufferedBody
		switch {
		case errors.Is(err, io.EOF) && !tooLong:
			return body, nil, nil
		case err != nil && !errors.Is(err, io.EOF):
			return nil, nil, err
		case tooLong && !mayStream:
			return nil, nil, errTooLong
		case n > 0 && resp.ContentLength > c.limits.MaxBufferedBody:
			return body, resp.Body, nil
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}

// readBodyOfUnknownLength is readBody for a body that declares no length and may be streamed. At times.streamBy it stops waiting for more bytes.
func (c *Client) readBodyOfUnknownLength(source io.Reader, times answerTimes) (body []byte, rest io.Reader, err error) {
	reader := newInterruptibleReader(source)
	body = make([]byte, 0, initialReadBytes)
	until := times.streamBy
	for {
		n, interrupted, err := reader.readUntil(body[len(body):cap(body)], until)
		body = body[:len(body)+n]
		tooLong := int64(len(body)) > c.limits.MaxBufferedBody
		switch {
		case interrupted && len(body) > 0:
			return body, reader, nil
		case interrupted: // there is nothing to stream yet
			until = time.Time{}
		case errors.Is(err, io.EOF) && !tooLong:
			return body, nil, nil
		case err != nil && !errors.Is(err, io.EOF):
			return nil, nil, err
		case n > 0 && (tooLong || time.Now().After(times.streamFrom)):
			return body, reader, nil
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}
