package frontend

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// maxTimeout bounds the timeout that a client may send. A longer one is a client error, and could overflow time.Duration.
const maxTimeout = time.Hour

// Clients receive these texts as response bodies.
var (
	errMethod         = errors.New("unknown method: expected GET or PUT")
	errTraceID        = errors.New("X-Trace-Id: expected an id")
	errTimeout        = errors.New("X-Expires-In: expected a number and m or u, an hour at most")
	errRepeatedHeader = errors.New("a header that may stand once has several values")
)

// parseRequest fills in the fields that the dispatcher's decisions need; the rest of the request is forwarded unchanged. It returns the request's timeout.
func parseRequest(r *http.Request, request *dispatch.Request) (timeout time.Duration, err error) {
	request.Method = r.Method
	request.Target = originForm(r.RequestURI)
	request.TraceID = r.Header.Get("X-Trace-Id")
	request.IdempotencyKey = r.Header.Get("Idempotency-Key")
	request.Tenant = r.Header.Get("X-Customer")
	request.Write = r.Method == http.MethodPut
	if r.Method != http.MethodGet && r.Method != http.MethodPut {
		return 0, errMethod
	}
	for _, name := range []string{"X-Trace-Id", "X-Expires-In", "X-Customer", "Idempotency-Key"} {
		if len(r.Header[name]) > 1 {
			return 0, errRepeatedHeader // the node and the server could each use a different value
		}
	}
	if request.TraceID == "" {
		return 0, errTraceID
	}
	request.Class, request.Key = classAndKey(request.Target)
	request.EstimatedMs = workHint(r.Header.Get("X-Size-Hint"))
	return parseTimeout(r.Header.Get("X-Expires-In"))
}

// workHint converts an X-Size-Hint from microseconds to milliseconds. It returns 0 if the hint is absent or malformed.
func workHint(header string) float64 {
	micros, err := strconv.ParseFloat(header, 64)
	if err != nil || micros <= 0 || math.IsInf(micros, 0) || math.IsNaN(micros) {
		return 0
	}
	return micros / 1000
}

// originForm returns a request target without the scheme and host of the absolute form, as servers expect it.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	if _, after, absolute := strings.Cut(target, "://"); absolute {
		if i := strings.IndexAny(after, "/?"); i >= 0 && after[i] == '/' {
			return after[i:]
		}
	}
	return target
}

// classAndKey returns the class and the key of a request target: its first and its last path segment.
func classAndKey(target string) (class, key string) {
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	class, key, _ = strings.Cut(path, "/")
	return class, key[strings.LastIndexByte(key, '/')+1:]
}

// parseTimeout parses a number and its unit, m (milliseconds) or u (microseconds).
func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, errTimeout
	}
	last := len(text) - 1
	unit, known := timeoutUnits[text[last]]
	number, err := strconv.ParseFloat(text[:last], 64)
	if !known || err != nil || math.IsNaN(number) {
		return 0, errTimeout
	}
	nanoseconds := number * float64(unit)
	if nanoseconds > float64(maxTimeout) {
		return 0, errTimeout
	}
	return time.Duration(max(nanoseconds, -float64(maxTimeout))), nil
}

var timeoutUnits = map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}
