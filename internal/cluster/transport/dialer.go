package transport

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
)

// ErrRefused is wrapped by errors of Dial if the peer was reached but refused the connection. The error text contains the reason.
var ErrRefused = errors.New("refused by")

// Dialer opens connections to the other nodes of a cluster. It is safe for concurrent use.
type Dialer struct {
	Cluster       string            // name of the cluster
	Node          string            // name of the dialing node
	DialOverrides map[string]string // maps a peer's address to the address to dial instead; may be nil
}

// Dial opens a connection for a purpose and waits until the peer has accepted it. If voterID is not empty, the peer refuses the
// connection unless it is the voter with this id. timeout applies separately to the TCP connection and to the handshake.
func (d Dialer) Dial(address, purpose, voterID string, timeout time.Duration) (net.Conn, error) {
	dialAddress := address
	if override, found := d.DialOverrides[address]; found {
		dialAddress = override
	}
	c, err := net.DialTimeout("tcp", dialAddress, timeout)
	if err != nil {
		return nil, err
	}
	c = faults.CountConn(purpose, c)
	_ = c.SetDeadline(time.Now().Add(timeout))
	if err := d.handshake(c, address, purpose, voterID); err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}

// handshake sends the hello line and reads the welcome line.
func (d Dialer) handshake(c net.Conn, address, purpose, voterID string) error {
	if err := writeLine(c, hello{Cluster: d.Cluster, Purpose: purpose, NodeName: d.Node, VoterID: voterID}); err != nil {
		return err
	}
	var w welcome
	if err := readLine(c, &w); err != nil {
		return err
	}
	if w.Refusal != "" {
		return fmt.Errorf("%w %s: %s", ErrRefused, address, w.Refusal)
	}
	return nil
}
