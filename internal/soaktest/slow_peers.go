package soaktest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Behaviors of peers in a run with Plan.SlowPeers. They are drawn apart from the others, whose draws stay the same.
const (
	slowAnswer      behavior = "slow long answer"     // a sound answer over longAnswerBytes in lumps
	slowReading     behavior = "reads a body slowly"  // and answers when it is whole
	slowShare                = 0.12                   // of the answers
	slowPace                 = 80_000                 // bytes per second at which a body is read
	minSlowTime              = 250 * time.Millisecond // a server that is told less answers as usual
	slowSegment              = 1460                   // bytes; small segments keep the kernels' buffers small
	maxReturnDelay           = 700 * time.Millisecond // until an id comes again
	refusedRequests          = 20_000                 // of a flood
	floodTime                = 400 * time.Millisecond
)

// slowForm is the form of a slow long answer.
type slowForm struct {
	framing    string
	firstPause time.Duration // after the head
	pieceBytes int
	pieces     int
	pause      time.Duration
}

// drawSlowForm draws an answer that is sound for a request whose client waits as long as the server was told: its first bytes come in time, and so do
// those after which it is known to be long.
func drawSlowForm(rng *rand.Rand, declared time.Duration) slowForm {
	f := slowForm{
		framing:    randomChoice(rng, framingChunked, framingUntilClose, framingLength),
		pieceBytes: randomChoice(rng, 34_000, 45_000, 70_000),
		pieces:     2 + rng.IntN(3),
		pause:      randomDuration(rng, 40*time.Millisecond, min(400*time.Millisecond, declared*4/5)),
	}
	if rng.IntN(3) == 0 && f.pieceBytes > longAnswerBytes {
		f.firstPause = randomDuration(rng, 0, declared/2)
	}
	return f
}

// body returns the whole body, which begins with the identity that the client's answer is checked by.
func (f slowForm) body(identity string) string {
	return identity + strings.Repeat("s", f.pieces*f.pieceBytes-len(identity))
}

// send writes the answer and reports whether it was written whole.
func (f slowForm) send(w io.Writer, body string, closed <-chan struct{}) bool {
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	switch f.framing {
	case framingChunked:
		head += "Transfer-Encoding: chunked\r\n"
	case framingLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(w, head+"\r\n")
	pause := f.firstPause
	for len(body) > 0 && err == nil {
		select {
		case <-closed:
			return false
		case <-time.After(pause):
		}
		piece := body[:f.pieceBytes]
		body = body[f.pieceBytes:]
		pause = f.pause
		if f.framing == framingChunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		_, err = io.WriteString(w, piece)
	}
	if f.framing == framingChunked && err == nil {
		_, err = io.WriteString(w, "0\r\n\r\n")
	}
	return err == nil
}

// drawSlowAnswer draws whether the next answer is a slow one, with the server's own generator for such answers.
func (s *server) drawSlowAnswer(declared time.Duration) (form slowForm, drawn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.slowPeers || declared < minSlowTime || s.slowRNG.Float64() >= slowShare {
		return slowForm{}, false
	}
	return drawSlowForm(s.slowRNG, declared), true
}

// answerSlowly answers a request with a slow long answer.
func (s *server) answerSlowly(c *net.TCPConn, id string, a *attempt, form slowForm, closed <-chan struct{}) {
	s.faultCounts.add("server: "+string(slowAnswer), 1)
	body := form.body(fmt.Sprintf("%s %s %d %d ", id, s.id, a.connectionID, time.Now().UnixNano()))
	s.recorder.update(func() {
		a.ran = true
		a.soundLong = true
	})
	s.recorder.addCompleteBody(id, body)
	whole := form.send(c, body, closed)
	s.mu.Lock()
	aborted := s.aborted
	s.mu.Unlock()
	s.recorder.update(func() { a.soundLong = whole || !aborted })
	s.recorder.endAttempt(a)
}

// readSlowly reads a body that is longer than a node buffers at slowPace, if the run has slow peers.
func (s *server) readSlowly(r *http.Request) error {
	const steps = 20 // per second
	if !s.slowPeers || r.ContentLength <= longAnswerBytes {
		_, err := io.Copy(io.Discard, r.Body)
		return err
	}
	s.faultCounts.add("server: "+string(slowReading), 1)
	for {
		_, err := io.CopyN(io.Discard, r.Body, slowPace/steps)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(time.Second / steps)
	}
}

// listenConfig returns how a server listens: with slow peers, its connections have small buffers.
func (s *server) listenConfig() net.ListenConfig {
	if !s.slowPeers {
		return net.ListenConfig{}
	}
	return net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, slowSegment)
			if err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8*slowSegment)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
}

