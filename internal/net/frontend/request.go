package frontend

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

const anyBytes = "application/octet-stream"

// longestWithin bounds the time that a client may claim to wait: more is a mistake, and would overflow a clock.
const longestWithin = time.Hour

var (
	errMethod = errors.New("unknown method: expected GET or PUT")
	errTrace  = errors.New("X-Trace-Id: expected an id")
	errWithin = errors.New("X-Expires-In: expected a number and m or u, an hour at most")
	errTwice  = errors.New("a header that may stand once has several values")
)

var (
	errVersion = errors.New("expected HTTP/1.1")
	errLengths = errors.New("both Content-Length and Transfer-Encoding: expected one")
	errLong    = errors.New("the body is over its bound")
	errBody    = errors.New("the body can't be read")
	errSlow    = errors.New("the body has not come in time")
)

// body reads a lookup's body, or the beginning of a long one, or gives the status that it is turned away with. It must
// not be trusted to end where it says if it gives its length in two ways, or in one that HTTP/1.0 did not know.
func (a *call) body() (in dispatch.Request, status int, err error) {
	r := a.r
	switch {
	case !r.ProtoAtLeast(1, 1):
		return in, http.StatusHTTPVersionNotSupported, errVersion
	case !a.sound:
		return in, http.StatusBadRequest, errLengths
	case r.ContentLength > a.bounds.MaxStreamed:
		return in, http.StatusRequestEntityTooLarge, errLong
	case r.ContentLength == 0:
		return in, 0, nil
	}
	from := a.steady()
	if in.Length = r.ContentLength; r.ContentLength > a.bounds.MaxBuffered {
		_ = a.control.EnableFullDuplex() // an answer may come before its end
		in.Rest = dispatch.NewBodyStream(from)
		return in, 0, nil
	}
	in.Body, err = io.ReadAll(io.LimitReader(from, a.bounds.MaxBuffered+1))
	tooLong := (*http.MaxBytesError)(nil)
	switch {
	case errors.As(err, &tooLong):
		return in, http.StatusRequestEntityTooLarge, errLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		return in, http.StatusRequestTimeout, errSlow
	case err != nil:
		return in, http.StatusBadRequest, errBody
	case int64(len(in.Body)) > a.bounds.MaxBuffered:
		_ = a.control.EnableFullDuplex()
		in.Rest = dispatch.NewBodyStream(from)
	default:
		from.over()
	}
	return in, 0, nil
}

// steady is a body that has to go on coming. A client may be slow, but one that is slower than any true one holds its
// places for nothing.
type steady struct {
	*call
	from io.Reader
	by   time.Time // moved on as bytes come; zero: none was wanted yet
}

func (a *call) steady() *steady {
	return &steady{call: a, from: http.MaxBytesReader(nil, a.r.Body, a.bounds.MaxStreamed)}
}

func (s *steady) Read(b []byte) (int, error) {
	if s.by.IsZero() { // from here on: what a long body waits for before is not its client's fault
		s.by = time.Now().Add(bodyIn)
		if least := s.conn.accepted.Add(bodyBy); least.After(s.by) {
			s.by = least
		}
	}
	by := s.by
	if pause := time.Now().Add(bodyPause); pause.Before(by) {
		by = pause
	}
	_ = s.control.SetReadDeadline(by) // each connection here has deadlines
	n, err := s.from.Read(b)
	s.by = s.by.Add(time.Duration(n) * time.Second / bodyRate)
	if errors.Is(err, io.EOF) {
		s.over()
	}
	return n, err
}

// over says that the body has come: from here on a read only tells that the client left.
func (s *steady) over() { _ = s.control.SetReadDeadline(time.Now().Add(s.server.WriteTimeout)) }

// decode takes out the few fields that decisions need, and keeps the rest as it came.
func decode(r *http.Request, in *dispatch.Request) (within time.Duration, err error) {
	in.Method, in.Target, in.TraceID = r.Method, origin(r.RequestURI), r.Header.Get("X-Trace-Id")
	in.IdempotencyKey, in.Tenant = r.Header.Get("Idempotency-Key"), r.Header.Get("X-Customer")
	in.Write = r.Method == http.MethodPut
	if r.Method != http.MethodGet && r.Method != http.MethodPut {
		return 0, errMethod
	}
	for _, name := range []string{"X-Trace-Id", "X-Expires-In", "X-Customer", "Idempotency-Key"} {
		if len(r.Header[name]) > 1 {
			return 0, errTwice // we might take one and a server the other
		}
	}
	if in.TraceID == "" {
		return 0, errTrace
	}
	in.Class, in.Key = parts(in.Target)
	// A hint is rough and may be absent: what can't be read is none.
	if us, err := strconv.ParseFloat(r.Header.Get("X-Size-Hint"), 64); err == nil && us > 0 &&
		!math.IsInf(us, 0) {
		in.Work = us / 1000
	}
	within, err = span(r.Header.Get("X-Expires-In"))
	in.Timeout = within
	return within, err
}

// origin gives a target without the scheme and the host that it may come with, as the servers expect it.
func origin(target string) string {
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

// parts gives a target's namespace and key.
func parts(target string) (namespace, key string) {
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	namespace, key, _ = strings.Cut(path, "/")
	return namespace, key[strings.LastIndexByte(key, '/')+1:]
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
	if x *= float64(unit); x > float64(longestWithin) {
		return 0, errWithin
	}
	return time.Duration(max(x, -float64(longestWithin))), nil
}

// answer writes a final answer.
func answer(w http.ResponseWriter, a dispatch.Answer) {
	switch a.Outcome {
	case dispatch.Served:
		if a.ContentType == "" {
			a.ContentType = anyBytes
		}
		write(w, http.StatusOK, a.ContentType, a.Body)
	case dispatch.Rejected:
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
