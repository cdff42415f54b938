package transport

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
)

// ErrRefused says that a peer was reached and refused the connection; the text has its reason.
var ErrRefused = errors.New("refused by")

// Dialer opens connections to the other nodes of a cluster. It is safe for concurrent use.
type Dialer struct {
	Cluster string            // name of the cluster
	Node    string            // name of the dialing node
	Routes  map[string]string // addresses to dial in place of others; may be nil
}

// Dial opens a connection for a purpose and waits until the peer has accepted it. voterID names the voter that is meant;
// empty: whoever has the address. timeout bounds the dial, and again the exchange of the first lines.
func (d Dialer) Dial(address, purpose, voterID string, timeout time.Duration) (net.Conn, error) {
	dialAddress := address
	if override, found := d.Routes[address]; found {
		dialAddress = override
	}
	c, err := net.DialTimeout("tcp", dialAddress, timeout)
	if err != nil {
		return nil, err
	}
	c = faults.Counted(purpose, c)
	_ = c.SetDeadline(time.Now().Add(timeout))
	if err := d.handshake(c, address, purpose, voterID); err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}

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
