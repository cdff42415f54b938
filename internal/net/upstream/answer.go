package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

const (
	initialReadBytes  = 4 << 10 // of an answer of unknown length, read before any of it is forwarded
	bufferTimeDivisor = 2       // an answer of unknown length is streamed if it still comes after half of the attempt's time
)

// Errors of an answer that can't be used.
var (
	errTooLong  = errors.New("the answer's body is over its bound")
	errUpgraded = errors.New("the server speaks another protocol from here on")
)

// readAnswer reads an answer to its end before it counts, which also lets its connection be used again. Of a long one it
// reads the first bytes only; its Length is not 0 then. An answer that doesn't tell its length is complete when the
// server closes the connection; a server that dies resets it.
func (c *Client) readAnswer(resp *http.Response, deadline time.Time) (dispatch.AttemptResult, dispatch.Answer, error) {
	ok := resp.StatusCode == http.StatusOK
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return dispatch.Malformed, dispatch.Answer{}, errUpgraded
	case resp.ContentLength > c.limits.MaxStreamed, resp.ContentLength > c.limits.MaxBuffered && !ok:
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

// resultOfStatus returns what a status other than 200 says.
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

// readBody reads a body to its end. It stops after the first bytes of a long one that may be streamed: one that tells
// so, and one of unknown length that goes on beyond the buffer's bound or beyond a part of the attempt's time.
func (c *Client) readBody(resp *http.Response, mayStream bool, deadline time.Time) (body []byte, hasRest bool, err error) {
	size := initialReadBytes
	knownLength := resp.ContentLength >= 0
	if knownLength {
		size = int(min(resp.ContentLength, c.limits.MaxBuffered)) + 1 // one more, so that the last read finds the end
	}
	now := time.Now()
	bufferUntil := now.Add(deadline.Sub(now) / bufferTimeDivisor)
	body = make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		tooLong := int64(len(body)) > c.limits.MaxBuffered
		switch {
		case errors.Is(err, io.EOF) && !tooLong:
			return body, false, nil
		case err != nil && !errors.Is(err, io.EOF):
			return nil, false, err
		case tooLong && !mayStream:
			return nil, false, errTooLong
		case mayStream && n > 0 && (tooLong || resp.ContentLength > c.limits.MaxBuffered || !knownLength && time.Now().After(bufferUntil)):
			return body, true, nil
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}
