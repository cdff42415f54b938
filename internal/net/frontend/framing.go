package frontend

import (
	"bytes"
	"strconv"
	"sync"
)

// framing follows the requests on a connection as their bytes come, to see what net/http does not show to a handler: a head that gives both a length
// and a transfer coding may hide another request in its body. Bodies are skipped, so that nothing in them counts. All methods but nextUnambiguous are
// for whoever reads the connection.
type framing struct {
	state     framingState
	line      []byte // the beginning of the present line
	headLines int    // of the present head
	headBytes int    // of the present head
	length    int64  // from the head, then what is left of a body or a chunk
	hasLength bool
	chunked   bool
	malformed bool

	mu      sync.Mutex
	pending []bool // heads that no handler has asked for yet, oldest first: whether each is unambiguous
}

// framingState is where in a request the next byte stands.
type framingState int

const (
	inHead framingState = iota
	inBody
	inChunkLine
	inChunk
	inChunkEnd
	inTrailer
	unknown // the framing is lost for the rest of the connection
)

const (
	maxLineBytes    = 64 // of a line that are parsed: the names, lengths and chunk sizes that matter are shorter
	maxPendingHeads = 64 // net/http buffers 4 KiB
)

// read follows the next bytes.
func (f *framing) read(b []byte) {
	for len(b) > 0 {
		switch f.state {
		case unknown:
			return
		case inBody, inChunk:
			b = f.skip(b)
		default:
			b = f.readLine(b)
		}
	}
}

// skip follows bytes of a body or a chunk, and returns those after it.
func (f *framing) skip(b []byte) []byte {
	n := min(f.length, int64(len(b)))
	f.length -= n
	if f.length == 0 {
		if f.state == inBody {
			f.startHead()
		} else {
			f.state = inChunkEnd
		}
	}
	return b[n:]
}

// readLine follows bytes up to the end of a line, and returns those after it.
func (f *framing) readLine(b []byte) []byte {
	n := bytes.IndexByte(b, '\n')
	if n < 0 {
		f.headBytes += len(b)
		f.appendLine(b)
		return nil
	}
	f.appendLine(b[:n])
	f.headBytes += n + 1
	f.endLine(bytes.TrimSuffix(f.line, []byte("\r")))
	f.line = f.line[:0]
	return b[n+1:]
}

func (f *framing) appendLine(b []byte) {
	f.line = append(f.line, b[:min(len(b), maxLineBytes-len(f.line))]...)
}

func (f *framing) startHead() {
	f.state = inHead
	f.headLines = 0
	f.headBytes = 0
	f.length = 0
	f.hasLength = false
	f.chunked = false
	f.malformed = false
}

// headTooLong reports whether the present head is longer than maxHeaderBytes.
func (f *framing) headTooLong() bool { return f.state == inHead && f.headBytes > maxHeaderBytes }

// midRequest reports whether a request has begun and has not come to its end.
func (f *framing) midRequest() bool { return f.state != inHead || f.headLines > 0 || len(f.line) > 0 }

// midHead reports whether a head has begun and has not come to its end.
func (f *framing) midHead() bool { return f.state == inHead && f.midRequest() }

// endLine follows a complete line.
func (f *framing) endLine(line []byte) {
	switch f.state {
	case inHead:
		if len(line) > 0 {
			f.parseField(line)
		} else if f.headLines > 0 {
			f.endHead()
		}
	case inChunkLine:
		f.startChunk(line)
	case inChunkEnd:
		f.state = inChunkLine
		if len(line) > 0 {
			f.state = unknown
		}
	case inTrailer:
		if len(line) == 0 {
			f.startHead()
		}
	}
}

func (f *framing) startChunk(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 64)
	switch {
	case err != nil || n < 0:
		f.state = unknown
	case n == 0:
		f.state = inTrailer
	default:
		f.state = inChunk
		f.length = n
	}
}

// parseField follows a line of a head.
func (f *framing) parseField(line []byte) {
	f.headLines++
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(bytes.ToLower(bytes.TrimSpace(name))) {
	case "content-length":
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		f.malformed = f.malformed || err != nil || n < 0 || f.hasLength && n != f.length
		f.hasLength = true
		f.length = n
	case "transfer-encoding":
		f.chunked = true
	}
}

func (f *framing) endHead() {
	unambiguous := !f.malformed && !(f.hasLength && f.chunked)
	f.mu.Lock()
	f.pending = append(f.pending, unambiguous)
	tooMany := len(f.pending) > maxPendingHeads
	f.mu.Unlock()
	switch {
	case !unambiguous || tooMany:
		f.state = unknown
	case f.chunked:
		f.state = inChunkLine
	case f.length > 0:
		f.state = inBody
	default:
		f.startHead()
	}
}

// nextUnambiguous reports whether the next head, in the order in which they came, gives its body's length in one way. Each handler calls it once.
func (f *framing) nextUnambiguous() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 {
		return false
	}
	first := f.pending[0]
	f.pending = f.pending[1:]
	return first
}
