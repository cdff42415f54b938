package dispatch

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// BodyStream is the part of a long request body that is forwarded as it comes. It can be read once, so it goes to one
// server only. Its methods may be called from any goroutine.
type BodyStream struct {
	started  atomic.Bool
	complete atomic.Bool

	mu     sync.Mutex // held while a Read is under way, so that Close waits for it
	source io.Reader  // nil: closed
}

// NewBodyStream returns a stream of what source has yet to give.
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
	if errors.Is(err, io.EOF) {
		s.complete.Store(true)
	}
	return n, err
}

// Close waits for a Read that is under way. The source is not read after it.
func (s *BodyStream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source = nil
}

// Started reports whether a Read of the source has begun.
func (s *BodyStream) Started() bool { return s.started.Load() }

// Complete reports whether the stream was read to its end.
func (s *BodyStream) Complete() bool { return s.complete.Load() }
