//go:build faults

package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/faulttest"
	"github.com/thistlerudder/thistlerudder/internal/net/node"
	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

// command is a request of a run to one of its child processes, a line of JSON on the child's standard input.
type command struct {
	Name    string  `json:"Do"`
	Nodes   []int   `json:"Nodes,omitempty"`
	Entries []Entry `json:"Entries,omitempty"`
	Ms      int64   `json:"Ms,omitempty"`
}

// response is the child's response to a command, a line of JSON on its standard output.
type response struct {
	Error      string        `json:"Err,omitempty"`
	BootTimeNs int64         `json:"At,omitempty"`
	Version    int64         `json:"Version,omitempty"`
	NodeEvents []NodeEvent   `json:"Marks,omitempty"`
	Usage      *faults.Usage `json:"Used,omitempty"`
	CallCounts *CallCounts   `json:"Calls,omitempty"`
}

// serveCommands handles commands until the end of the input. The input ends with the run, so that a child process ends with its run.
func serveCommands(in io.Reader, out io.Writer, handle func(command) response) error {
	lines := bufio.NewReader(in)
	encoder := json.NewEncoder(out)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var c command
		if err := json.Unmarshal(line, &c); err != nil {
			return err
		}
		if err := encoder.Encode(handle(c)); err != nil {
			return err
		}
	}
}

const (
	gcPercent         = 300  // the value that a real node sets
	lowDemandRate     = 5.0  // requests per second under the budget at most nodes
	highDemandRate    = 50.0 // requests per second at the other nodes
	highDemandDivisor = 10   // one node in so many has high demand
)

// host runs the hollow nodes of one process.
type host struct {
	dir     string
	noLoad  bool
	seed    uint64
	logCore zapcore.Core

	mu         sync.Mutex
	nodes      map[int]*hollowNode
	nodeEvents []NodeEvent
}

// hollowNode is a running hollow node.
type hollowNode struct {
	signals chan os.Signal
	stop    context.CancelFunc
	done    chan struct{} // closed when the node has ended
}

// RunHollowNodes runs hollow nodes as the commands from in request, until in ends or ctx is done. dir has the nodes' configuration
// files. name names the log file in dir.
func RunHollowNodes(ctx context.Context, in io.Reader, out io.Writer, dir, name string, noLoad bool, seed uint64) error {
	runtime.GOMAXPROCS(1) // the nodes are configured with one core
	debug.SetGCPercent(gcPercent)
	file, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	h := &host{dir: dir, noLoad: noLoad, seed: seed, nodes: map[int]*hollowNode{},
		logCore: zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(file), zapcore.InfoLevel)}
	cluster.Trace(h.traceLeaseRequest, h.traceQuotas)
	commandsDone := make(chan error, 1)
	go func() { commandsDone <- serveCommands(in, out, h.handle) }()
	select {
	case err = <-commandsDone:
	case <-ctx.Done():
	}
	h.shutDown(h.nodeNumbers())
	return err
}

func (h *host) handle(c command) (answer response) {
	answer.BootTimeNs = faulttest.Boot()
	switch c.Name {
	case "start":
		for _, n := range c.Nodes {
			if err := h.start(n); err != nil {
				answer.Error = err.Error()
			}
		}
	case "restart":
		go func() {
			h.shutDown(c.Nodes)
			for _, n := range c.Nodes {
				_ = h.start(n)
			}
		}()
	case "reload":
		h.mu.Lock()
		for _, node := range h.nodes {
			select {
			case node.signals <- syscall.SIGHUP:
			default: // a reload is pending already
			}
		}
		h.mu.Unlock()
	case "leave":
		h.shutDown(h.nodeNumbers())
	case "marks":
		h.mu.Lock()
		answer.NodeEvents, h.nodeEvents = h.nodeEvents, nil
		h.mu.Unlock()
	case "use":
		usage := faults.Used()
		answer.Usage = &usage
	default:
		answer.Error = "unknown command " + c.Name
	}
	return answer
}

func (h *host) nodeNumbers() (numbers []int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n := range h.nodes {
		numbers = append(numbers, n)
	}
	return numbers
}

// start starts a node from its configuration file, as a separate process would.
func (h *host) start(n int) error {
	h.addEvent(NodeEvent{Node: n, Kind: eventStart})
	nodeConfig, err := config.Read(filepath.Join(h.dir, hollowConfigFile(n)))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	started := &hollowNode{signals: make(chan os.Signal, 1), stop: stop, done: make(chan struct{})}
	h.mu.Lock()
	h.nodes[n] = started
	h.mu.Unlock()
	log := zap.New(zapcore.NewTee(zapcore.NewSamplerWithOptions(h.logCore, time.Second, 10, 100), &eventCore{h, n}))
	go func() {
		defer close(started.done)
		_ = node.Hollow(ctx, nodeConfig, started.signals, log, func(local cluster.LocalNode) cluster.LocalNode {
			return &loadedNode{LocalNode: local, host: h, number: n, rnd: rand.New(rand.NewPCG(h.seed, uint64(n))), lastCall: time.Now()}
		})
	}()
	return nil
}

// shutDown shuts nodes down gracefully and waits until they have ended.
func (h *host) shutDown(nodes []int) {
	var done []chan struct{}
	h.mu.Lock()
	for _, n := range nodes {
		if node, isRunning := h.nodes[n]; isRunning {
			node.stop()
			done = append(done, node.done)
			delete(h.nodes, n)
		}
	}
	h.mu.Unlock()
	for _, nodeDone := range done {
		<-nodeDone
	}
}

