package frontend

import (
	"bytes"
	"strconv"
	"sync"
)

// framing follows the lookups on a connection as their bytes come, to see what net/http does not show: a head that
// gives its body's length beside a coding may hide another lookup in that body, and net/http drops the length before a
// handler sees it. Bodies are passed over, so that nothing in them counts.
type framing struct {
	state     framingState
	line      []byte // the beginning of the present one
	lines     int    // of the present head
	size      int    // of the present head, in bytes
	length    int64  // told in the head, then what is left of a body or a chunk
	hasLength bool
	chunked   bool
	malformed bool // a head that can't be followed

	mu      sync.Mutex
	pending []bool // for heads that came and that no handler has asked for: whether one is sound
}

// framingState is where in a lookup the next byte stands.
type framingState int

const (
	inHead framingState = iota
	inBody
	inChunkLine
	inChunk
	inChunkEnd
	inTrailer
	unknown // what comes can't be told apart any more
)

const (
	maxLineBytes    = 64 // bytes of a line that are looked at: names, lengths and chunk sizes are shorter
	maxPendingHeads = 64 // heads that come ahead of their handlers; net/http buffers 4 KiB
)

// read follows the next bytes.
func (f *framing) read(b []byte) {
	for len(b) > 0 {
		switch f.state {
		case unknown:
			return
		case inBody, inChunk:
			n := min(f.length, int64(len(b)))
			b, f.length = b[n:], f.length-n
			if f.length == 0 && f.state == inBody {
				f.startHead()
			} else if f.length == 0 {
				f.state = inChunkEnd
			}
		default:
			n := bytes.IndexByte(b, '\n')
			if n < 0 {
				f.size += len(b)
				f.appendLine(b)
				return
			}
			f.appendLine(b[:n])
			b = b[n+1:]
			f.size += n + 1
			f.endLine(bytes.TrimSuffix(f.line, []byte("\r")))
			f.line = f.line[:0]
		}
	}
}

func (f *framing) appendLine(b []byte) {
	f.line = append(f.line, b[:min(len(b), maxLineBytes-len(f.line))]...)
}

// startHead makes ready for the next one.
func (f *framing) startHead() {
	f.state, f.lines, f.size, f.length, f.hasLength, f.chunked, f.malformed = inHead, 0, 0, 0, false, false, false
}

// headTooLong says that the present head is longer than any true one.
func (f *framing) headTooLong() bool { return f.state == inHead && f.size > maxHeaderBytes }

// midRequest says that a lookup has begun to come and has not come whole; for who reads the connection.
func (f *framing) midRequest() bool { return f.state != inHead || f.lines > 0 || len(f.line) > 0 }

// midHead says that a head has begun to come and has not come whole; for who reads the connection.
func (f *framing) midHead() bool { return f.state == inHead && f.midRequest() }

// endLine takes a whole line.
func (f *framing) endLine(line []byte) {
	switch f.state {
	case inHead:
		if len(line) > 0 {
			f.parseField(line)
		} else if f.lines > 0 {
			f.endHead()
		}
	case inChunkLine:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 64)
		switch {
		case err != nil || n < 0:
			f.state = unknown
		case n == 0:
			f.state = inTrailer
		default:
			f.state, f.length = inChunk, n
		}
	case inChunkEnd:
		if f.state = inChunkLine; len(line) > 0 {
			f.state = unknown
		}
	case inTrailer:
		if len(line) == 0 {
			f.startHead()
		}
	}
}

// parseField takes a line of a head.
func (f *framing) parseField(line []byte) {
	f.lines++
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(bytes.ToLower(bytes.TrimSpace(name))) {
	case "content-length":
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		f.malformed = f.malformed || err != nil || n < 0 || f.hasLength && n != f.length
		f.hasLength, f.length = true, n
	case "transfer-encoding":
		f.chunked = true
	}
}

func (f *framing) endHead() {
	sound := !f.malformed && !(f.hasLength && f.chunked)
	f.mu.Lock()
	f.pending = append(f.pending, sound)
	sound = sound && len(f.pending) <= maxPendingHeads
	f.mu.Unlock()
	switch {
	case !sound:
		f.state = unknown
	case f.chunked:
		f.state = inChunkLine
	case f.length > 0:
		f.state = inBody
	default:
		f.startHead()
	}
}

// nextUnambiguous says whether the next head, in the order in which they came, gives its body's end in one way. Each handler
// asks once.
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
