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

// unrewindableBody keeps the transport from sending a request again. When a kept connection breaks the transport repeats
// a GET, or anything with an Idempotency-Key, whose body it can rewind or that has none; so even an empty body is
// wrapped.
type unrewindableBody struct{ io.Reader }

// Close does nothing.
func (unrewindableBody) Close() error { return nil }

// newRequest returns the request that a server gets: the bytes as they came, and the time that is left.
func newRequest(ctx context.Context, a *dispatch.Attempt) *http.Request {
	r := &http.Request{
		Method: a.Method,
		Host:   a.Address,
		// Opaque: the target as it came, not parsed and not escaped. The transport pools connections by the URL's host: a
		// new server at the address of one that has gone must not get a connection to the old one.
		URL: &url.URL{Scheme: "http", Host: poolHost(a.Incarnation), Opaque: a.Target},
		Header: http.Header{
			"User-Agent":   nil,
			"X-Trace-Id":   {a.TraceID},
			"X-Expires-In": {formatExpiresIn(a.Timeout)},
		},
		Body:          unrewindableBody{bytes.NewReader(a.Body)},
		ContentLength: int64(len(a.Body)),
	}
	if a.Rest != nil {
		r.Body = unrewindableBody{io.MultiReader(bytes.NewReader(a.Body), a.Rest)}
		r.ContentLength = a.Length
	}
	if a.IdempotencyKey != "" {
		r.Header["Idempotency-Key"] = []string{a.IdempotencyKey}
	}
	target := dialTarget{address: a.Address, toCache: !a.Origin}
	return r.WithContext(context.WithValue(ctx, dialTargetKey{}, target))
}

// formatExpiresIn formats a time for the X-Expires-In header, in microseconds.
func formatExpiresIn(remaining time.Duration) string {
	return strconv.FormatInt(remaining.Microseconds(), 10) + "u"
}

// poolHost names an endpoint's incarnation as a host, by which the transport pools connections. No server sees it.
func poolHost(incarnation uint64) string { return "endpoint-" + strconv.FormatUint(incarnation, 10) }

// poolKey is poolHost with the port, as the dialer gets it.
func poolKey(incarnation uint64) string { return poolHost(incarnation) + ":80" }

// dialTargetKey is the key of a dialTarget in a dial's context.
type dialTargetKey struct{}

// dialTarget is what a pool key stands for.
type dialTarget struct {
	address string
	toCache bool // a cache server, not the origin
}
