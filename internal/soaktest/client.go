package soaktest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	patience    = 900 * time.Millisecond  // beyond the deadline, for an answer
	badAnswer   = 3300 * time.Millisecond // who stops in the middle is owed an error or a close in 3 s
	thinkMost   = 120 * time.Millisecond  // between two requests of a client,
	hurriedMost = 4 * time.Millisecond    // and of one in so many that calls without rest
	hurriedPart = 12
	leaveMost   = 25 * time.Millisecond // after its request, for a client that leaves
	freshFor    = 30 * time.Millisecond // a new connection may be ended as idle later, and a request cross that
	longBody    = 70 << 10              // bytes: more than a node holds whole
)

var requests atomic.Int64

// client is one client. It keeps a connection to a node, and goes to another with the next.
type client struct {
	w    *world
	rand *rand.Rand
	node *node
	conn *net.TCPConn
	in   *bufio.Reader
	used int // requests on the connection
	// plain lets it send sound requests alone.
	plain bool
	made  time.Time
}

// run sends requests until the run is over.
func (c *client) run(done <-chan struct{}) {
	defer c.hangUp()
	pause := thinkMost
	if c.rand.IntN(hurriedPart) == 0 {
		pause = hurriedMost
	}
	for {
		select {
		case <-done:
			return
		case <-time.After(span(c.rand, 0, pause)):
		}
		if c.conn == nil && !c.dial() {
			continue
		}
		c.act()
	}
}

func (c *client) dial() bool {
	x := c.w.nodes[c.rand.IntN(len(c.w.nodes))]
	if !x.accepting.Load() {
		return false
	}
	conn, err := net.DialTimeout("tcp", x.address, time.Second)
	if err != nil {
		return false
	}
	c.node, c.conn, c.used, c.made = x, conn.(*net.TCPConn), 0, time.Now()
	c.in = bufio.NewReader(c.conn)
	return true
}

func (c *client) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// act sends a request, or several, in one of the ways that clients have.
func (c *client) act() {
	if c.plain {
		c.one("")
		return
	}
	way := c.rand.Float64()
	trouble := func(name string) string {
		c.w.struck.add("client: "+name, 1)
		return name
	}
	switch {
	case way < 0.04:
		c.leave(trouble("leaves"), false)
	case way < 0.06:
		c.leave(trouble("leaves by a reset"), true)
	case way < 0.08:
		c.pieces(trouble("writes in pieces"), 12)
	case way < 0.09:
		c.pieces(trouble("writes bytewise"), 1)
	case way < 0.11:
		c.pipeline(trouble("pipelines"))
	case way < 0.115:
		c.stop(trouble("stops in the middle"))
	case way < 0.125:
		c.flood(trouble("floods"))
	case way < 0.135:
		c.upload(trouble("uploads in two pieces"))
	case way < 0.2:
		time.Sleep(span(c.rand, 0, 1500*time.Millisecond)) // its connection rests
		c.one("")
	default:
		c.one("")
	}
}

// make draws a request, and enters it.
func (c *client) make(misbehave string, body int) (*request, []byte) {
	classes := c.w.settings.classes
	k := classes[c.rand.IntN(len(classes))]
	if c.rand.Float64() < 0.5 {
		k = classes[0]
	}
	for body > 0 && !k.write {
		k = classes[c.rand.IntN(len(classes))]
	}
	r := &request{began: time.Now(), id: fmt.Sprintf("r%d", requests.Add(1)), node: c.node.n, class: k, key: fmt.Sprintf("k%d", c.rand.IntN(400)),
		fresh: c.used == 0 && time.Since(c.made) < freshFor, misbehave: misbehave}
	c.used++
	var text bytes.Buffer
	method := "GET"
	if k.write {
		method = "PUT"
		body = max(body, 1+c.rand.IntN(200))
	}
	fmt.Fprintf(&text, "%s /%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Expires-In: %dm\r\n", method, k.name, r.key, r.id,
		k.deadline.Milliseconds())
	if k.repeat == keyed {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", r.id)
	}
	if method == "PUT" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", body)
	}
	text.WriteString("\r\n")
	if method == "PUT" {
		text.WriteString(strings.Repeat("b", body))
	}
	c.w.ledger.add(r)
	return r, text.Bytes()
}