func (h *host) addEvent(event NodeEvent) {
	event.BootTimeNs = faulttest.Boot()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodeEvents = append(h.nodeEvents, event)
}

// eventCore is a zap core that turns log messages of a node into events.
type eventCore struct {
	host *host
	node int
}

func (c *eventCore) Enabled(l zapcore.Level) bool      { return l >= zapcore.InfoLevel }
func (c *eventCore) With([]zapcore.Field) zapcore.Core { return c }
func (c *eventCore) Sync() error                       { return nil }
func (c *eventCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if _, marksEvent := eventKindsByMessage[e.Message]; marksEvent {
		return checked.AddCore(e, c)
	}
	return checked
}

// eventKindsByMessage maps log messages to kinds of events.
var eventKindsByMessage = map[string]string{"endpoint list updated": eventListInForce, "configuration reloaded": eventConfigInForce, "a lease is lost": eventLeaseLost}

func (c *eventCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	event := NodeEvent{Node: c.node, Kind: eventKindsByMessage[e.Message]}
	for _, f := range fields {
		if f.Key == "version" {
			event.Value = f.Integer
		}
	}
	c.host.addEvent(event)
	return nil
}

// traceLeaseRequest observes a request for the lease of a node's name. The function that it returns records the outcome.
func (h *host) traceLeaseRequest(request lease.Request) func(lease.Response, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(request.Holder.Name, hollowNodePrefix))
	if err != nil || request.Operation != lease.OpAcquire && request.Operation != lease.OpRenew {
		return func(lease.Response, error) {}
	}
	sentNs := faulttest.Boot()
	return func(answer lease.Response, err error) {
		event := NodeEvent{Node: n, Value: faulttest.Boot() - sentNs}
		switch {
		case errors.Is(answer.Err, lease.ErrStillHeld):
			return
		case err != nil || answer.Err != nil:
			event.Kind = eventLeaseRequestFailed
		case request.Operation == lease.OpAcquire:
			event.Kind = eventLeaseAcquired
		default:
			event.Kind = eventLeaseRenewed
		}
		h.addEvent(event)
	}
}

// traceQuotas records that a node received quotas.
func (h *host) traceQuotas(name string, updates []budget.QuotaUpdate) {
	n, err := strconv.Atoi(strings.TrimPrefix(name, hollowNodePrefix))
	for _, update := range updates {
		if err == nil {
			h.addEvent(NodeEvent{Node: n, Kind: eventQuotasReceived, Value: int64(update.Config.Revision)})
		}
	}
}

// loadedNode simulates the demand of lookups, which a hollow node does not accept, on its quota of the budget.
type loadedNode struct {
	cluster.LocalNode
	host     *host
	number   int
	mu       sync.Mutex
	rnd      *rand.Rand
	lastCall time.Time
}

// SetQuota applies a quota and adds the simulated demand since the last call to the usage that it returns.
func (l *loadedNode) SetQuota(limit routing.Limit, partner string, quota allowance.Quota, duration, cutoffMargin time.Duration) allowance.Usage {
	usage := l.LocalNode.SetQuota(limit, partner, quota, duration, cutoffMargin)
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := time.Since(l.lastCall).Seconds()
	l.lastCall = time.Now()
	if l.host.noLoad {
		return usage
	}
	mean := demandRate(l.host.seed, l.number, l.lastCall) * seconds
	wanted := max(0, mean+l.rnd.NormFloat64()*mean/2)
	return usage.Max(allowance.Usage{Wanted: wanted, Done: min(wanted, quota.Rate*seconds)})
}

// demandRate returns the demand of a node in requests per second. Which nodes have high demand is pseudo-random, and changes every
// demandShiftInterval.
func demandRate(seed uint64, node int, at time.Time) float64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, seed, node, at.Unix()/int64(demandShiftInterval/time.Second))
	if hash.Sum64()%highDemandDivisor == 0 {
		return highDemandRate
	}
	return lowDemandRate
}

// RunDiscovery runs the simulated discovery service on an address as the commands from in request, until in ends or ctx is done.
func RunDiscovery(ctx context.Context, in io.Reader, out io.Writer, address string) error {
	runtime.GOMAXPROCS(2)
	var discovery *DiscoveryServer
	var server *http.Server
	listen := func() error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server = &http.Server{Handler: discovery}
		go func() { _ = server.Serve(countingListener{l}) }()
		return nil
	}
	commandsDone := make(chan error, 1)
	go func() {
		commandsDone <- serveCommands(in, out, func(c command) (answer response) {
			var err error
			switch c.Name {
			case "open":
				discovery = NewDiscoveryServer(c.Entries)
				err = listen()
			case "change":
				answer.BootTimeNs = faulttest.Boot()
				answer.Version = discovery.ChangeEntries(c.Entries)
			case "close":
				err = server.Close()
			case "open again":
				answer.BootTimeNs = faulttest.Boot()
				err = listen()
			case "use":
				usage, counts := faults.Used(), discovery.CallCounts()
				answer.Usage, answer.CallCounts = &usage, &counts
			default:
				err = errors.New("unknown command " + c.Name)
			}
			if err != nil {
				answer.Error = err.Error()
			}
			return answer
		})
	}()
	select {
	case err := <-commandsDone:
		return err
	case <-ctx.Done():
		return nil
	}
}

// countingListener counts the traffic of its connections.
type countingListener struct{ net.Listener }

// Accept waits for the next connection and counts its traffic as that of the endpoint list.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return faults.Counted("list", c), nil
}
