package fellows

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

// One address takes two kinds of connection, told apart by their first line.
const (
	forVotes = "votes" // the library's own protocol between voters
	forAsks  = "asks"  // JSON-RPC: askings and operators' calls

	helloMost = 1 << 10
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

// porch takes connections in and hands them on by their kind.
type porch struct {
	listener net.Listener
	most     int // connections at once; each node holds one to the leader
	fleet    string
	id       func() string // of our own vote, empty: none
	within   time.Duration
	asks     func(net.Conn)
	votes    chan net.Conn

	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
	done   chan struct{}
}

func newPorch(l net.Listener, most int, fleet string, within time.Duration, id func() string, asks func(net.Conn)) *porch {
	return &porch{listener: l, most: most, fleet: fleet, id: id, within: within, asks: asks, votes: make(chan net.Conn),
		open: map[net.Conn]bool{}, done: make(chan struct{})}
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
		c = faults.Counted("taken", c)
		p.mu.Lock()
		full := p.closed || len(p.open) >= p.most
		if !full {
			p.open[c] = true
		}
		p.mu.Unlock()
		if full {
			_ = c.Close()
			continue
		}
		go p.greet(c)
	}
}

func (p *porch) forget(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
}

func (p *porch) greet(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(p.within))
	var h hello
	if err := readLine(c, &h); err != nil {
		p.forget(c)
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
	if _, err := c.Write(append(line, '\n')); err != nil || w.Refused != "" {
		p.forget(c)
		return
	}
	_ = c.SetDeadline(time.Time{})
	if h.For == forAsks {
		defer p.forget(c)
		p.asks(c)
		return
	}
	select {
	case p.votes <- &vote{Conn: c, p: p}:
	case <-p.done:
		p.forget(c)
	}
}

// vote is a voters' connection, forgotten when the library closes it.
type vote struct {
	net.Conn
	p *porch
}

func (v *vote) Close() error {
	v.p.forget(v.Conn)
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
	for c := range p.open {
		_ = c.Close()
	}
	p.mu.Unlock()
}

// layer is what the library's transport runs on.
type layer struct {
	*porch
	dialer
	self string
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
	}
}
func (l layer) Close() error   { return nil } // the porch closes itself, after the library has ended
func (l layer) Addr() net.Addr { return named(l.self) }

type named string

func (named) Network() string  { return "tcp" }
func (n named) String() string { return string(n) }

func (l layer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	address, id := partsOf(to)
	return l.dial(address, forVotes, id, within)
}

// refusals are those that are told by name.
var refusals = map[string]error{"held": lease.ErrHeld, "lapsed": lease.ErrLapsed, "repeated": lease.ErrRepeated,
	"reign": lease.ErrReign, "full": lease.ErrFull, "form": lease.ErrForm, "unfounded": lease.ErrUnbegun,
	"founded": lease.ErrBegun, "leader": lease.ErrNotLeader, "wait": lease.ErrWait, "withdrawn": lease.ErrWithdrawn}

// refusal gives the name and the text of an error, and back.
type refusal struct {
	Name string `json:"name,omitempty"`
	Text string `json:"text,omitempty"`
}

func refusalOf(err error) refusal {
	if err == nil {
		return refusal{}
	}
	for name, known := range refusals {
		if errors.Is(err, known) {
			return refusal{name, err.Error()}
		}
	}
	return refusal{"other", err.Error()}
}

func (r refusal) err() error {
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
