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
	at     part
	line   []byte // the beginning of the present one
	lines  int    // of the present head
	size   int    // of the present head, in bytes
	length int64  // told in the head, then what is left of a body or a chunk
	told   bool
	coded  bool
	odd    bool // a head that can't be followed

	mu       sync.Mutex
	verdicts []bool // for heads that came and that no handler has asked for: whether one is sound
}

// part is where in a lookup the next byte stands.
type part int

const (
	inHead part = iota
	inBody
	inChunkLine
	inChunk
	inChunkEnd
	inTrailer
	lost // what comes can't be told apart any more
)

const (
	lineMost     = 64 // bytes of a line that are looked at: names, lengths and chunk sizes are shorter
	verdictsMost = 64 // heads that come ahead of their handlers; net/http buffers 4 KiB
)

// read follows the next bytes.
func (f *framing) read(b []byte) {
	for len(b) > 0 {
		switch f.at {
		case lost:
			return
		case inBody, inChunk:
			n := min(f.length, int64(len(b)))
			b, f.length = b[n:], f.length-n
			if f.length == 0 && f.at == inBody {
				f.head()
			} else if f.length == 0 {
				f.at = inChunkEnd
			}
		default:
			n := bytes.IndexByte(b, '\n')
			if n < 0 {
				f.size += len(b)
				f.keep(b)
				return
			}
			f.keep(b[:n])
			b = b[n+1:]
			f.size += n + 1
			f.ended(bytes.TrimSuffix(f.line, []byte("\r")))
			f.line = f.line[:0]
		}
	}
}

func (f *framing) keep(b []byte) { f.line = append(f.line, b[:min(len(b), lineMost-len(f.line))]...) }

// head makes ready for the next one.
func (f *framing) head() {
	f.at, f.lines, f.size, f.length, f.told, f.coded, f.odd = inHead, 0, 0, 0, false, false, false
}

// over says that the present head is longer than any true one.
func (f *framing) over() bool { return f.at == inHead && f.size > headersMost }

// amid says that a lookup has begun to come and has not come whole; for who reads the connection.
func (f *framing) amid() bool { return f.at != inHead || f.lines > 0 || len(f.line) > 0 }

// inHeadNow says that a head has begun to come and has not come whole; for who reads the connection.
func (f *framing) inHeadNow() bool { return f.at == inHead && f.amid() }

// ended takes a whole line.
func (f *framing) ended(line []byte) {
	switch f.at {
	case inHead:
		if len(line) > 0 {
			f.field(line)
		} else if f.lines > 0 {
			f.headEnded()
		}
	case inChunkLine:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 64)
		switch {
		case err != nil || n < 0:
			f.at = lost
		case n == 0:
			f.at = inTrailer
		default:
			f.at, f.length = inChunk, n
		}
	case inChunkEnd:
		if f.at = inChunkLine; len(line) > 0 {
			f.at = lost
		}
	case inTrailer:
		if len(line) == 0 {
			f.head()
		}
	}
}

// field takes a line of a head.
func (f *framing) field(line []byte) {
	f.lines++
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(bytes.ToLower(bytes.TrimSpace(name))) {
	case "content-length":
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		f.odd = f.odd || err != nil || n < 0 || f.told && n != f.length
		f.told, f.length = true, n
	case "transfer-encoding":
		f.coded = true
	}
}

func (f *framing) headEnded() {
	sound := !f.odd && !(f.told && f.coded)
	f.mu.Lock()
	f.verdicts = append(f.verdicts, sound)
	sound = sound && len(f.verdicts) <= verdictsMost
	f.mu.Unlock()
	switch {
	case !sound:
		f.at = lost
	case f.coded:
		f.at = inChunkLine
	case f.length > 0:
		f.at = inBody
	default:
		f.head()
	}
}

// sound says whether the next head, in the order in which they came, gives its body's end in one way. Each handler
// asks once.
func (f *framing) sound() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.verdicts) == 0 {
		return false
	}
	first := f.verdicts[0]
	f.verdicts = f.verdicts[1:]
	return first
}
