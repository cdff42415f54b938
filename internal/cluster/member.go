package cluster

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/internal/cluster/voterstore"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

const (
	// listenRetryInterval is the time between two attempts to listen on an address that is in use by another process.
	listenRetryInterval = 50 * time.Millisecond

	// idleDivisor gives the idle time after which a node's connection may be evicted: a ninth of a lease, which is a third of
	// the renewal interval. A connection in use is idle for longer only between two renewals.
	idleDivisor = 9
)

// LocalNode is the node that a Member runs in. Its methods may be called concurrently.
type LocalNode interface {
	// Metrics returns the node's metrics by name.
	Metrics() map[string]int64
	// EjectedEndpoints returns the addresses of the servers that are ejected after failures, by id.
	EjectedEndpoints() map[string]string
	// ReportProbeResult reports the result of the cluster's last probe of a server, and the maximum time until its next probe.
	ReportProbeResult(id, address string, healthy bool, next time.Duration)
	// SetQuota sets this node's quota of a budget. Requests may begin under quota's Rate and Burst for the duration, and under
	// its RateAfterEnd and BurstAfterEnd afterwards. Requests under a concurrency limit are cut off cutoffMargin after the duration.
	// It returns the usage since the last call.
	SetQuota(limit routing.Limit, tenant string, quota quotalimit.Quota, duration, cutoffMargin time.Duration) quotalimit.Usage
}

// Member is this process's membership in its cluster. It is safe for concurrent use.
type Member struct {
	config             *config.Cluster
	log                *zap.Logger
	node               LocalNode
	client             *Client
	maxRequestDuration time.Duration
	maxPeerConnections int

	mu            sync.Mutex
	identity      voterstore.Identity
	currentVoter  *Voter                        // nil if this node has no voter
	voterError    error                         // of the voter's last start; nil if it succeeded
	quotas        *nodeQuotas                   // nil while the lease of this node's name is not held, and without budgets
	agreedConfigs map[string]lease.BudgetConfig // by budget, as the cluster last reported them
	maxBursts     map[string]float64            // by budget, for the fault test with the safeguard faults.BurstKept removed
	leaving       bool

	listener *transport.Listener
	tasks    sync.WaitGroup
	stop     context.CancelFunc
	ended    chan struct{} // closed when the member has left the cluster
}

// Start joins the cluster in the background, and retries until it succeeds. Only the process that listens on the cluster
// address is a member. While another process listens on it, such as the process that this one replaces, this one waits.
// maxRequestDuration bounds the duration of a client's request, and maxPeerConnections the number of connections that peers
// have open to this node.
func Start(c *config.Cluster, node LocalNode, maxRequestDuration time.Duration, maxPeerConnections int, log *zap.Logger) *Member {
	ctx, stop := context.WithCancel(context.Background())
	m := &Member{
		config:             c,
		log:                log,
		node:               node,
		client:             NewClient(c, log),
		maxRequestDuration: maxRequestDuration,
		maxPeerConnections: maxPeerConnections,
		agreedConfigs:      map[string]lease.BudgetConfig{},
		maxBursts:          map[string]float64{},
		stop:               stop,
		ended:              make(chan struct{}),
	}
	m.applyReserved(false)
	go m.run(ctx)
	return m
}

// Close leaves the cluster: it releases the leases, and a voter that leads transfers its leadership.
func (m *Member) Close() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.stop()
	<-m.ended
}

func (m *Member) run(ctx context.Context) {
	defer close(m.ended)
	l := m.listen(ctx)
	if l == nil {
		m.releaseReserved()
		return
	}
	m.applyReserved(true)
	m.listener = transport.NewListener(l, transport.ListenerConfig{
		Cluster:        m.config.Name,
		MaxConnections: m.maxPeerConnections,
		MinIdle:        m.config.Lease / idleDivisor,
		HelloTimeout:   m.client.callTimeout(),
		VoterID:        m.voterID,
		ServeRPC:       m.serveConn,
	})
	if m.config.DataDir != "" {
		m.openVoter()
		m.tasks.Go(func() { m.restartVoter(ctx) })
	}
	go m.listener.Serve()
	m.log.Info("joined the cluster", zap.String("cluster", m.config.Name), zap.String("address", m.config.Address),
		zap.String("voter", m.voterID()))
	m.runTasks(ctx)
	<-ctx.Done()
	m.leave()
}

