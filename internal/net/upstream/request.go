package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// unrewindableBody prevents http.Transport from retrying a request by itself. When a reused connection breaks, the
// transport retries a GET, or any request with an Idempotency-Key, if the request has no body or a body that can be
// rewound. Therefore even an empty body is wrapped.
type unrewindableBody struct{ io.Reader }

// Close does nothing.
func (unrewindableBody) Close() error { return nil }

// newRequest returns the HTTP request for an attempt. Target and body are forwarded unchanged; X-Expires-In tells the
// server how much time it has.
func newRequest(ctx context.Context, a *dispatch.Attempt) *http.Request {
	r := &http.Request{
		Method: a.Method,
		Host:   a.Address,
		// Opaque carries the client's request target, neither parsed nor escaped. The transport pools connections by the
		// URL's host. The host names the endpoint's incarnation instead of its address, so that a new server at the address
		// of a removed one is never sent a request over a connection to the old one.
		URL: &url.URL{Scheme: "http", Host: poolHost(a.Incarnation), Opaque: a.Target},
		Header: http.Header{
			"User-Agent":   nil,
			"X-Trace-Id":   {a.TraceID},
			"X-Expires-In": {formatExpiresIn(a.Timeout)},
		},
		Body:          unrewindableBody{bytes.NewReader(a.Body)},
		ContentLength: int64(len(a.Body)),
	}
	if a.BodyStream != nil {
		r.Body = unrewindableBody{io.MultiReader(bytes.NewReader(a.Body), a.BodyStream)}
		r.ContentLength = a.Length
	}
	if a.IdempotencyKey != "" {
		r.Header["Idempotency-Key"] = []string{a.IdempotencyKey}
	}
	target := dialTarget{address: a.Address, toCache: !a.Origin}
	return r.WithContext(context.WithValue(ctx, dialTargetKey{}, target))
}

// formatExpiresIn formats the remaining time for the X-Expires-In header, in microseconds.
func formatExpiresIn(remaining time.Duration) string {
	return strconv.FormatInt(remaining.Microseconds(), 10) + "u"
}

// poolHost returns the URL host by which the transport pools connections to an endpoint's incarnation. It is not sent to
// the server.
func poolHost(incarnation uint64) string { return "endpoint-" + strconv.FormatUint(incarnation, 10) }

// poolKey returns poolHost with the port, the form in which the transport passes it to the dialer.
func poolKey(incarnation uint64) string { return poolHost(incarnation) + ":80" }

// dialTargetKey is the context key under which a dialTarget is passed to the dialer.
type dialTargetKey struct{}

// dialTarget is the endpoint that a pool key identifies.
type dialTarget struct {
	address string
	toCache bool // the endpoint is a cache server, not the origin
}
