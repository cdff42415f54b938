package transport

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// RaftAddress returns the address of a voter in the consensus library. It consists of the network address and the id of the voter,
// so that a dialer can require the peer to be this voter.
func RaftAddress(id, address string) raft.ServerAddress {
	return raft.ServerAddress(address + "#" + id)
}

// SplitRaftAddress splits an address that RaftAddress returned.
func SplitRaftAddress(a raft.ServerAddress) (address, id string) {
	address, id, _ = strings.Cut(string(a), "#")
	return address, id
}

// StreamLayer implements raft.StreamLayer, on which the consensus library's network transport runs. It accepts connections from
// a Listener. The Listener stays open when the StreamLayer is closed, so that a restarted voter can use it with a new one.
type StreamLayer struct {
	listener  *Listener
	dialer    Dialer
	localAddr raft.ServerAddress
	closed    chan struct{}
	closeOnce sync.Once
}

// NewStreamLayer returns the StreamLayer of the voter with the address localAddr.
func NewStreamLayer(l *Listener, d Dialer, localAddr raft.ServerAddress) *StreamLayer {
	return &StreamLayer{listener: l, dialer: d, localAddr: localAddr, closed: make(chan struct{})}
}

// Accept waits for the next Raft connection and returns it.
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

// Close unblocks Accept, which then returns net.ErrClosed. The Listener stays open.
func (s *StreamLayer) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

// Addr returns the address of this voter.
func (s *StreamLayer) Addr() net.Addr { return voterAddr(s.localAddr) }

// Dial opens a Raft connection to another voter.
func (s *StreamLayer) Dial(target raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	address, id := SplitRaftAddress(target)
	return s.dialer.Dial(address, PurposeRaft, id, timeout)
}

// Dialer returns the Dialer that opens the connections of this StreamLayer.
func (s *StreamLayer) Dialer() Dialer { return s.dialer }

// voterAddr implements net.Addr for the address of a voter.
type voterAddr string

func (voterAddr) Network() string  { return "tcp" }
func (a voterAddr) String() string { return string(a) }
