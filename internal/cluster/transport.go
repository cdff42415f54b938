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
	purposeRaft = "votes" // the library's own protocol between voters
	purposeRPC  = "asks"  // JSON-RPC: askings and operators' calls

	maxHelloBytes = 1 << 10

	idleDivisor = 9 // a ninth of a lease without a call, a third of a renewal's period: who is in use rests longer only between two renewals
)

// hello is the first line from who dials.
type hello struct {
	Cluster string `json:"fleet"`
	Purpose string `json:"for"`
	From    string `json:"from"`
	To      string `json:"to,omitempty"` // the voter that is meant, by its folder's number too
}

// welcome is the first line back.
type welcome struct {
	Refusal string `json:"refused,omitempty"`
}

// errRefused says that a fellow was reached and wants nothing of us; the text says why.
var errRefused = errors.New("refused by")

// dialer reaches fellows.
type dialer struct {
	cluster, node string
	routes        map[string]string
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
	line, _ := json.Marshal(hello{d.cluster, purpose, d.node, to})
	if _, err = c.Write(append(line, '\n')); err == nil {
		var w welcome
		if err = readLine(c, &w); err == nil && w.Refusal != "" {
			err = fmt.Errorf("%w %s: %s", errRefused, address, w.Refusal)
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
	for one := make([]byte, 1); len(line) < maxHelloBytes; line = append(line, one[0]) {
		if _, err := c.Read(one); err != nil {
			return err
		}
		if one[0] == '\n' {
			return json.Unmarshal(line, into)
		}
	}
	return errors.New("no line of a fellow's")
}

// peerListener takes connections in and hands them on by their kind. When it is full, the connection of askings that has been idle for
// longest makes way for the next one: a node that turned elsewhere, or vanished without closing what it held, keeps no other out.
type peerListener struct {
	listener       net.Listener
	maxConnections int           // connections at once; each node holds one to the leader
	minIdle        time.Duration // without a call, before a connection makes way
	cluster        string
	voterID        func() string // of our own vote, empty: none
	helloTimeout   time.Duration
	serveRPC       func(*peerConn)
	raftConns      chan net.Conn

	mu     sync.Mutex
	open   map[*peerConn]bool
	idle   *list.List // of *inbound, all in open, the longest idle first
	closed bool
	done   chan struct{}
}

// peerConn is a connection that was taken in. It makes way only while it is in idle: not during its greeting, which has a bound,
// nor with a call in hand, and never one for votes, nor a voter's for its rounds: these are few, and a leader shows by them that it leads.
type peerConn struct {
	net.Conn
	listener  *peerListener
	hasUnread func() bool // bytes have come that nobody has read yet; nil: not known

	fromNode    bool          // it is a node's, for askings; the porch's lock guards this and what follows
	calls       int           // in hand
	idleSince   time.Time     // without a call
	idleElement *list.Element // in idle; nil: it isn't there
}

// errConnEvicted ends the reading of a connection that has made way: a call that comes after that isn't run.
var errConnEvicted = errors.New("made way for another connection")

func newPeerListener(l net.Listener, most int, rest time.Duration, fleet string, within time.Duration, id func() string, asks func(*peerConn)) *peerListener {
	return &peerListener{listener: l, maxConnections: most, minIdle: rest, cluster: fleet, voterID: id, helloTimeout: within, serveRPC: asks, raftConns: make(chan net.Conn),
		open: map[*peerConn]bool{}, idle: list.New(), done: make(chan struct{})}
}

// serve takes connections until close.
func (p *peerListener) serve() {
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
		in := &peerConn{Conn: faults.Counted("taken", c), listener: p, hasUnread: unreadCheck(c)}
		taken, way := p.admit(in, time.Now())
		if way != nil {
			_ = way.Close() // this waits until its descriptor is free, so that the bound holds for these too
		}
		if !taken {
			_ = in.Close()
			continue
		}
		go p.handshake(in)
	}
}

// admit takes a connection in if there is room, or if one makes way, which is then the caller's to close.
func (p *peerListener) admit(in *peerConn, at time.Time) (taken bool, way *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false, nil
	}
	if len(p.open) >= p.maxConnections {
		if way = p.evictionCandidate(at); way == nil {
			return false, nil
		}
		p.remove(way)
	}
	p.open[in] = true
	return true, way
}

// evictionCandidate gives the connection that has been idle for longest, if it has been so for long enough. One whose call has come and
// waits to be read has it in hand too: after a stall that may be so with all.
func (p *peerListener) evictionCandidate(at time.Time) *peerConn {
	for e := p.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*peerConn)
		if at.Sub(c.idleSince) < p.minIdle {
			return nil
		}
		if c.hasUnread == nil || !c.hasUnread() {
			return c
		}
	}
	return nil
}