// leave ends the tasks, the reserved quotas, the voter and the connections, in this order.
func (m *Member) leave() {
	m.tasks.Wait()
	m.releaseReserved()
	if v := m.voter(); v != nil {
		v.close()
	}
	m.client.Close()
	m.listener.Close()
}

// releaseReserved sets the reserved quotas to zero, because they belong to the process that listens on the cluster address. It
// waits until the requests in flight under them have ended, up to a timeout.
func (m *Member) releaseReserved() {
	end := time.Now().Add(m.maxRequestDuration + m.client.callTimeout())
	for m.applyReserved(false) > 0 && time.Now().Before(end) {
		time.Sleep(idlePollInterval)
	}
}

// listen listens on the cluster address as soon as it is free. Until then this process borrows quotas from the process that
// listens on it. It returns nil if the context ends first.
func (m *Member) listen(ctx context.Context) net.Listener {
	borrowing, stopBorrowing := context.WithCancel(ctx)
	var borrower sync.WaitGroup
	defer borrower.Wait()
	defer stopBorrowing()
	for warned := false; ; {
		l, err := net.Listen("tcp", m.config.Address)
		if err == nil {
			return l
		}
		if !warned {
			warned = true
			m.log.Warn("fleet.address is in use, waiting for it", zap.Error(err))
			borrower.Go(func() { m.borrowQuotas(borrowing) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(listenRetryInterval):
		}
	}
}

// openVoter starts the voter. A node whose folder can't be used runs without a voter.
func (m *Member) openVoter() {
	v, err := m.startVoterFromFolder()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.currentVoter = v
	m.voterError = err
	if err != nil {
		m.identity = voterstore.Identity{}
		m.log.Error("voter not started, the node goes on without it", zap.Error(err))
	}
}

// startVoterFromFolder reads the voter's identity from the folder, or creates it, and starts the voter.
func (m *Member) startVoterFromFolder() (*Voter, error) {
	identity, err := voterstore.OpenIdentity(m.config.DataDir, m.config.Name, m.config.Node)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.identity = identity
	m.mu.Unlock()
	dialer := transport.Dialer{Cluster: m.config.Name, Node: m.config.Node, DialOverrides: m.config.DialOverrides}
	layer := transport.NewStreamLayer(m.listener, dialer, transport.RaftAddress(identity.ID, m.config.Address))
	return startVoter(m.config, identity, layer, m.log.Named("voter"))
}

// voterID returns the id of this node's voter; empty if it has none.
func (m *Member) voterID() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.identity.ID
}

// voter returns this node's voter; nil if it has none.
func (m *Member) voter() *Voter {
	v, _ := m.voterOrError()
	return v
}

// voterOrError returns this node's voter, or the error of its start. Both are nil for a node without a folder.
func (m *Member) voterOrError() (*Voter, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentVoter, m.voterError
}

// nodeLease returns the name of the lease that a node holds for its own name, which keeps two nodes from using one name at
// the same time.
func nodeLease(node string) string { return "node/" + node }

// runTasks starts the goroutines that report ejections, and that acquire the lease of the node's name and, while it is held,
// the leases of the tasks.
func (m *Member) runTasks(ctx context.Context) {
	if slices.Contains(m.config.Tasks, config.TaskProbe) {
		m.tasks.Go(func() { m.reportEjections(ctx) })
	}
	m.tasks.Go(func() { m.client.Hold(ctx, nodeLease(m.config.Node), m.runWithNodeLease) })
}

// runWithNodeLease publishes the node's address, and runs its quotas and tasks, while the lease of the node's name is held.
func (m *Member) runWithNodeLease(ctx context.Context, held *HeldLease) bool {
	if err := held.SetEffect(nodeLease(m.config.Node), held.Token(), []byte(m.config.Address)); err != nil {
		m.log.Warn("node address not published", zap.Error(err))
	}
	var tasks sync.WaitGroup
	if len(m.config.Budgets) > 0 {
		tasks.Go(func() { m.holdQuotas(ctx, held) })
	}
	for _, name := range m.config.Tasks {
		if run := m.task(name); run != nil {
			tasks.Go(func() { m.client.Hold(ctx, name, run) })
		}
	}
	<-ctx.Done()
	tasks.Wait()
	return true
}
