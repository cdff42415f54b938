// Package simwire runs balancer instances for the simulator: it reads batches
// of events, reports each event to the instance's routing.Balancer, and writes
// the orders that the Balancer gives as the reply.
//
// Each batch and each reply is one line of JSON. The simulator's own names, such
// as ticket for a request, are used only in the decoder (message.go) and the
// encoder (host.go, orders.go).
package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrMalformedBatch is returned by Serve for a line that is not a batch.
var ErrMalformedBatch = errors.New("simwire: malformed batch")

// bufferSize is the size of the input and output buffers in bytes. Lines may
// be longer.
const bufferSize = 1 << 20

// Serve answers each batch read from in with one line on out until the input
// ends. It returns an error wrapping ErrMalformedBatch for a line that is not
// a batch, or an error of in or out. Errors in single messages are logged.
func Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	s := newSession()
	var line []byte
	for {
		var readErr error
		line, readErr = readLine(r, line[:0])
		if len(bytes.TrimSpace(line)) > 0 {
			if err := s.handleLine(line, w); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// handleLine handles one batch and writes the reply to w.
func (s *session) handleLine(line []byte, w *bufio.Writer) error {
	if err := s.handleBatch(line); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedBatch, err)
	}
	if _, err := s.reply.DumpTo(w); err != nil {
		return err
	}
	if err := w.WriteByte('\n'); err != nil {
		return err
	}
	return w.Flush()
}

// readLine appends one line of any length to buf.
func readLine(r *bufio.Reader, buf []byte) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		buf = append(buf, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return buf, err
		}
	}
}
