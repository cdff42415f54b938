package upstream

import (
	"io"
	"time"
)

// interruptibleReader reads from a source in goroutines of its own, one at a time, so that its caller may stop waiting
// for a read that lasts too long. The next call goes on with that read. The source must end a read once its exchange is
// canceled. Its methods must not be called concurrently.
type interruptibleReader struct {
	source  io.Reader
	buffer  []byte // used by the goroutine while a read is in progress
	results chan readResult
	reading bool
	unread  []byte // of buffer, from the last read
	err     error  // of the last read, to be returned after its bytes
}

// readResult is what a read returned.
type readResult struct {
	n   int
	err error
}

func newInterruptibleReader(source io.Reader) *interruptibleReader {
	return &interruptibleReader{source: source, buffer: make([]byte, bufferBytes), results: make(chan readResult, 1)}
}

// Read implements io.Reader.
func (r *interruptibleReader) Read(b []byte) (int, error) {
	n, _, err := r.readUntil(b, time.Time{})
	return n, err
}

// readUntil is Read, but returns without bytes at a time if none have come until then, which it reports. The zero time
// is no limit.
func (r *interruptibleReader) readUntil(b []byte, until time.Time) (n int, interrupted bool, err error) {
	if len(r.unread) == 0 && r.err == nil {
		r.startRead()
		if interrupted = r.await(until); interrupted {
			return 0, true, nil
		}
	}
	n = copy(b, r.unread)
	r.unread = r.unread[n:]
	if len(r.unread) > 0 {
		return n, false, nil
	}
	return n, false, r.err
}

// startRead starts a read of the source, unless one is in progress.
func (r *interruptibleReader) startRead() {
	if r.reading {
		return
	}
	r.reading = true
	go func() {
		n, err := r.source.Read(r.buffer)
		r.results <- readResult{n, err}
	}()
}

// await waits for the read in progress, and reports whether it was not done at a time; zero: no limit.
func (r *interruptibleReader) await(until time.Time) (interrupted bool) {
	var expired <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case result := <-r.results:
		r.reading = false
		r.unread = r.buffer[:result.n]
		r.err = result.err
		return false
	case <-expired:
		return true
	}
}
