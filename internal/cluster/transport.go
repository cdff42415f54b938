package cluster

import (
	"container/list"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

// One address takes two kinds of connection, told apart by their first line.
const (
	forVotes = "votes" // the library's own protocol between voters
	forAsks  = "asks"  // JSON-RPC: askings and operators' calls

	helloMost = 1 << 10

	idlePart = 9 // a ninth of a lease without a call, a third of a renewal's period: who is in use rests longer only between two renewals
)

// hello is the first line from who dials.
type hello struct {
	Fleet string `json:"fleet"`
	For   string `json:"for"`
	From  string `json:"from"`
	To    string `json:"to,omitempty"` // the voter that is meant, by its folder's number too
}

// welcome is the first line back.
type welcome struct {
	Refused string `json:"refused,omitempty"`
}

// errRefused says that a fellow was reached and wants nothing of us; the text says why.
var errRefused = errors.New("refused by")

// dialer reaches fellows.
type dialer struct {
	fleet, node string
	routes      map[string]string
}

// dial opens a connection, and has it accepted.
func (d dialer) dial(address, purpose, to string, within time.Duration) (net.Conn, error) {
	at := address
	if other, is := d.routes[address]; is {
		at = other
	}
	c, err := net.DialTimeout("tcp", at, within)
	if err != nil {
		return nil, err
	}
	c = faults.Counted(purpose, c)
	_ = c.SetDeadline(time.Now().Add(within))
	line, _ := json.Marshal(hello{d.fleet, purpose, d.node, to})
	if _, err = c.Write(append(line, '\n')); err == nil {
		var w welcome
		if err = readLine(c, &w); err == nil && w.Refused != "" {
			err = fmt.Errorf("%w %s: %s", errRefused, address, w.Refused)
		}
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}

// readLine reads one line and nothing beyond it, which belongs to the protocol that follows.
func readLine(c net.Conn, into any) error {
	line := make([]byte, 0, 128)
	for one := make([]byte, 1); len(line) < helloMost; line = append(line, one[0]) {
		if _, err := c.Read(one); err != nil {
			return err
		}
		if one[0] == '\n' {
			return json.Unmarshal(line, into)
		}
	}
	return errors.New("no line of a fellow's")
}

// porch takes connections in and hands them on by their kind. When it is full, the connection of askings that has been idle for
// longest makes way for the next one: a node that turned elsewhere, or vanished without closing what it held, keeps no other out.
type porch struct {
	listener net.Listener
	most     int           // connections at once; each node holds one to the leader
	rest     time.Duration // without a call, before a connection makes way
	fleet    string
	id       func() string // of our own vote, empty: none
	within   time.Duration
	asks     func(*inbound)
	votes    chan net.Conn

	mu     sync.Mutex
	open   map[*inbound]bool
	idle   *list.List // of *inbound, all in open, the longest idle first
	closed bool
	done   chan struct{}
}

// inbound is a connection that was taken in. It makes way only while it is in idle: not during its greeting, which has a bound,
// nor with a call in hand, and never one for votes, nor a voter's for its rounds: these are few, and a leader shows by them that it leads.
type inbound struct {
	net.Conn
	p      *porch
	unread func() bool // bytes have come that nobody has read yet; nil: not known

	node  bool          // it is a node's, for askings; the porch's lock guards this and what follows
	calls int           // in hand
	since time.Time     // without a call
	place *list.Element // in idle; nil: it isn't there
}

// errWay ends the reading of a connection that has made way: a call that comes after that isn't run.
var errWay = errors.New("made way for another connection")

func newPorch(l net.Listener, most int, rest time.Duration, fleet string, within time.Duration, id func() string, asks func(*inbound)) *porch {
	return &porch{listener: l, most: most, rest: rest, fleet: fleet, id: id, within: within, asks: asks, votes: make(chan net.Conn),
		open: map[*inbound]bool{}, idle: list.New(), done: make(chan struct{})}
}

// serve takes connections until close.
func (p *porch) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			select {
			case <-p.done:
				return
			case <-time.After(10 * time.Millisecond): // short of descriptors, most likely
				continue
			}
		}
		in := &inbound{Conn: faults.Counted("taken", c), p: p, unread: unread(c)}
		taken, way := p.admit(in, time.Now())
		if way != nil {
			_ = way.Close() // this waits until its descriptor is free, so that the bound holds for these too
		}
		if !taken {
			_ = in.Close()
			continue
		}
		go p.greet(in)
	}
}

// admit takes a connection in if there is room, or if one makes way, which is then the caller's to close.
func (p *porch) admit(in *inbound, at time.Time) (taken bool, way *inbound) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false, nil
	}
	if len(p.open) >= p.most {
		if way = p.longest(at); way == nil {
			return false, nil
		}
		p.remove(way)
	}
	p.open[in] = true
	return true, way
}

// longest gives the connection that has been idle for longest, if it has been so for long enough. One whose call has come and
// waits to be read has it in hand too: after a stall that may be so with all.
func (p *porch) longest(at time.Time) *inbound {
	for e := p.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*inbound)
		if at.Sub(c.since) < p.rest {
			return nil
		}
		if c.unread == nil || !c.unread() {
			return c
		}
	}
	return nil
}

