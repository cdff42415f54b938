package cluster

import (
	"errors"
	"io"
	"net/rpc"
	"net/rpc/jsonrpc"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/lease"
)

// The names of the RPC methods on the wire. Each is a method of rpcService.
const (
	serviceName = "Fleet"

	methodLease            = serviceName + ".Ask"
	methodStatus           = serviceName + ".Status"
	methodWatch            = serviceName + ".Watch"
	methodMetrics          = serviceName + ".Figures"
	methodTerm             = serviceName + ".Term"
	methodBootstrap        = serviceName + ".Bootstrap"
	methodFound            = serviceName + ".Found"
	methodChangeMembership = serviceName + ".Change"
	methodReportEjections  = serviceName + ".Rest"
	methodDueProbes        = serviceName + ".Due"
	methodProbeResult      = serviceName + ".Result"
	methodQuotas           = serviceName + ".Part"
	methodLendQuotas       = serviceName + ".Lend"
	methodSetLimit         = serviceName + ".SetWhole"
)

const (
	maxCallsPerConn  = 256 // calls in progress; at this limit no further request is read from the connection
	maxWatchDuration = 30 * time.Second
)

var errNoVoter = errors.New("this node has no voter: fleet.folder is not set or can't be used")

// rpcService serves the calls of one connection. The names of its exported methods are part of the wire format.
type rpcService struct {
	member       *Member
	disconnected chan struct{} // closed when the connection has ended
}

// serveConn serves an RPC connection until its end.
func (m *Member) serveConn(conn *transport.Conn) {
	service := &rpcService{member: m, disconnected: make(chan struct{})}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, service); err != nil {
		m.log.Error("RPC service not registered", zap.Error(err))
		return
	}
	calls := &callReader{Conn: conn}
	stream := struct {
		io.Reader
		io.Writer
		io.Closer
	}{calls, conn, conn}
	server.ServeCodec(&limitedCodec{
		ServerCodec:  jsonrpc.NewServerCodec(stream),
		conn:         conn,
		calls:        calls,
		slots:        make(chan struct{}, maxCallsPerConn),
		disconnected: sync.OnceFunc(func() { close(service.disconnected) }),
	})
}

// limitedCodec limits the calls in progress on a connection, reports their start and end to the transport, and detects the end
// of the connection. Its callReader limits the size of each call and the time for reading it.
type limitedCodec struct {
	rpc.ServerCodec
	conn         *transport.Conn
	calls        *callReader
	slots        chan struct{}
	disconnected func() // called when the connection has ended
}

// ReadRequestHeader waits for a slot, then for the next call.
func (c *limitedCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	c.calls.expectCall()
	err := c.ServerCodec.ReadRequestHeader(r)
	if err == nil {
		err = c.conn.BeginCall()
	}
	if err != nil {
		c.disconnected()
	}
	return err
}

// WriteResponse answers a call and frees its slot.
func (c *limitedCodec) WriteResponse(r *rpc.Response, reply any) error {
	err := c.ServerCodec.WriteResponse(r, reply)
	c.conn.EndCall(time.Now())
	<-c.slots
	return err
}

// Ask handles a claimant's lease request.
func (s *rpcService) Ask(request *LeaseRequest, reply *LeaseResponse) error {
	v := s.member.voter()
	if v == nil {
		*reply = toLeaseResponse(lease.Response{Err: lease.ErrNotLeader})
		return nil
	}
	response := v.handleLeaseRequest(request.toRequest(), s.disconnected)
	*reply = toLeaseResponse(response)
	if errors.Is(response.Err, lease.ErrNotLeader) {
		_, reply.Leader = v.leader()
	}
	return nil
}

// Status returns the cluster as this node sees it.
func (s *rpcService) Status(_ *struct{}, reply *Status) error {
	*reply = s.member.status()
	return nil
}

// Watch waits until this voter has applied an entry after the given revision, or for maxWatchDuration, and returns the status.
func (s *rpcService) Watch(revision *uint64, reply *Status) error {
	v := s.member.voter()
	if v == nil {
		return errNoVoter
	}
	timeout := time.NewTimer(maxWatchDuration)
	defer timeout.Stop()
	for {
		changed := v.nextChange()
		*reply = s.member.status()
		if reply.Revision > *revision {
			return nil
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		case <-s.disconnected:
		case <-v.stop:
		}
		return nil
	}
}

// Figures returns this node's metrics.
func (s *rpcService) Figures(_ *struct{}, reply *map[string]int64) error {
	*reply = s.member.node.Metrics()
	return nil
}

// Term returns the latest term in which this voter has voted, or may have.
func (s *rpcService) Term(_ *struct{}, reply *TermVote) error {
	v := s.member.voter()
	if v == nil || v.hasEnded() {
		return lease.ErrNotLeader
	}
	*reply = TermVote{ID: v.identity.ID, Term: v.raft.CurrentTerm()}
	return nil
}
