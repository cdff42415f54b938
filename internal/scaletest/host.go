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
	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/faulttest"
	"github.com/thistlerudder/thistlerudder/internal/net/node"
	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

// order is what a run tells a process of its own, one line each; reply is a line back.
type order struct {
	Do      string
	Nodes   []int   `json:",omitempty"`
	Entries []Entry `json:",omitempty"`
	Ms      int64   `json:",omitempty"`
}

type reply struct {
	Err     string        `json:",omitempty"`
	At      int64         `json:",omitempty"` // by the boot clock
	Version int64         `json:",omitempty"`
	Marks   []Mark        `json:",omitempty"`
	Used    *faults.Usage `json:",omitempty"`
	Calls   *Calls        `json:",omitempty"`
}

// obey answers orders until there are no more: a process whose run has ended ends too.
func obey(in io.Reader, out io.Writer, do func(order) reply) error {
	lines := bufio.NewReader(in)
	to := json.NewEncoder(out)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var o order
		if err := json.Unmarshal(line, &o); err != nil {
			return err
		}
		if err := to.Encode(do(o)); err != nil {
			return err
		}
	}
}

const (
	nodeGC      = 300 // as a node sets it for itself
	demandLow   = 5.0 // acts a second that most nodes want of the budget,
	demandHigh  = 50.0
	demandParts = 10 // and one in so many wants
)

// host runs hollow nodes.
type host struct {
	folder string
	quiet  bool
	seed   uint64
	log    zapcore.Core

	mu    sync.Mutex
	nodes map[int]*hollow
	marks []Mark
}

type hollow struct {
	signals chan os.Signal
	stop    context.CancelFunc
	ended   chan struct{}
}

// Host runs hollow nodes by the orders that come in. Their files lie in the folder.
func Host(ctx context.Context, in io.Reader, out io.Writer, folder, name string, quiet bool, seed uint64) error {
	runtime.GOMAXPROCS(1) // as nodes of one core have it
	debug.SetGCPercent(nodeGC)
	file, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	h := &host{folder: folder, quiet: quiet, seed: seed, nodes: map[int]*hollow{},
		log: zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(file), zapcore.InfoLevel)}
	cluster.Trace(h.asked, h.parts)
	over := make(chan error, 1)
	go func() { over <- obey(in, out, h.do) }()
	select {
	case err = <-over:
	case <-ctx.Done():
	}
	h.leave(h.all())
	return err
}

func (h *host) do(o order) (r reply) {
	r.At = faulttest.Boot()
	switch o.Do {
	case "start":
		for _, n := range o.Nodes {
			if err := h.start(n); err != nil {
				r.Err = err.Error()
			}
		}
	case "restart":
		go func() {
			h.leave(o.Nodes)
			for _, n := range o.Nodes {
				_ = h.start(n)
			}
		}()
	case "reload":
		h.mu.Lock()
		for _, x := range h.nodes {
			select {
			case x.signals <- syscall.SIGHUP:
			default: // one is enough
			}
		}
		h.mu.Unlock()
	case "leave":
		h.leave(h.all())
	case "marks":
		h.mu.Lock()
		r.Marks, h.marks = h.marks, nil
		h.mu.Unlock()
	case "use":
		u := faults.MeasureUsage()
		r.Used = &u
	default:
		r.Err = "unknown order " + o.Do
	}
	return r
}

func (h *host) all() (all []int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n := range h.nodes {
		all = append(all, n)
	}
	return all
}

// start starts a node as a process of its own would.
func (h *host) start(n int) error {
	h.mark(Mark{Node: n, What: markStart})
	s, err := config.Read(filepath.Join(h.folder, fileOf(n)))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	x := &hollow{signals: make(chan os.Signal, 1), stop: stop, ended: make(chan struct{})}
	h.mu.Lock()
	h.nodes[n] = x
	h.mu.Unlock()
	log := zap.New(zapcore.NewTee(zapcore.NewSamplerWithOptions(h.log, time.Second, 10, 100), &heard{h, n}))
	go func() {
		defer close(x.ended)
		_ = node.Hollow(ctx, s, x.signals, log, func(own cluster.LocalNode) cluster.LocalNode {
			return &demanding{LocalNode: own, h: h, n: n, rnd: rand.New(rand.NewPCG(h.seed, uint64(n))), at: time.Now()}
		})
	}()
	return nil
}

// leave ends nodes well.
func (h *host) leave(nodes []int) {
	var ended []chan struct{}
	h.mu.Lock()
	for _, n := range nodes {
		if x, runs := h.nodes[n]; runs {
			x.stop()
			ended = append(ended, x.ended)
			delete(h.nodes, n)
		}
	}
	h.mu.Unlock()
	for _, e := range ended {
		<-e
	}
}

