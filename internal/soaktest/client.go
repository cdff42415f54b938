package soaktest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	answerWait            = 900 * time.Millisecond  // how long after the deadline a client still waits for an answer
	partialRequestTimeout = 3300 * time.Millisecond // a node has to answer or close within 3 s when a client stops in the middle of a request
	maxPause              = 120 * time.Millisecond  // longest pause between two requests of a client
	maxBusyPause          = 4 * time.Millisecond    // longest pause of a busy client
	busyClientRatio       = 12                      // one client in this many is busy
	maxLeaveDelay         = 25 * time.Millisecond   // longest time from a request until its client disconnects
	newConnectionAge      = 30 * time.Millisecond   // on an older connection the node may close it as idle while a request is on its way
	uploadBytes           = 70 << 10                // more than a node buffers, so that it streams the body
)

var requestCount atomic.Int64 // requests of all clients so far, for request IDs

// client sends requests to nodes. It keeps its connection until it ends, and connects to a random node for the next one.
type client struct {
	testbed        *testbed
	rng            *rand.Rand
	node           *node
	conn           *net.TCPConn
	reader         *bufio.Reader
	requestsOnConn int
	connectedAt    time.Time
	wellBehaved    bool       // the client never misbehaves
	slowRNG        *rand.Rand // draws what it sends in a run with slow peers; nil: there are none
}

// run sends requests until done is closed.
func (c *client) run(done <-chan struct{}) {
	defer c.closeConn()
	longestPause := maxPause
	if c.rng.IntN(busyClientRatio) == 0 {
		longestPause = maxBusyPause
	}
	for {
		select {
		case <-done:
			return
		case <-time.After(randomDuration(c.rng, 0, longestPause)):
		}
		if c.conn == nil && !c.dial() {
			continue
		}
		c.sendNext()
	}
}

// dial connects to a random node. It reports false if the node takes no clients at the moment.
func (c *client) dial() bool {
	nd := c.testbed.nodes[c.rng.IntN(len(c.testbed.nodes))]
	if !nd.accepting.Load() {
		return false
	}
	conn, err := net.DialTimeout("tcp", nd.address, time.Second)
	if err != nil {
		return false
	}
	c.node, c.conn, c.requestsOnConn, c.connectedAt = nd, conn.(*net.TCPConn), 0, time.Now()
	c.reader = bufio.NewReader(c.conn)
	return true
}

func (c *client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// sendNext sends one or more requests, in most cases as a well-behaved client and otherwise with a random misbehavior.
func (c *client) sendNext() {
	if c.wellBehaved {
		c.sendOne("")
		return
	}
	misbehavior := func(name string) string {
		c.testbed.faultCounts.add("client: "+name, 1)
		return name
	}
	if share := c.testbed.plan.LeavingShare; share > 0 && c.rng.Float64() < share { // without a share, the draws below stay the same
		c.sendAndLeave(misbehavior("leaves"), false)
		return
	}
	if share := c.testbed.plan.UploadShare; share > 0 && c.rng.Float64() < share {
		c.sendUpload(misbehavior("uploads in two pieces"), randomChoice(c.rng, uploadBytes, 300<<10, 1<<20))
		return
	}
	if c.slowRNG != nil && c.sendWithSlowPeers() {
		return
	}
	roll := c.rng.Float64()
	switch {
	case roll < 0.04:
		c.sendAndLeave(misbehavior("leaves"), false)
	case roll < 0.06:
		c.sendAndLeave(misbehavior("leaves by a reset"), true)
	case roll < 0.08:
		c.sendInPieces(misbehavior("writes in pieces"), 12)
	case roll < 0.09:
		c.sendInPieces(misbehavior("writes bytewise"), 1)
	case roll < 0.11:
		c.sendPipelined(misbehavior("pipelines"))
	case roll < 0.115:
		c.sendPartial(misbehavior("stops in the middle"))
	case roll < 0.125:
		c.sendGarbage(misbehavior("floods"))
	case roll < 0.135:
		c.sendUpload(misbehavior("uploads in two pieces"), uploadBytes)
	case roll < 0.2:
		time.Sleep(randomDuration(c.rng, 0, 1500*time.Millisecond)) // the connection is idle
		c.sendOne("")
	default:
		c.sendOne("")
	}
}

// newRequest draws a request, records it, and returns it with its bytes. A bodySize above 0 makes it a write with a body of at least
// that size.
func (c *client) newRequest(misbehavior string, bodySize int) (*request, []byte) {
	classes := c.testbed.settings.classes
	cls := classes[c.rng.IntN(len(classes))]
	if c.rng.Float64() < 0.5 {
		cls = classes[0]
	}
	for bodySize > 0 && !cls.isWrite {
		cls = classes[c.rng.IntN(len(classes))]
	}
	r := &request{startedAt: time.Now(), id: fmt.Sprintf("r%d", requestCount.Add(1)), nodeIndex: c.node.index, class: cls, key: fmt.Sprintf("k%d", c.rng.IntN(400)),
		firstOnNewConnection: c.requestsOnConn == 0 && time.Since(c.connectedAt) < newConnectionAge, misbehavior: misbehavior}
	c.requestsOnConn++
	var buf bytes.Buffer
	method := "GET"
	if cls.isWrite {
		method = "PUT"
		bodySize = max(bodySize, 1+c.rng.IntN(200))
	}
	fmt.Fprintf(&buf, "%s /%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Expires-In: %dm\r\n", method, cls.name, r.key, r.id,
		cls.deadline.Milliseconds())
	if cls.idempotence == idempotentByKey {
		fmt.Fprintf(&buf, "Idempotency-Key: %s\r\n", r.id)
	}
	if method == "PUT" {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", bodySize)
	}
	buf.WriteString("\r\n")
	if method == "PUT" {
		buf.WriteString(strings.Repeat("b", bodySize))
	}
	c.testbed.recorder.addRequest(r)
	if c.node.terminating.Load() {
		c.testbed.faultCounts.add("client: sends after SIGTERM", 1)
	}
	return r, buf.Bytes()
}

// markSent records that the last byte of the request was written.
func (c *client) markSent(r *request) {
	c.testbed.recorder.update(func() { r.sentAt = time.Now() })
}

// sendOne sends one request and waits for its answer.
func (c *client) sendOne(misbehavior string) {
	r, data := c.newRequest(misbehavior, 0)
	_, err := c.conn.Write(data)
	if err != nil {
		c.markBroken(r)
		return
	}
	c.markSent(r)
	c.readAnswer(r)
}

// readAnswer waits for an answer and records it. Bytes after the answer count as a second answer unless the client pipelines.
func (c *client) readAnswer(r *request) {
	_ = c.conn.SetReadDeadline(time.Now().Add(r.class.deadline + answerWait))
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.markBroken(r)
		return
	}
	c.testbed.recorder.update(func() { r.answerBeganAt = time.Now() })
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		c.testbed.recorder.update(func() {
			r.status, r.connectionBrokenAt = -answer.StatusCode, time.Now()
			r.incompleteBytes, r.noEndSeen = len(body), errors.Is(err, os.ErrDeadlineExceeded)
		})
		c.closeConn()
		return
	}
	c.testbed.recorder.update(func() {
		r.answeredAt, r.status, r.answerBody = time.Now(), answer.StatusCode, string(body)
		r.answerCount++
	})
	if c.reader.Buffered() > 0 && r.misbehavior != "pipelines" {
		c.testbed.recorder.update(func() { r.answerCount++ })
		c.closeConn()
	}
	if answer.Close {
		c.closeConn()
	}
}

