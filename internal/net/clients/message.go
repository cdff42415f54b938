package clients

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/exchange"
)

// longestWithin bounds the time that a client may claim to wait, so that no clock overflows.
const longestWithin = time.Hour

var (
	errMethod = errors.New("unknown method: expected GET or PUT")
	errTrace  = errors.New("X-Trace-Id: expected an id")
	errWithin = errors.New("X-Expires-In: expected a number and m or u")
)

// decode takes out the few fields that decisions need, and keeps the rest as it came.
func decode(r *http.Request, body []byte) (in exchange.Lookup, within time.Duration, err error) {
	in = exchange.Lookup{Method: r.Method, Target: r.RequestURI, Trace: r.Header.Get("X-Trace-Id"),
		Idempotency: r.Header.Get("Idempotency-Key"), Partner: r.Header.Get("X-Customer"),
		Write: r.Method == http.MethodPut, Body: body}
	if r.Method != http.MethodGet && r.Method != http.MethodPut {
		return in, 0, errMethod
	}
	if in.Trace == "" {
		return in, 0, errTrace
	}
	path, _, _ := strings.Cut(strings.TrimPrefix(in.Target, "/"), "?")
	in.Namespace, in.Key, _ = strings.Cut(path, "/")
	in.Key = in.Key[strings.LastIndexByte(in.Key, '/')+1:]
	// A hint is rough and may be absent: what can't be read is none.
	if us, err := strconv.ParseFloat(r.Header.Get("X-Size-Hint"), 64); err == nil && us > 0 &&
		!math.IsInf(us, 0) {
		in.Work = us / 1000
	}
	within, err = span(r.Header.Get("X-Expires-In"))
	return in, within, err
}

// span reads a number and its unit.
func span(s string) (time.Duration, error) {
	units := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}
	if s == "" {
		return 0, errWithin
	}
	last := len(s) - 1
	unit, known := units[s[last]]
	x, err := strconv.ParseFloat(s[:last], 64)
	if !known || err != nil || math.IsNaN(x) {
		return 0, errWithin
	}
	x *= float64(unit)
	return time.Duration(min(max(x, -float64(longestWithin)), float64(longestWithin))), nil
}

// answer writes a final answer.
func answer(w http.ResponseWriter, a exchange.Answer) {
	switch a.Outcome {
	case exchange.Resolved:
		if a.ContentType == "" {
			a.ContentType = "application/octet-stream"
		}
		write(w, http.StatusOK, a.ContentType, a.Body)
	case exchange.Deferred:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
		}
		plain(w, http.StatusServiceUnavailable, "deferred: a retry is harmless")
	default:
		plain(w, http.StatusBadGateway, "abandoned: it may have run")
	}
}

func plain(w http.ResponseWriter, status int, text string) {
	write(w, status, "text/plain; charset=utf-8", []byte(text+"\n"))
}

func write(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a client that has gone is told by the request's context
}
