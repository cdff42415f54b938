package dispatch

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// BodySource is the client's side of a streamed body.
type BodySource interface {
	io.Reader
	// WaitingSince returns since when the client has waited for its answer, because it has sent all that it can. It is the
	// present time while the node waits for bytes of the body. It may be called during a Read.
	WaitingSince() time.Time
}

// BodyStream is the part of a long request body that is forwarded while the client sends it. It can be read only once,
// so it goes to one server only. Its methods may be called from any goroutine.
type BodyStream struct {
	started  atomic.Bool
	complete atomic.Bool
	aborted  atomic.Bool

	client BodySource // nil: the source doesn't tell since when its client waits

	mu     sync.Mutex // held during a Read, so that Close waits for it
	source io.Reader  // nil: closed
}

// NewBodyStream returns a stream that reads from source, which may be a BodySource.
func NewBodyStream(source io.Reader) *BodyStream {
	client, _ := source.(BodySource)
	return &BodyStream{source: source, client: client}
}

// WaitingSince returns since when the client has waited for its answer. It is the present time if the source doesn't tell.
func (s *BodyStream) WaitingSince() time.Time {
	if s.client == nil {
		return time.Now()
	}
	return s.client.WaitingSince()
}

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