// unreadCheck gives a look at whether bytes wait in a connection; nil: it can't be seen.
func unreadCheck(c net.Conn) func() bool {
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
func (p *peerListener) remove(in *peerConn) {
	delete(p.open, in)
	if in.idleElement != nil {
		p.idle.Remove(in.idleElement)
		in.idleElement = nil
	}
}

// markIdle makes a connection idle from now on, with the lock held.
func (p *peerListener) markIdle(in *peerConn, at time.Time) {
	if in.fromNode && p.open[in] && in.idleElement == nil {
		in.idleSince, in.idleElement = at, p.idle.PushBack(in)
	}
}

// markNodeConn says that a connection is a node's.
func (p *peerListener) markNodeConn(in *peerConn, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in.fromNode = true
	p.markIdle(in, at)
}

// beginCall says that a call has come in; an error, that its connection is no longer there to answer it.
func (in *peerConn) beginCall() error {
	p := in.listener
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open[in] {
		return errConnEvicted
	}
	if in.idleElement != nil {
		p.idle.Remove(in.idleElement)
		in.idleElement = nil
	}
	in.calls++
	return nil
}

// endCall says that a call was answered.
func (in *peerConn) endCall(at time.Time) {
	p := in.listener
	p.mu.Lock()
	defer p.mu.Unlock()
	if in.calls--; in.calls == 0 {
		p.markIdle(in, at)
	}
}

func (p *peerListener) closeConn(in *peerConn) {
	_ = in.Conn.Close()
	p.mu.Lock()
	p.remove(in)
	p.mu.Unlock()
}

func (p *peerListener) handshake(in *peerConn) {
	_ = in.SetDeadline(time.Now().Add(p.helloTimeout))
	var h hello
	if err := readLine(in, &h); err != nil {
		p.closeConn(in)
		return
	}
	var w welcome
	id := p.voterID()
	switch {
	case h.Cluster != p.cluster:
		w.Refusal = fmt.Sprintf("fleet.name: this is %q, not %q", p.cluster, h.Cluster)
	case h.Purpose == purposeRaft && id == "":
		w.Refusal = "no voter: fleet.folder is empty or can't be used"
	case (h.Purpose == purposeRaft || h.To != "") && h.To != id && !faults.Without(faults.Vote):
		// A voter that has lost its folder may have forgotten a vote: it is another one, which no member was told of.
		w.Refusal = fmt.Sprintf("this voter is %s, not %s: what it was has gone with its folder", id, h.To)
	case h.Purpose != purposeRaft && h.Purpose != purposeRPC:
		w.Refusal = "expected a connection for votes or asks"
	}
	line, _ := json.Marshal(w)
	if _, err := in.Write(append(line, '\n')); err != nil || w.Refusal != "" {
		p.closeConn(in)
		return
	}
	_ = in.SetDeadline(time.Time{})
	if h.Purpose == purposeRPC {
		defer p.closeConn(in)
		if h.To == "" {
			p.markNodeConn(in, time.Now())
		}
		p.serveRPC(in)
		return
	}
	select {
	case p.raftConns <- &raftConn{in}:
	case <-p.done:
		p.closeConn(in)
	}
}

// raftConn is a voters' connection, forgotten when the library closes it.
type raftConn struct{ *peerConn }

func (v *raftConn) Close() error {
	v.listener.closeConn(v.peerConn)
	return nil
}

// close ends all connections, and lets the address go.
func (p *peerListener) close() {
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

// raftStreamLayer is what the library's transport runs on.
type raftStreamLayer struct {
	*peerListener
	dialer
	self   string
	closed chan struct{} // the transport that runs on it has ended
	once   *sync.Once
}

func newRaftStreamLayer(p *peerListener, d dialer, self string) raftStreamLayer {
	return raftStreamLayer{p, d, self, make(chan struct{}), &sync.Once{}}
}

// A voter's address in the library holds its id too, so that a dial can say who is meant.
func raftAddress(id, address string) raft.ServerAddress {
	return raft.ServerAddress(address + "#" + id)
}

func splitRaftAddress(a raft.ServerAddress) (address, id string) {
	address, id, _ = strings.Cut(string(a), "#")
	return address, id
}

func (l raftStreamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-l.raftConns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends this transport's part. The porch closes itself, after the library has ended, and another transport may follow on it.
func (l raftStreamLayer) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l raftStreamLayer) Addr() net.Addr { return peerAddr(l.self) }

type peerAddr string

func (peerAddr) Network() string  { return "tcp" }
func (n peerAddr) String() string { return string(n) }

func (l raftStreamLayer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	address, id := splitRaftAddress(to)
	return l.dial(address, purposeRaft, id, within)
}

// errorsByName are those that are told by name.
var errorsByName = map[string]error{"held": lease.ErrHeld, "lapsed": lease.ErrLeaseExpired, "repeated": lease.ErrDuplicate,
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
	for name, known := range errorsByName {
		if errors.Is(err, known) {
			return wireError{name, err.Error()}
		}
	}
	return wireError{"other", err.Error()}
}

func (r wireError) toError() error {
	known, is := errorsByName[r.Name]
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
