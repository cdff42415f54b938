package cluster

import (
	"errors"
	"fmt"
	"net/rpc"
	"net/rpc/jsonrpc"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	maxPendingRequests = 64 // lease requests of this process
	callTimeoutFactor  = 6  // timeout in maximum network delays, for a call that doesn't wait but may include a quorum round
)

var (
	errTooManyRequests = errors.New("too many lease requests of this process are pending")
	errCallTimeout     = errors.New("call timed out")
)

// Client sends requests to the leader of a cluster, over one connection that it keeps open. It is safe for concurrent use.
type Client struct {
	config *config.Cluster
	dialer transport.Dialer
	log    *zap.Logger
	slots  chan struct{} // one for each pending lease request

	mu            sync.Mutex
	conn          *rpc.Client         // the current connection; nil if none is open
	pendingCalls  map[*rpc.Client]int // by connection: the current one, and dropped ones
	address       string              // of the current connection, or the one to dial next; empty if unknown
	nextVoter     int                 // index of the voter to dial if no address is known
	lastResponse  time.Duration       // boot time of the leader's last response; 0: none yet
	claimantCount int64               // created so far
}

// NewClient returns a client, which opens its connection at the first request.
func NewClient(c *config.Cluster, log *zap.Logger) *Client {
	return &Client{
		config:       c,
		dialer:       transport.Dialer{Cluster: c.Name, Node: c.Node, DialOverrides: c.DialOverrides},
		log:          log,
		slots:        make(chan struct{}, maxPendingRequests),
		pendingCalls: map[*rpc.Client]int{},
	}
}

// Close closes the connection. A later request opens another.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// callTimeout returns the timeout of a call that doesn't wait at the peer.
func (c *Client) callTimeout() time.Duration { return callTimeoutFactor * c.config.MaxDelay }

// connection returns the current connection and its address, for one call. It opens the connection if there is none. The caller
// calls finishCall at the end of the call.
func (c *Client) connection() (*rpc.Client, string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.pendingCalls[c.conn]++
		return c.conn, c.address, nil
	}
	if c.address == "" {
		c.address = c.config.Voters[c.nextVoter%len(c.config.Voters)].Address
	}
	conn, err := c.dialer.Dial(c.address, transport.PurposeRPC, "", c.callTimeout())
	if err != nil {
		address := c.address
		c.address = ""
		c.nextVoter++
		return nil, "", fmt.Errorf("%s: %w", address, err)
	}
	c.conn = jsonrpc.NewClient(conn)
	c.pendingCalls[c.conn]++
	return c.conn, c.address, nil
}

// finishCall records the end of a call. It closes a dropped connection at the end of its last pending call.
func (c *Client) finishCall(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingCalls[conn]--
	if c.pendingCalls[conn] > 0 {
		return
	}
	delete(c.pendingCalls, conn)
	if c.conn != conn {
		_ = conn.Close()
	}
}

// dropConn stops using a connection, unless it was dropped before. nextAddress is the address to dial next; empty means the
// next voter's. Pending calls may still be answered, so the connection is closed at the end of the last one. It is not kept
// longer, because it counts towards the connection limit of the voter.
func (c *Client) dropConn(conn *rpc.Client, nextAddress string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return
	}
	c.conn = nil
	c.address = nextAddress
	if nextAddress == "" {
		c.nextVoter++
	}
	if c.pendingCalls[conn] == 0 {
		_ = conn.Close()
	}
}

// call makes one call. On a timeout it closes the connection, which may be broken.
func call(conn *rpc.Client, method string, args, reply any, timeout time.Duration) error {
	done := conn.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-done:
		return fromCallError(result.Error)
	case <-timer.C:
		_ = conn.Close()
		<-done // after this nothing writes to reply
		return errCallTimeout
	}
}

// callAddress makes one call to an address, on a new connection.
func (c *Client) callAddress(address, method string, args, reply any) error {
	return c.callAddressTimeout(address, method, args, reply, c.callTimeout())
}

func (c *Client) callAddressTimeout(address, method string, args, reply any, timeout time.Duration) error {
	conn, err := c.dialer.Dial(address, transport.PurposeRPC, "", c.callTimeout())
	if err != nil {
		return err
	}
	client := jsonrpc.NewClient(conn)
	defer client.Close()
	return call(client, method, args, reply, timeout)
}

// callCurrent makes one call on the current connection. Unlike send, it doesn't look for the leader.
func (c *Client) callCurrent(method string, args, reply any) error {
	return c.callCurrentTimeout(method, args, reply, c.callTimeout())
}

func (c *Client) callCurrentTimeout(method string, args, reply any, timeout time.Duration) error {
	conn, _, err := c.connection()
	if err != nil {
		return err
	}
	err = call(conn, method, args, reply, timeout)
	c.finishCall(conn)
	// After ErrNotLeader the connection is kept: the next lease request finds the leader and replaces the connection.
	if err != nil && !errors.Is(err, lease.ErrNotLeader) {
		c.dropConn(conn, "")
	}
	return err
}

// lastLeader returns the address of the last known leader, and the time since its last response; -1 if there was none.
func (c *Client) lastLeader() (address string, elapsedMs int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastResponse == 0 {
		return c.address, -1
	}
	return c.address, (bootTime() - c.lastResponse).Milliseconds()
}

// processStart distinguishes this process from others with the same process id.
var processStart = time.Now()

// nextStart returns a unique start for a new lease.Holder, which distinguishes this process's claimants.
func (c *Client) nextStart() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimantCount++
	return processStart.UnixMilli()*1000 + c.claimantCount
}
