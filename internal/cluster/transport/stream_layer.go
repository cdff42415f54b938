package transport

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// RaftAddress returns a voter's address in the consensus library: its network address and its id, so that a dialer can say
// which voter it means.
func RaftAddress(id, address string) raft.ServerAddress {
	return raft.ServerAddress(address + "#" + id)
}

// SplitRaftAddress is the inverse of RaftAddress.
func SplitRaftAddress(a raft.ServerAddress) (address, id string) {
	address, id, _ = strings.Cut(string(a), "#")
	return address, id
}

// StreamLayer is the network of the consensus library's transport, a raft.StreamLayer. Its connections come from a Listener,
// which outlives it: another StreamLayer may follow on the same Listener.
type StreamLayer struct {
	listener  *Listener
	dialer    Dialer
	localAddr raft.ServerAddress
	closed    chan struct{}
	closeOnce sync.Once
}

// NewStreamLayer returns the StreamLayer of the voter with an address.
func NewStreamLayer(l *Listener, d Dialer, localAddr raft.ServerAddress) *StreamLayer {
	return &StreamLayer{listener: l, dialer: d, localAddr: localAddr, closed: make(chan struct{})}
}

// Accept returns the next connection for consensus.
func (s *StreamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-s.listener.raftConns:
		return c, nil
	case <-s.listener.done:
		return nil, net.ErrClosed
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. It leaves the Listener open.
func (s *StreamLayer) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

// Addr returns the voter's own address.
func (s *StreamLayer) Addr() net.Addr { return voterAddr(s.localAddr) }

// Dial opens a connection to another voter.
func (s *StreamLayer) Dial(target raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	address, id := SplitRaftAddress(target)
	return s.dialer.Dial(address, PurposeRaft, id, timeout)
}

// Dialer returns the dialer to the other nodes.
func (s *StreamLayer) Dialer() Dialer { return s.dialer }

// voterAddr is a voter's address as a net.Addr.
type voterAddr string

func (voterAddr) Network() string  { return "tcp" }
func (a voterAddr) String() string { return string(a) }
