package frontend

import (
	"bytes"
	"strconv"
	"sync"
)

// framing parses the message framing of the requests on a connection, to detect what net/http does not expose to a handler: a head with both
// Content-Length and Transfer-Encoding, whose body may hide another request. Bodies are skipped, so that their content is never parsed as headers.
// All methods except nextUnambiguous must be called by the goroutine that reads the connection.
type framing struct {
	state     framingState
	line      []byte // the first maxLineBytes of the current line
	headLines int    // lines of the current head
	headBytes int    // bytes of the current head
	length    int64  // Content-Length of the head, then the remaining bytes of the body or chunk
	hasLength bool
	chunked   bool
	malformed bool

	tooManyLines bool // a head had more than maxHeaderLines; never reset, since its connection is closed

	mu      sync.Mutex
	pending []bool // for each head that no handler has requested yet, oldest first: whether it is unambiguous
}

// framingState is the part of a request that the next byte belongs to.
type framingState int

const (
	inHead framingState = iota
	inBody
	inChunkLine
	inChunk
	inChunkEnd
	inTrailer
	unknown // the rest of the connection cannot be parsed
)

const (
	maxLineBytes    = 64 // prefix of a line that is kept for parsing; all relevant names, lengths and chunk sizes are shorter
	maxPendingHeads = 64 // more than fit into the 4 KiB that net/http buffers
)

// read parses the next bytes of the connection.
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

// skip consumes bytes of a body or a chunk, and returns the bytes after it.
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

// readLine consumes bytes up to the end of a line, and returns the bytes after it.
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

// headTooLong reports whether the current head is longer than maxHeaderBytes or has more lines than maxHeaderLines.
func (f *framing) headTooLong() bool {
	return f.state == inHead && f.headBytes > maxHeaderBytes || f.tooManyLines
}

// midRequest reports whether a request was read partially.
func (f *framing) midRequest() bool { return f.state != inHead || f.headLines > 0 || len(f.line) > 0 }

// midHead reports whether a head was read partially.
func (f *framing) midHead() bool { return f.state == inHead && f.midRequest() }

// endLine parses a complete line and moves to the next state.
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

// parseField parses a line of a head.
func (f *framing) parseField(line []byte) {
	f.headLines++
	f.tooManyLines = f.tooManyLines || f.headLines > maxHeaderLines
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

// nextUnambiguous reports whether the next head, in the order of arrival, gives its body's length in only one way. Each handler calls it once.
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