func (h *host) mark(m Mark) {
	m.At = faulttest.Boot()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.marks = append(h.marks, m)
}

// heard takes marks from what a node logs once it is done.
type heard struct {
	h *host
	n int
}

func (c *heard) Enabled(l zapcore.Level) bool      { return l >= zapcore.InfoLevel }
func (c *heard) With([]zapcore.Field) zapcore.Core { return c }
func (c *heard) Sync() error                       { return nil }
func (c *heard) Check(e zapcore.Entry, x *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if _, is := markOf[e.Message]; is {
		return x.AddCore(e, c)
	}
	return x
}

// markOf gives the mark of a log line.
var markOf = map[string]string{"endpoint list updated": markList, "configuration reloaded": markFile, "a lease is lost": markLost}

func (c *heard) Write(e zapcore.Entry, fields []zapcore.Field) error {
	m := Mark{Node: c.n, What: markOf[e.Message]}
	for _, f := range fields {
		if f.Key == "version" {
			m.N = f.Integer
		}
	}
	c.h.mark(m)
	return nil
}

// asked is told of each asking for the lease of a node's name.
func (h *host) asked(a lease.Request) func(lease.Response, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(a.Holder.Name, hollowName))
	if err != nil || a.Operation != lease.OpAcquire && a.Operation != lease.OpRenew {
		return func(lease.Response, error) {}
	}
	from := faulttest.Boot()
	return func(x lease.Response, err error) {
		m := Mark{Node: n, N: faulttest.Boot() - from}
		switch {
		case errors.Is(x.Err, lease.ErrStillHeld):
			return
		case err != nil || x.Err != nil:
			m.What = markFailed
		case a.Operation == lease.OpAcquire:
			m.What = markHeld
		default:
			m.What = markRenews
		}
		h.mark(m)
	}
}

func (h *host) parts(name string, news []budget.QuotaUpdate) {
	n, err := strconv.Atoi(strings.TrimPrefix(name, hollowName))
	for _, b := range news {
		if err == nil {
			h.mark(Mark{Node: n, What: markParts, N: int64(b.Config.Revision)})
		}
	}
}

// demanding stands in for the lookups that a hollow node doesn't take: it wants as much of the budget as lookups would.
type demanding struct {
	cluster.LocalNode
	h   *host
	n   int
	mu  sync.Mutex
	rnd *rand.Rand
	at  time.Time
}

func (d *demanding) SetQuota(of routing.Limit, partner string, p quotalimit.Quota, left, takes time.Duration) quotalimit.Usage {
	u := d.LocalNode.SetQuota(of, partner, p, left, takes)
	d.mu.Lock()
	defer d.mu.Unlock()
	span := time.Since(d.at).Seconds()
	d.at = time.Now()
	if d.h.quiet {
		return u
	}
	mean := demandOf(d.h.seed, d.n, d.at) * span
	asked := max(0, mean+d.rnd.NormFloat64()*mean/2)
	return u.Max(quotalimit.Usage{Requested: asked, Started: min(asked, p.Rate*span)})
}

// demandOf is by chance, and moves.
func demandOf(seed uint64, n int, at time.Time) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, seed, n, at.Unix()/int64(demandEvery/time.Second))
	if h.Sum64()%demandParts == 0 {
		return demandHigh
	}
	return demandLow
}

// Serve runs the stand-in of the discovery service by the orders that come in.
func Serve(ctx context.Context, in io.Reader, out io.Writer, address string) error {
	runtime.GOMAXPROCS(2)
	var d *Directory
	var server *http.Server
	open := func() error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server = &http.Server{Handler: d}
		go func() { _ = server.Serve(listener{l}) }()
		return nil
	}
	over := make(chan error, 1)
	go func() {
		over <- obey(in, out, func(o order) (r reply) {
			var err error
			switch o.Do {
			case "open":
				d = NewDirectory(o.Entries)
				err = open()
			case "change":
				r.At = faulttest.Boot()
				r.Version = d.Change(o.Entries)
			case "close":
				err = server.Close()
			case "open again":
				r.At = faulttest.Boot()
				err = open()
			case "use":
				u, c := faults.MeasureUsage(), d.Calls()
				r.Used, r.Calls = &u, &c
			default:
				err = errors.New("unknown order " + o.Do)
			}
			if err != nil {
				r.Err = err.Error()
			}
			return r
		})
	}()
	select {
	case err := <-over:
		return err
	case <-ctx.Done():
		return nil
	}
}

// listener counts what goes over its connections.
type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return faults.CountConn("list", c), nil
}