// sendWithSlowPeers sends what clients send in a run with slow peers beside the usual requests. It reports whether it sent anything.
func (c *client) sendWithSlowPeers() bool {
	roll := c.slowRNG.Float64()
	count := func(name string) string {
		c.testbed.faultCounts.add("client: "+name, 1)
		return name
	}
	switch {
	case roll < 0.06:
		c.sendAndComeAgain(count("comes again with its id"))
	case roll < 0.09:
		c.sendUploadAtOnce(count("uploads at once"), randomChoice(c.slowRNG, 100<<10, 400<<10, 800<<10))
	case roll < 0.10:
		c.floodRefused(count("floods with requests that are refused"))
	default:
		return false
	}
	return true
}

// sendAndComeAgain sends a request, leaves, and sends it again with the same id.
func (c *client) sendAndComeAgain(misbehavior string) {
	r, data := c.newRequest(misbehavior, 1)
	c.testbed.recorder.update(func() { r.comesAgain = true })
	nd := c.node
	for again := range 2 {
		if again == 1 {
			time.Sleep(randomDuration(c.slowRNG, 0, maxReturnDelay))
		}
		conn, err := net.DialTimeout("tcp", nd.address, time.Second)
		if err != nil {
			continue
		}
		_, _ = conn.Write(data)
		c.testbed.recorder.update(func() { r.sentAt = time.Now() })
		_ = conn.SetReadDeadline(time.Now().Add(randomDuration(c.slowRNG, 0, 2*maxLeaveDelay)))
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
		c.testbed.recorder.update(func() { r.clientClosedAt = time.Now() })
	}
}

// sendUploadAtOnce sends a long body without a pause.
func (c *client) sendUploadAtOnce(misbehavior string, size int) {
	r, data := c.newRequest(misbehavior, size)
	if _, err := c.conn.Write(data); err != nil {
		c.readAnswer(r) // the node may have answered and closed before it read the whole body
		return
	}
	c.markSent(r)
	c.readAnswer(r)
}

// floodRefused sends requests of ever new classes at full speed on connections of its own.
func (c *client) floodRefused(string) {
	conn, err := net.DialTimeout("tcp", c.node.address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	_ = conn.SetWriteDeadline(time.Now().Add(floodTime))
	first := c.slowRNG.Int64()
	for n := range int64(refusedRequests) {
		if _, err := fmt.Fprintf(conn, "GET /class%d/k HTTP/1.1\r\nHost: n\r\nX-Trace-Id: x%d\r\nX-Expires-In: 500m\r\n\r\n", first+n, first+n); err != nil {
			return
		}
	}
}

// checkSlowAnswers checks that a request whose servers gave sound long answers was served, unless its client or its node left, or another attempt's end
// explains it.
func (c *requestCheck) checkSlowAnswers() {
	r := c.request
	if r.sentAt.IsZero() || !r.clientClosedAt.IsZero() || r.status == 200 || len(r.attempts) == 0 || c.nodeInterrupted() {
		return
	}
	_, conclusive := c.schedulingDelay(r.sentAt)
	_, conclusiveAtEnd := c.schedulingDelay(r.sentAt.Add(r.class.deadline))
	if !conclusive || !conclusiveAtEnd {
		return
	}
	for _, a := range r.attempts {
		if !a.soundLong || a.lastByteAt.Sub(r.sentAt) > r.class.deadline/4 {
			return
		}
	}
	c.addViolation("cut", "a sound long answer was not passed on whole, %d bytes of it were", r.incompleteBytes)
}

// nodeInterrupted reports whether the node's process was stopped, ended or replaced from the request's start until the last moment of a long answer.
func (c *requestCheck) nodeInterrupted() bool {
	const longest = 4 * time.Second
	for _, i := range c.rec.interruptions {
		if i.nodeIndex == c.request.nodeIndex && i.endedAt.After(c.request.startedAt.Add(-time.Second)) && i.startedAt.Before(c.request.startedAt.Add(longest)) {
			return true
		}
	}
	return false
}