// sent notes that a request's last byte was written.
func (c *client) sent(r *request) {
	c.w.ledger.change(func() { r.sent = time.Now() })
}

// one sends one request and waits for its answer.
func (c *client) one(misbehave string) {
	r, text := c.make(misbehave, 0)
	_, err := c.conn.Write(text)
	if err != nil {
		c.broke(r)
		return
	}
	c.sent(r)
	c.receive(r)
}

// receive waits for an answer.
func (c *client) receive(r *request) {
	_ = c.conn.SetReadDeadline(time.Now().Add(r.class.deadline + patience))
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.broke(r)
		return
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		c.w.ledger.change(func() { r.status, r.broken = -answer.StatusCode, time.Now() })
		c.hangUp()
		return
	}
	c.w.ledger.change(func() {
		r.answered, r.status, r.body = time.Now(), answer.StatusCode, string(body)
		r.answers++
	})
	if c.in.Buffered() > 0 && r.misbehave != "pipelines" {
		c.w.ledger.change(func() { r.answers++ })
		c.hangUp()
	}
	if answer.Close {
		c.hangUp()
	}
}

// broke notes that the connection ended, or that no answer came.
func (c *client) broke(r *request) {
	c.w.ledger.change(func() { r.broken = time.Now() })
	c.hangUp()
}

// leave sends a request, and closes the connection before its answer.
func (c *client) leave(misbehave string, byReset bool) {
	r, text := c.make(misbehave, 0)
	if _, err := c.conn.Write(text); err != nil {
		c.broke(r)
		return
	}
	c.sent(r)
	_ = c.conn.SetReadDeadline(time.Now().Add(span(c.rand, 0, leaveMost)))
	if _, err := c.in.Peek(1); err == nil {
		c.receive(r)
		return
	}
	if byReset {
		_ = c.conn.SetLinger(0)
	}
	c.hangUp()
	c.w.ledger.change(func() { r.left = time.Now() })
}

// pieces sends a request in pieces of so many bytes.
func (c *client) pieces(misbehave string, size int) {
	r, text := c.make(misbehave, 0)
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := c.conn.Write(text[:n]); err != nil {
			c.broke(r)
			return
		}
		text = text[n:]
		time.Sleep(time.Millisecond)
	}
	c.sent(r)
	c.receive(r)
}

// pipeline sends two requests at once.
func (c *client) pipeline(misbehave string) {
	first, one := c.make(misbehave, 0)
	second, other := c.make(misbehave, 0)
	if _, err := c.conn.Write(append(one, other...)); err != nil {
		c.broke(first)
		c.broke(second)
		return
	}
	c.sent(first)
	c.sent(second)
	c.receive(first)
	if c.conn == nil { // the second was never read, or its answer is not owed here
		c.w.ledger.change(func() { second.broken = time.Now() })
		return
	}
	c.w.ledger.change(func() { second.sent = time.Now() }) // its time counts from when it is read
	c.receive(second)
}

// stop sends half a request, and stays.
func (c *client) stop(misbehave string) {
	r, text := c.make(misbehave, 0)
	if _, err := c.conn.Write(text[:len(text)/2]); err != nil {
		c.broke(r)
		return
	}
	began := time.Now()
	_ = c.conn.SetReadDeadline(began.Add(badAnswer))
	_, err := io.Copy(io.Discard, c.conn)
	if t, ok := err.(net.Error); ok && t.Timeout() && c.node.accepting.Load() {
		c.w.broke(fmt.Sprintf("%s: node %d held a client that stopped in the middle for over %v", r.id, r.node, badAnswer))
	}
	c.broke(r)
}

// flood writes what is no request, and goes.
func (c *client) flood(string) {
	_, _ = c.conn.Write(bytes.Repeat([]byte("x"), 1<<(4+c.rand.IntN(13))))
	c.hangUp()
}

// upload sends a long body, with a pause in its middle.
func (c *client) upload(misbehave string) {
	r, text := c.make(misbehave, longBody)
	if _, err := c.conn.Write(text[:len(text)/2]); err != nil {
		c.broke(r)
		return
	}
	time.Sleep(span(c.rand, 0, 60*time.Millisecond))
	if _, err := c.conn.Write(text[len(text)/2:]); err != nil {
		c.receive(r) // an answer may have come early
		return
	}
	c.sent(r)
	c.receive(r)
}
