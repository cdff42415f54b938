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

const defaultContentType = "application/octet-stream"

// maxTimeout bounds the time that a client may claim to wait: more is a mistake, and would overflow a clock.
const maxTimeout = time.Hour

var (
	errMethod         = errors.New("unknown method: expected GET or PUT")
	errTraceID        = errors.New("X-Trace-Id: expected an id")
	errTimeout        = errors.New("X-Expires-In: expected a number and m or u, an hour at most")
	errRepeatedHeader = errors.New("a header that may stand once has several values")
)

var (
	errVersion         = errors.New("expected HTTP/1.1")
	errAmbiguousLength = errors.New("both Content-Length and Transfer-Encoding: expected one")
	errBodyTooLong     = errors.New("the body is over its bound")
	errBody            = errors.New("the body can't be read")
	errBodyTooSlow     = errors.New("the body has not come in time")
)

// readBody reads a lookup's body, or the beginning of a long one, or gives the status that it is turned away with. It must
// not be trusted to end where it says if it gives its length in two ways, or in one that HTTP/1.0 did not know.
func (a *handler) readBody() (in dispatch.Request, status int, err error) {
	r := a.r
	switch {
	case !r.ProtoAtLeast(1, 1):
		return in, http.StatusHTTPVersionNotSupported, errVersion
	case !a.unambiguous:
		return in, http.StatusBadRequest, errAmbiguousLength
	case r.ContentLength > a.limits.MaxStreamed:
		return in, http.StatusRequestEntityTooLarge, errBodyTooLong
	case r.ContentLength == 0:
		return in, 0, nil
	}
	from := a.newPacedBody()
	if in.Length = r.ContentLength; r.ContentLength > a.limits.MaxBuffered {
		_ = a.control.EnableFullDuplex() // an answer may come before its end
		in.Rest = dispatch.NewBodyStream(from)
		return in, 0, nil
	}
	in.Body, err = io.ReadAll(io.LimitReader(from, a.limits.MaxBuffered+1))
	tooLong := (*http.MaxBytesError)(nil)
	switch {
	case errors.As(err, &tooLong):
		return in, http.StatusRequestEntityTooLarge, errBodyTooLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		return in, http.StatusRequestTimeout, errBodyTooSlow
	case err != nil:
		return in, http.StatusBadRequest, errBody
	case int64(len(in.Body)) > a.limits.MaxBuffered:
		_ = a.control.EnableFullDuplex()
		in.Rest = dispatch.NewBodyStream(from)
	default:
		from.complete()
	}
	return in, 0, nil
}

// pacedBody is a body that has to go on coming. A client may be slow, but one that is slower than any true one holds its
// places for nothing.
type pacedBody struct {
	*handler
	reader   io.Reader
	deadline time.Time // moved on as bytes come; zero: none was wanted yet
}

func (a *handler) newPacedBody() *pacedBody {
	return &pacedBody{handler: a, reader: http.MaxBytesReader(nil, a.r.Body, a.limits.MaxStreamed)}
}

func (s *pacedBody) Read(b []byte) (int, error) {
	if s.deadline.IsZero() { // from here on: what a long body waits for before is not its client's fault
		s.deadline = time.Now().Add(bodyTimeout)
		if least := s.conn.accepted.Add(bodyTimeoutFromAccept); least.After(s.deadline) {
			s.deadline = least
		}
	}
	by := s.deadline
	if pause := time.Now().Add(maxBodyPause); pause.Before(by) {
		by = pause
	}
	_ = s.control.SetReadDeadline(by) // each connection here has deadlines
	n, err := s.reader.Read(b)
	s.deadline = s.deadline.Add(time.Duration(n) * time.Second / minBodyBytesPerSecond)
	if errors.Is(err, io.EOF) {
		s.complete()
	}
	return n, err
}

// complete says that the body has come: from here on a read only tells that the client left.
func (s *pacedBody) complete() {
	_ = s.control.SetReadDeadline(time.Now().Add(s.httpServer.WriteTimeout))
}

// parseRequest takes out the few fields that decisions need, and keeps the rest as it came.
func parseRequest(r *http.Request, in *dispatch.Request) (within time.Duration, err error) {
	in.Method, in.Target, in.TraceID = r.Method, originForm(r.RequestURI), r.Header.Get("X-Trace-Id")
	in.IdempotencyKey, in.Tenant = r.Header.Get("Idempotency-Key"), r.Header.Get("X-Customer")
	in.Write = r.Method == http.MethodPut
	if r.Method != http.MethodGet && r.Method != http.MethodPut {
		return 0, errMethod
	}
	for _, name := range []string{"X-Trace-Id", "X-Expires-In", "X-Customer", "Idempotency-Key"} {
		if len(r.Header[name]) > 1 {
			return 0, errRepeatedHeader // we might take one and a server the other
		}
	}
	if in.TraceID == "" {
		return 0, errTraceID
	}
	in.Class, in.Key = classAndKey(in.Target)
	// A hint is rough and may be absent: what can't be read is none.
	if us, err := strconv.ParseFloat(r.Header.Get("X-Size-Hint"), 64); err == nil && us > 0 &&
		!math.IsInf(us, 0) {
		in.Work = us / 1000
	}
	within, err = parseTimeout(r.Header.Get("X-Expires-In"))
	in.Timeout = within
	return within, err
}

// originForm gives a target without the scheme and the host that it may come with, as the servers expect it.
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

// classAndKey gives a target's namespace and key.
func classAndKey(target string) (namespace, key string) {
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	namespace, key, _ = strings.Cut(path, "/")
	return namespace, key[strings.LastIndexByte(key, '/')+1:]
}

// parseTimeout reads a number and its unit.
func parseTimeout(s string) (time.Duration, error) {
	units := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}
	if s == "" {
		return 0, errTimeout
	}
	last := len(s) - 1
	unit, known := units[s[last]]
	x, err := strconv.ParseFloat(s[:last], 64)
	if !known || err != nil || math.IsNaN(x) {
		return 0, errTimeout
	}
	if x *= float64(unit); x > float64(maxTimeout) {
		return 0, errTimeout
	}
	return time.Duration(max(x, -float64(maxTimeout))), nil
}

// writeAnswer writes a final answer.
func writeAnswer(w http.ResponseWriter, a dispatch.Answer) {
	switch a.Outcome {
	case dispatch.Served:
		if a.ContentType == "" {
			a.ContentType = defaultContentType
		}
		writeResponse(w, http.StatusOK, a.ContentType, a.Body)
	case dispatch.Rejected:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
		}
		writePlain(w, http.StatusServiceUnavailable, "deferred: a retry is harmless")
	default:
		writePlain(w, http.StatusBadGateway, "abandoned: it may have run")
	}
}

func writePlain(w http.ResponseWriter, status int, text string) {
	writeResponse(w, status, "text/plain; charset=utf-8", []byte(text+"\n"))
}

func writeResponse(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a client that has gone is told by the request's context
}
