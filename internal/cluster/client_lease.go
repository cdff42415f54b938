package cluster

import (
	"errors"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/lease"
)

// maxRedirects limits the voters tried for one lease request, when each of them names another voter as the leader.
const maxRedirects = 4

// traceRequest is called before each lease request of this process is sent. The function that it returns is called with the
// response. Only the fault test's build sets it.
var traceRequest func(r lease.Request) func(response lease.Response, err error)

// traceQuotas is called with each response to a quota request. Only the fault test's build sets it.
var traceQuotas func(node string, updates []budget.QuotaUpdate)

// sendTraced calls send, and traceRequest if it is set.
func (c *Client) sendTraced(r lease.Request) (response lease.Response, err error) {
	if traceRequest != nil {
		traceResponse := traceRequest(r)
		defer func() { traceResponse(response, err) }()
	}
	return c.send(r)
}

// send sends a lease request to the leader, which it finds by asking the voters. An error means that the outcome is unknown.
func (c *Client) send(r lease.Request) (lease.Response, error) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		return lease.Response{}, errTooManyRequests
	}
	args := toLeaseRequest(r)
	for range maxRedirects {
		conn, address, err := c.connection()
		if err != nil {
			return lease.Response{}, err
		}
		var reply LeaseResponse
		err = call(conn, methodLease, args, &reply, toDuration(r.MaxWait)+c.callTimeout())
		c.finishCall(conn)
		if err != nil {
			c.dropConn(conn, "")
			return lease.Response{}, err
		}
		response := reply.toResponse()
		if !errors.Is(response.Err, lease.ErrNotLeader) {
			c.recordResponse()
			return response, nil
		}
		if reply.Leader == address || reply.Leader == "" { // the voter leads but a quorum round failed, or it knows no leader
			c.dropConn(conn, "")
			return response, nil
		}
		c.dropConn(conn, reply.Leader)
	}
	return lease.Response{Err: lease.ErrNotLeader}, nil
}

// recordResponse records the time of the leader's response.
func (c *Client) recordResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse = bootTime()
}

// Release releases a lease on behalf of its holder, if the lease still has the given token.
func (c *Client) Release(name string, token uint64) error {
	status, err := c.Status()
	if err != nil {
		return err
	}
	for _, l := range status.Leases {
		if l.Name == name && l.Token == token {
			response, err := c.send(lease.Request{Operation: lease.OpRelease, Name: name, Holder: l.Holder, Token: token})
			return errors.Join(err, response.Err)
		}
	}
	return lease.ErrLeaseExpired
}
