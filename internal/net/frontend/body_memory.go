package frontend

import (
	"io"
	"math"

	"golang.org/x/sync/semaphore"
)

const (
	freeBodyBytes   = 4 << 10  // of a body, which a connection's own share of the memory covers
	streamedBytes   = 80 << 10 // of a request whose body is streamed: buffers and stacks on both sides
	firstChunkBytes = 4 << 10  // first buffer for a body of unknown length; doubled when it is full
)

// bodyMemory bounds the memory for bodies of all requests. Its methods are safe for concurrent use.
type bodyMemory struct{ free *semaphore.Weighted }

// newBodyMemory returns a bodyMemory of a size in bytes; 0: no limit.
func newBodyMemory(size int64) *bodyMemory {
	if size == 0 {
		size = math.MaxInt64
	}
	return &bodyMemory{free: semaphore.NewWeighted(size)}
}

// bodyReservation is what one request has reserved. Its zero value has reserved nothing; memory must be set.
type bodyReservation struct {
	memory *bodyMemory
	size   int64
}

// grow reserves memory for a body of size bytes in all, and reports whether there was enough.
func (r *bodyReservation) grow(size int64) bool {
	needed := size - r.size
	if size <= freeBodyBytes || needed <= 0 {
		return true
	}
	if !r.memory.free.TryAcquire(needed) {
		return false
	}
	r.size = size
	return true
}

// release gives everything back.
func (r *bodyReservation) release() {
	r.memory.free.Release(r.size)
	r.size = 0
}

// readAll reads a body of up to limit bytes and reserves memory for it before it is allotted. length is the declared length; -1: unknown. It returns
// errNoMemory if there is not enough.
func (r *bodyReservation) readAll(body io.Reader, length, limit int64) ([]byte, error) {
	size := length + 1 // so that the last Read returns io.EOF
	if length < 0 {
		size = firstChunkBytes
	}
	if !r.grow(size) {
		return nil, errNoMemory
	}
	buffer := make([]byte, 0, size)
	for int64(len(buffer)) <= limit {
		if len(buffer) == cap(buffer) {
			size = min(2*size, limit+1)
			if !r.grow(size + int64(len(buffer))) { // the old buffer is collected later
				return nil, errNoMemory
			}
			larger := make([]byte, len(buffer), size)
			copy(larger, buffer)
			buffer = larger
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}
