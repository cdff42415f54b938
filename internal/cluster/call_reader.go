package cluster

import (
	"errors"
	"net"
	"time"
)

const (
	// maxCallBytes bounds one call; the largest reports maxReportedServers ejected servers.
	maxCallBytes = 2 << 20
	// callReadTimeout is the time for reading a call, from its first byte. Peers write a call at once.
	callReadTimeout = 5 * time.Second
)

var errCallTooLong = errors.New("call exceeds the size limit")

// callReader reads the calls of an RPC connection. Between two calls it waits without a limit; each call has maxCallBytes and
// callReadTimeout. It is not safe for concurrent use.
type callReader struct {
	net.Conn
	remaining int // bytes that the current call may still have, including bytes that the decoder reads ahead of it
	begun     bool
}

// expectCall is called before each call is read.
func (r *callReader) expectCall() {
	r.remaining = maxCallBytes
	r.begun = false
	_ = r.SetReadDeadline(time.Time{})
}

// Read implements io.Reader.
func (r *callReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errCallTooLong
	}
	n, err := r.Conn.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	if n > 0 && !r.begun {
		r.begun = true
		_ = r.SetReadDeadline(time.Now().Add(callReadTimeout))
	}
	return n, err
}
