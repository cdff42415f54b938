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
	bufferTimeDivisor = 2       // an answer of unknown length is streamed if it is incomplete after half of the remaining time
)

// unknownLength is the Content-Length of an answer that declares none.
const unknownLength = -1

// Errors of an answer that can't be delivered.
var (
	errTooLong  = errors.New("answer body exceeds the size limit")
	errUpgraded = errors.New("server switched protocols")
)

// readAnswer reads an answer to its end before it is delivered, which also allows the connection to be reused. Of a long
// answer it reads only the first bytes and sets Length to a value other than 0; the rest is to be streamed. An answer
// without a declared length is complete when the server closes the connection; a server that crashes resets it instead.
func (c *Client) readAnswer(resp *http.Response, deadline time.Time) (dispatch.AttemptResult, dispatch.Answer, error) {
	ok := resp.StatusCode == http.StatusOK
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return dispatch.Malformed, dispatch.Answer{}, errUpgraded
	case resp.ContentLength > c.limits.MaxStreamedBody, resp.ContentLength > c.limits.MaxBufferedBody && !ok:
		return dispatch.Malformed, dispatch.Answer{}, errTooLong
	}
	body, hasRest, err := c.readBody(resp, ok, deadline)
	switch {
	case err != nil && isConnectionError(err):
		return dispatch.Truncated, dispatch.Answer{}, err
	case err != nil:
		return dispatch.Malformed, dispatch.Answer{}, err
	case !ok:
		return resultOfStatus(resp), dispatch.Answer{}, nil
	}
	answer := dispatch.Answer{Body: body, ContentType: resp.Header.Get("Content-Type")}
	if hasRest {
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
// hasRest is true. A body is long if its declared length exceeds MaxBufferedBody. A body of unknown length is long if it exceeds
// MaxBufferedBody, or is incomplete after a part of the remaining time, see bufferTimeDivisor.
func (c *Client) readBody(resp *http.Response, mayStream bool, deadline time.Time) (body []byte, hasRest bool, err error) {
	size := initialReadBytes
	knownLength := resp.ContentLength >= 0
	if knownLength {
		size = int(min(resp.ContentLength, c.limits.MaxBufferedBody)) + 1 // 1 more, so that the last Read returns io.EOF
	}
	now := time.Now()
	bufferUntil := now.Add(deadline.Sub(now) / bufferTimeDivisor)
	streamNow := func() bool {
		return resp.ContentLength > c.limits.MaxBufferedBody || !knownLength && time.Now().After(bufferUntil)
	}
	body = make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		tooLong := int64(len(body)) > c.limits.MaxBufferedBody
		switch {
		case errors.Is(err, io.EOF) && !tooLong:
			return body, false, nil
		case err != nil && !errors.Is(err, io.EOF):
			return nil, false, err
		case tooLong && !mayStream:
			return nil, false, errTooLong
		case mayStream && n > 0 && (tooLong || streamNow()):
			return body, true, nil
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}
