package dispatch

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// BodyStream is the part of a long request body that is forwarded while the client sends it. It can be read only once,
// so it goes to one server only. Its methods may be called from any goroutine.
type BodyStream struct {
	started  atomic.Bool
	complete atomic.Bool
	aborted  atomic.Bool

	mu     sync.Mutex // held during a Read, so that Close waits for it
	source io.Reader  // nil: closed
}

// NewBodyStream returns a stream that reads from source.
func NewBodyStream(source io.Reader) *BodyStream { return &BodyStream{source: source} }

// Read implements io.Reader. After Close it returns io.ErrClosedPipe.
func (s *BodyStream) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.source == nil {
		return 0, io.ErrClosedPipe
	}
	s.started.Store(true)
	n, err := s.source.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		s.complete.Store(true)
	case err != nil:
		s.aborted.Store(true)
	}
	return n, err
}

// Close waits for a Read in progress. The source is not read after Close returns.
func (s *BodyStream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source = nil
	if !s.complete.Load() {
		s.aborted.Store(true)
	}
}

// Started reports whether a Read of the source has begun.
func (s *BodyStream) Started() bool { return s.started.Load() }

// Complete reports whether the stream was read to its end.
func (s *BodyStream) Complete() bool { return s.complete.Load() }

// Aborted reports whether a Read failed before the stream's end, as its client is gone or too slow, or the stream was
// closed before its end. No server can have received the request whole then, nor will one.
func (s *BodyStream) Aborted() bool { return s.aborted.Load() }