// unread gives a look at whether bytes wait in a connection; nil: it can't be seen.
func unread(c net.Conn) func() bool {
	s, is := c.(syscall.Conn)
	if !is {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return func() bool {
		n := 0
		_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
		return n > 0
	}
}

// remove takes a connection out, with the lock held.
func (p *porch) remove(in *inbound) {
	delete(p.open, in)
	if in.place != nil {
		p.idle.Remove(in.place)
		in.place = nil
	}
}

// rests makes a connection idle from now on, with the lock held.
func (p *porch) rests(in *inbound, at time.Time) {
	if in.node && p.open[in] && in.place == nil {
		in.since, in.place = at, p.idle.PushBack(in)
	}
}

// greeted says that a connection is a node's.
func (p *porch) greeted(in *inbound, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in.node = true
	p.rests(in, at)
}

// begin says that a call has come in; an error, that its connection is no longer there to answer it.
func (in *inbound) begin() error {
	p := in.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open[in] {
		return errWay
	}
	if in.place != nil {
		p.idle.Remove(in.place)
		in.place = nil
	}
	in.calls++
	return nil
}

// end says that a call was answered.
func (in *inbound) end(at time.Time) {
	p := in.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if in.calls--; in.calls == 0 {
		p.rests(in, at)
	}
}

func (p *porch) forget(in *inbound) {
	_ = in.Conn.Close()
	p.mu.Lock()
	p.remove(in)
	p.mu.Unlock()
}

func (p *porch) greet(in *inbound) {
	_ = in.SetDeadline(time.Now().Add(p.within))
	var h hello
	if err := readLine(in, &h); err != nil {
		p.forget(in)
		return
	}
	var w welcome
	id := p.id()
	switch {
	case h.Fleet != p.fleet:
		w.Refused = fmt.Sprintf("fleet.name: this is %q, not %q", p.fleet, h.Fleet)
	case h.For == forVotes && id == "":
		w.Refused = "no voter: fleet.folder is empty or can't be used"
	case (h.For == forVotes || h.To != "") && h.To != id && !faults.Without(faults.Vote):
		// A voter that has lost its folder may have forgotten a vote: it is another one, which no member was told of.
		w.Refused = fmt.Sprintf("this voter is %s, not %s: what it was has gone with its folder", id, h.To)
	case h.For != forVotes && h.For != forAsks:
		w.Refused = "expected a connection for votes or asks"
	}
	line, _ := json.Marshal(w)
	if _, err := in.Write(append(line, '\n')); err != nil || w.Refused != "" {
		p.forget(in)
		return
	}
	_ = in.SetDeadline(time.Time{})
	if h.For == forAsks {
		defer p.forget(in)
		if h.To == "" {
			p.greeted(in, time.Now())
		}
		p.asks(in)
		return
	}
	select {
	case p.votes <- &vote{in}:
	case <-p.done:
		p.forget(in)
	}
}

// vote is a voters' connection, forgotten when the library closes it.
type vote struct{ *inbound }

func (v *vote) Close() error {
	v.p.forget(v.inbound)
	return nil
}

// close ends all connections, and lets the address go.
func (p *porch) close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.done)
	_ = p.listener.Close()
	for in := range p.open {
		_ = in.Close()
	}
	p.mu.Unlock()
}

// layer is what the library's transport runs on.
type layer struct {
	*porch
	dialer
	self   string
	closed chan struct{} // the transport that runs on it has ended
	once   *sync.Once
}

func newLayer(p *porch, d dialer, self string) layer {
	return layer{p, d, self, make(chan struct{}), &sync.Once{}}
}

// A voter's address in the library holds its id too, so that a dial can say who is meant.
func addressOf(id, address string) raft.ServerAddress { return raft.ServerAddress(address + "#" + id) }

func partsOf(a raft.ServerAddress) (address, id string) {
	address, id, _ = strings.Cut(string(a), "#")
	return address, id
}

func (l layer) Accept() (net.Conn, error) {
	select {
	case c := <-l.votes:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends this transport's part. The porch closes itself, after the library has ended, and another transport may follow on it.
func (l layer) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l layer) Addr() net.Addr { return named(l.self) }

type named string

func (named) Network() string  { return "tcp" }
func (n named) String() string { return string(n) }

func (l layer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	address, id := partsOf(to)
	return l.dial(address, forVotes, id, within)
}

// refusals are those that are told by name.
var refusals = map[string]error{"held": lease.ErrHeld, "lapsed": lease.ErrLeaseExpired, "repeated": lease.ErrDuplicate,
	"reign": lease.ErrStaleTerm, "full": lease.ErrLimitExceeded, "form": lease.ErrMalformed, "unfounded": lease.ErrNotFounded,
	"founded": lease.ErrAlreadyFounded, "leader": lease.ErrNotLeader, "wait": lease.ErrStillHeld, "withdrawn": lease.ErrWithdrawn}

// wireError gives the name and the text of an error, and back.
type wireError struct {
	Name string `json:"name,omitempty"`
	Text string `json:"text,omitempty"`
}

func toWireError(err error) wireError {
	if err == nil {
		return wireError{}
	}
	for name, known := range refusals {
		if errors.Is(err, known) {
			return wireError{name, err.Error()}
		}
	}
	return wireError{"other", err.Error()}
}

func (r wireError) err() error {
	known, is := refusals[r.Name]
	switch {
	case r.Name == "":
		return nil
	case !is:
		return errors.New(r.Text)
	case r.Text == known.Error():
		return known
	}
	return fmt.Errorf("%w (%s)", known, r.Text)
}