// markBroken records that the connection ended or that no answer arrived, and closes the connection.
func (c *client) markBroken(r *request) {
	c.testbed.recorder.update(func() { r.connectionBrokenAt = time.Now() })
	c.closeConn()
}

// sendAndLeave sends a request and closes the connection before the answer, unless the answer arrives first.
func (c *client) sendAndLeave(misbehavior string, byReset bool) {
	r, data := c.newRequest(misbehavior, 0)
	if _, err := c.conn.Write(data); err != nil {
		c.markBroken(r)
		return
	}
	c.markSent(r)
	_ = c.conn.SetReadDeadline(time.Now().Add(randomDuration(c.rng, 0, maxLeaveDelay)))
	if _, err := c.reader.Peek(1); err == nil {
		c.readAnswer(r)
		return
	}
	if byReset {
		_ = c.conn.SetLinger(0)
	}
	c.closeConn()
	c.testbed.recorder.update(func() { r.clientClosedAt = time.Now() })
}

// sendInPieces sends a request in pieces of pieceSize bytes.
func (c *client) sendInPieces(misbehavior string, pieceSize int) {
	r, data := c.newRequest(misbehavior, 0)
	for len(data) > 0 {
		n := min(pieceSize, len(data))
		if _, err := c.conn.Write(data[:n]); err != nil {
			c.markBroken(r)
			return
		}
		data = data[n:]
		time.Sleep(time.Millisecond)
	}
	c.markSent(r)
	c.readAnswer(r)
}

// sendPipelined sends two requests at once.
func (c *client) sendPipelined(misbehavior string) {
	first, firstData := c.newRequest(misbehavior, 0)
	second, secondData := c.newRequest(misbehavior, 0)
	if _, err := c.conn.Write(append(firstData, secondData...)); err != nil {
		c.markBroken(first)
		c.markBroken(second)
		return
	}
	c.markSent(first)
	c.markSent(second)
	c.readAnswer(first)
	if c.conn == nil { // the node may not have read the second request, and owes no answer to it on a closed connection
		c.testbed.recorder.update(func() { second.connectionBrokenAt = time.Now() })
		return
	}
	c.testbed.recorder.update(func() { second.sentAt = time.Now() }) // the node reads the second request after it has answered the first, and its deadline counts from then
	c.readAnswer(second)
}

// sendPartial sends half of a request and waits for the node to close the connection.
func (c *client) sendPartial(misbehavior string) {
	r, data := c.newRequest(misbehavior, 0)
	if _, err := c.conn.Write(data[:len(data)/2]); err != nil {
		c.markBroken(r)
		return
	}
	start := time.Now()
	_ = c.conn.SetReadDeadline(start.Add(partialRequestTimeout))
	_, err := io.Copy(io.Discard, c.conn)
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() && c.node.accepting.Load() {
		c.testbed.addProcessViolation(fmt.Sprintf("%s: node %d kept the connection of a client that stopped in the middle of a request for over %v", r.id, r.nodeIndex, partialRequestTimeout))
	}
	c.markBroken(r)
}

// sendGarbage writes bytes that are no request, and closes the connection.
func (c *client) sendGarbage(string) {
	_, _ = c.conn.Write(bytes.Repeat([]byte("x"), 1<<(4+c.rng.IntN(13))))
	c.closeConn()
}

// sendUpload sends a request with a body that the node has to stream, and pauses in the middle.
func (c *client) sendUpload(misbehavior string, size int) {
	r, data := c.newRequest(misbehavior, size)
	if _, err := c.conn.Write(data[:len(data)/2]); err != nil {
		c.markBroken(r)
		return
	}
	time.Sleep(randomDuration(c.rng, 0, 60*time.Millisecond))
	if _, err := c.conn.Write(data[len(data)/2:]); err != nil {
		c.readAnswer(r) // the node may have answered and closed before it read the whole body
		return
	}
	c.markSent(r)
	c.readAnswer(r)
}
