//go:build faults

package scaletest

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/faulttest"
	"github.com/thistlerudder/thistlerudder/internal/net/node"
)

const gcPercent = 300 // the value that a real node sets (internal/net/node/limits.go, gcPercent)

// host runs the hollow nodes of one process.
type host struct {
	dir     string
	noLoad  bool // the nodes have no demand for the budget
	seed    uint64
	logCore zapcore.Core

	mu         sync.Mutex
	nodes      map[int]*hollowNode // running nodes by number
	nodeEvents []NodeEvent         // events since the last command "marks"
}

// hollowNode is a running hollow node.
type hollowNode struct {
	signals chan os.Signal // SIGHUP makes the node reload its configuration
	stop    context.CancelFunc
	done    chan struct{} // closed when the node has ended
}

// RunHollowNodes runs hollow nodes in this process. It reads commands from in and writes a response to each to out. When in ends or
// ctx is done, it shuts the nodes down and returns. The nodes read their configuration files from dir, and log to the file name.log
// there. With noLoad, the nodes have no demand for the budget. The demand is random and depends on seed.
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

// handle executes a command of the scale test:
//   - start: starts the given nodes
//   - restart: shuts the given nodes down and starts them again, after the response
//   - reload: makes all running nodes reload their configuration files
//   - leave: shuts all running nodes down
//   - marks: returns the events since the last such command
//   - use: returns the resources that this process has used
//
// BootTimeNs of the response is the time at which the command arrived.
func (h *host) handle(c command) (answer response) {
	answer.BootTimeNs = faulttest.BootTimeNs()
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
		for _, runningNode := range h.nodes {
			select {
			case runningNode.signals <- syscall.SIGHUP:
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
		usage := faults.MeasureUsage()
		answer.Usage = &usage
	default:
		answer.Error = "unknown command " + c.Name
	}
	return answer
}

// nodeNumbers returns the numbers of the running nodes.
func (h *host) nodeNumbers() (numbers []int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n := range h.nodes {
		numbers = append(numbers, n)
	}
	return numbers
}

// start reads a node's configuration file, as a real node does at its start, and starts the node.
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

// shutDown shuts down those of the given nodes that are running, gracefully, and waits until they have ended.
func (h *host) shutDown(nodes []int) {
	var doneChannels []chan struct{}
	h.mu.Lock()
	for _, n := range nodes {
		if runningNode, isRunning := h.nodes[n]; isRunning {
			runningNode.stop()
			doneChannels = append(doneChannels, runningNode.done)
			delete(h.nodes, n)
		}
	}
	h.mu.Unlock()
	for _, nodeDone := range doneChannels {
		<-nodeDone
	}
}

// addEvent records an event at the current time.
func (h *host) addEvent(event NodeEvent) {
	event.BootTimeNs = faulttest.BootTimeNs()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodeEvents = append(h.nodeEvents, event)
}
