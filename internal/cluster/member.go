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
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

const addressAgain = 50 * time.Millisecond // until the process whose place we take has let the address go

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
	fleet  *config.Cluster
	log    *zap.Logger
	own    LocalNode
	client *Client
	paper  paper

	mu      sync.Mutex
	votes   *Voter
	broken  error
	purse   *purse                        // nil: our name is not held, or there are no budgets
	wholes  map[string]lease.BudgetConfig // of budgets, as last told
	bursts  map[string]float64            // for the rig, where a safeguard is out
	leaving bool

	longest time.Duration // that a lookup goes on
	lines   int           // connections from fellows at once

	porch *porch
	tasks sync.WaitGroup
	ended chan struct{}
	stop  context.CancelFunc
}

// Start joins the fleet in the background, and goes on trying. One address is one node's: while another process has it,
// as the one whose place we take, it is that one which takes part.
// No lookup goes on for longer than longest; fellows may hold so many connections to us at once.
func Start(f *config.Cluster, own LocalNode, longest time.Duration, lines int, log *zap.Logger) *Member {
	x := &Member{fleet: f, log: log, own: own, client: NewClient(f, log), ended: make(chan struct{}), longest: longest, lines: lines,
		wholes: map[string]lease.BudgetConfig{}, bursts: map[string]float64{}}
	x.alone(false)
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
		f.letGo()
		return
	}
	f.alone(true)
	f.porch = newPorch(l, f.lines, f.fleet.Lease/idlePart, f.fleet.Name, f.client.within(), f.id, f.answer)
	if f.fleet.Folder != "" {
		f.open()
		f.tasks.Go(func() { f.rejoin(ctx) })
	}
	go f.porch.serve()
	f.log.Info("takes part in the fleet", zap.String("fleet", f.fleet.Name), zap.String("address", f.fleet.Address),
		zap.String("voter", f.id()))
	f.work(ctx)
	<-ctx.Done()
	f.tasks.Wait()
	f.letGo()
	if v := f.voter(); v != nil {
		v.close()
	}
	f.client.Close()
	f.porch.close()
}

// letGo gives up what is apart before the address, which it goes with: what goes on has to end first.
func (f *Member) letGo() {
	for end := time.Now().Add(f.longest + f.client.within()); f.alone(false) > 0 && time.Now().Before(end); {
		time.Sleep(idleEvery)
	}
}

// listen takes the address, as soon as it is free.
func (f *Member) listen(ctx context.Context) net.Listener {
	waits, come := context.WithCancel(ctx)
	var borrowing sync.WaitGroup
	defer borrowing.Wait()
	defer come()
	for told := false; ; {
		l, err := net.Listen("tcp", f.fleet.Address)
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
		case <-time.After(addressAgain):
		}
	}
}

// open takes part in the agreement, if the folder lets us. A node whose folder can't be used goes on asking.
func (f *Member) open() {
	p, err := openPaper(f.fleet.Folder, f.fleet.Name, f.fleet.Node)
	var v *Voter
	if err == nil {
		f.mu.Lock()
		f.paper = p
		f.mu.Unlock()
		l := newLayer(f.porch, dialer{f.fleet.Name, f.fleet.Node, f.fleet.Routes}, string(addressOf(p.ID, f.fleet.Address)))
		v, err = startVoter(f.fleet, p, l, f.log.Named("voter"))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.votes, f.broken = v, err
	if err != nil {
		f.paper = paper{}
		f.log.Error("no voter, the node serves on and only asks", zap.Error(err))
	}
}

// id tells our vote's, empty: none.
func (f *Member) id() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paper.ID
}

func (f *Member) voter() *Voter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.votes
}

// session is the lease of a node's own name: two nodes under one name can't both have it.
func session(node string) string { return "node/" + node }

// work claims the node's own name, and with it the tasks.
func (f *Member) work(ctx context.Context) {
	if slices.Contains(f.fleet.Tasks, config.TaskProbe) {
		f.tasks.Go(func() { f.hear(ctx) })
	}
	f.tasks.Go(func() {
		f.client.Hold(ctx, session(f.fleet.Node), func(ctx context.Context, g *HeldLease) bool {
			if err := g.Do(session(f.fleet.Node), g.Token(), []byte(f.fleet.Address)); err != nil {
				f.log.Warn("the fleet was not told of our address", zap.Error(err))
			}
			var tasks sync.WaitGroup
			if len(f.fleet.Budgets) > 0 {
				tasks.Go(func() { f.divide(ctx, g) })
			}
			for _, name := range f.fleet.Tasks {
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
