// Package cluster joins a node to the others of its fleet: the voters' agreement, by a library, on the state of package
// lease; the service that its leader gives; and the claims of this process. No lookup waits for any of it.
package cluster

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

// idleDivisor gives the idle time after which a node's connection may be evicted: a ninth of a lease, a third of the period of
// renewals. A connection in use is idle for longer only between two renewals.
const idleDivisor = 9

const listenRetryInterval = 50 * time.Millisecond // until the process whose place we take has let the address go

// LocalNode is what the fleet's tasks need of their node.
type LocalNode interface {
	// Metrics gives totals by name.
	Metrics() map[string]int64
	// EjectedEndpoints gives the addresses of servers that rest after failures, by id.
	EjectedEndpoints() map[string]string
	// ProbeResult tells how the fleet's trial of one went, and within which time of the next one.
	ProbeResult(id, address string, well bool, next time.Duration)
	// SetQuota tells how much of a budget of the fleet is ours: acts may begin for so long, and then what p says for after that;
	// of a number at a time they have to be over takes later. It gives what was asked since the last time.
	SetQuota(of routing.Limit, partner string, p allowance.Quota, left, takes time.Duration) allowance.Usage
}

// Member is this process's part in its fleet.
type Member struct {
	config   *config.Cluster
	log      *zap.Logger
	node     LocalNode
	client   *Client
	identity voterIdentity

	mu            sync.Mutex
	currentVoter  *Voter
	voterError    error
	quotas        *nodeQuotas                   // nil: our name is not held, or there are no budgets
	agreedConfigs map[string]lease.BudgetConfig // of budgets, as last told
	bursts        map[string]float64            // for the rig, where a safeguard is out
	leaving       bool

	maxRequestDuration time.Duration // that a lookup goes on
	maxPeerConnections int           // connections from fellows at once

	listener *transport.Listener
	tasks    sync.WaitGroup
	ended    chan struct{}
	stop     context.CancelFunc
}

// Start joins the fleet in the background, and goes on trying. One address is one node's: while another process has it,
// as the one whose place we take, it is that one which takes part.
// No lookup goes on for longer than longest; fellows may hold so many connections to us at once.
func Start(f *config.Cluster, own LocalNode, longest time.Duration, lines int, log *zap.Logger) *Member {
	x := &Member{config: f, log: log, node: own, client: NewClient(f, log), ended: make(chan struct{}), maxRequestDuration: longest, maxPeerConnections: lines,
		agreedConfigs: map[string]lease.BudgetConfig{}, bursts: map[string]float64{}}
	x.applyReserved(false)
	ctx, stop := context.WithCancel(context.Background())
	x.stop = stop
	go x.run(ctx)
	return x
}

// Close leaves the fleet: what is held is given back, a vote's place as leader too.
func (f *Member) Close() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.stop()
	<-f.ended
}

func (f *Member) run(ctx context.Context) {
	defer close(f.ended)
	l := f.listen(ctx)
	if l == nil {
		f.releaseReserved()
		return
	}
	f.applyReserved(true)
	f.listener = transport.NewListener(l, transport.ListenerConfig{
		Cluster:        f.config.Name,
		MaxConnections: f.maxPeerConnections,
		MinIdle:        f.config.Lease / idleDivisor,
		HelloTimeout:   f.client.callTimeout(),
		VoterID:        f.voterID,
		ServeRPC:       f.serveConn,
	})
	if f.config.Folder != "" {
		f.openVoter()
		f.tasks.Go(func() { f.rejoin(ctx) })
	}
	go f.listener.Serve()
	f.log.Info("takes part in the fleet", zap.String("fleet", f.config.Name), zap.String("address", f.config.Address),
		zap.String("voter", f.voterID()))
	f.runTasks(ctx)
	<-ctx.Done()
	f.tasks.Wait()
	f.releaseReserved()
	if v := f.voter(); v != nil {
		v.close()
	}
	f.client.Close()
	f.listener.Close()
}

// releaseReserved gives up what is apart before the address, which it goes with: what goes on has to end first.
func (f *Member) releaseReserved() {
	for end := time.Now().Add(f.maxRequestDuration + f.client.callTimeout()); f.applyReserved(false) > 0 && time.Now().Before(end); {
		time.Sleep(idlePollInterval)
	}
}

// listen takes the address, as soon as it is free.
func (f *Member) listen(ctx context.Context) net.Listener {
	waits, come := context.WithCancel(ctx)
	var borrowing sync.WaitGroup
	defer borrowing.Wait()
	defer come()
	for told := false; ; {
		l, err := net.Listen("tcp", f.config.Address)
		if err == nil {
			return l
		}
		if !told {
			told = true
			f.log.Warn("fleet.address is not free: until it is, this process takes no part in the fleet", zap.Error(err))
			borrowing.Go(func() { f.borrow(waits) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(listenRetryInterval):
		}
	}
}

// openVoter takes part in the agreement, if the folder lets us. A node whose folder can't be used goes on asking.
func (f *Member) openVoter() {
	p, err := openIdentity(f.config.Folder, f.config.Name, f.config.Node)
	var v *Voter
	if err == nil {
		f.mu.Lock()
		f.identity = p
		f.mu.Unlock()
		l := transport.NewStreamLayer(f.listener, transport.Dialer{Cluster: f.config.Name, Node: f.config.Node, Routes: f.config.Routes},
			transport.RaftAddress(p.ID, f.config.Address))
		v, err = startVoter(f.config, p, l, f.log.Named("voter"))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentVoter, f.voterError = v, err
	if err != nil {
		f.identity = voterIdentity{}
		f.log.Error("no voter, the node serves on and only asks", zap.Error(err))
	}
}

// voterID tells our vote's, empty: none.
func (f *Member) voterID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.identity.ID
}

func (f *Member) voter() *Voter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentVoter
}

// nodeLease is the lease of a node's own name: two nodes under one name can't both have it.
func nodeLease(node string) string { return "node/" + node }

// runTasks claims the node's own name, and with it the tasks.
func (f *Member) runTasks(ctx context.Context) {
	if slices.Contains(f.config.Tasks, config.TaskProbe) {
		f.tasks.Go(func() { f.reportEjections(ctx) })
	}
	f.tasks.Go(func() {
		f.client.Hold(ctx, nodeLease(f.config.Node), func(ctx context.Context, g *HeldLease) bool {
			if err := g.Do(nodeLease(f.config.Node), g.Token(), []byte(f.config.Address)); err != nil {
				f.log.Warn("the fleet was not told of our address", zap.Error(err))
			}
			var tasks sync.WaitGroup
			if len(f.config.Budgets) > 0 {
				tasks.Go(func() { f.holdQuotas(ctx, g) })
			}
			for _, name := range f.config.Tasks {
				if run := f.task(name); run != nil {
					tasks.Go(func() { f.client.Hold(ctx, name, run) })
				}
			}
			<-ctx.Done()
			tasks.Wait()
			return true
		})
	})
}
