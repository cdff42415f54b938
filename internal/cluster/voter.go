package cluster

import (
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftbolt "github.com/hashicorp/raft-boltdb/v2"
	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	silencePart   = 10   // a tenth of a lease without a word from the leader, and another is chosen
	snapshotAfter = 4096 // entries, some hundred bytes each
	trailing      = 1024 // entries kept behind a snapshot, for a voter that was away for a moment
	restartAgain  = 100 * time.Millisecond
	downWithin    = 500 * time.Millisecond // for the library to end; a node has its own time to leave
	leadsKept     = 64                     // changes of leadership that may wait to be looked at; the library waits beyond
)

// Voter is this process's part in the agreement: the library, the state that it agrees on, and the leader's memory.
type Voter struct {
	log   *zap.Logger
	fleet *config.Cluster
	paper paper
	raft  *raft.Raft
	logs  *raftbolt.BoltStore
	trans *raft.NetworkTransport
	dialer
	within time.Duration // for a call and its answer
	peers  peers

	mu      sync.Mutex
	state   *lease.State
	keeper  *lease.Manager
	board   *lease.ProbeScheduler
	divider *budget.Allocator
	alarm   alarm
	divides alarm // the divider's
	parts   map[uint64]chan budget.Response
	waits   map[uint64]chan lease.Response
	ids     uint64
	leads   uint64 // changes of leadership so far
	applied time.Duration
	changed chan struct{} // closed with the next entry
	ended   error
	rounds  int // confirmed or not, since the start
	entries int

	stop    chan struct{}
	built   chan struct{} // closed when the library has started, or has failed to
	down    chan struct{} // closed when it has ended, and its folder is free unless something is stuck
	once    once
	started atomic.Bool
}

// startVoter opens the folder and takes part. Whatever is wrong with the folder is told, and nothing in it is changed.
func startVoter(f *config.Cluster, p paper, l layer, log *zap.Logger) (*Voter, error) {
	path := filepath.Join(f.Folder, logFile)
	if err := look(path); err != nil {
		return nil, err
	}
	v := &Voter{log: log, fleet: f, paper: p, state: lease.NewState(), board: lease.NewProbeScheduler(), waits: map[uint64]chan lease.Response{},
		changed: make(chan struct{}), stop: make(chan struct{}), built: make(chan struct{}), down: make(chan struct{}), dialer: l.dialer, within: slowTimes * f.MaxDelay,
		peers: peers{conns: map[raft.ServerID]*rpc.Client{}}}
	v.alarm, v.divides, v.parts = newAlarm(v.ring), newAlarm(v.deal), map[uint64]chan budget.Response{}
	v.divider = budget.NewAllocator(dividing{v}, v.state, budget.Unsafe{Reuse: faults.Without(faults.Reuse), Forget: faults.Without(faults.Forget)})
	v.once.end = v.end
	long := lease.GranterDuration(tenths(f.Lease), f.MaxDrift)
	if faults.Without(faults.DriftMargin) {
		long = tenths(f.Lease)
	}
	v.keeper = lease.NewManager(host{v}, v.state, tenths(f.Lease), long)
	logs, err := raftbolt.New(raftbolt.Options{Path: path, BoltOptions: nil})
	if err != nil {
		return nil, fmt.Errorf("fleet.folder: %s: %w", path, err)
	}
	v.logs = logs
	quiet := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: lines{log}, DisableTime: true})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(f.Folder, snapshotsKept, quiet)
	if err != nil {
		_ = logs.Close()
		return nil, fmt.Errorf("fleet.folder: %w", err)
	}
	silence := max(f.Lease/silencePart, 2*f.MaxDelay)
	v.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: l, MaxPool: 2,
		Timeout: silence + 4*f.MaxDelay, Logger: quiet})
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(p.ID)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = silence, silence, silence*3/4
	c.CommitTimeout = max(time.Millisecond, silence/20)
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotAfter, trailing, time.Minute
	c.Logger, c.NoLegacyTelemetry = quiet, true
	led := make(chan bool, leadsKept)
	c.NotifyCh = led
	s := store{logs, f.Folder, v.once.broken, &firstWrite{}}
	v.raft, err = newRaft(c, machine{v}, s, snapshots, v.trans)
	v.started.Store(err == nil)
	close(v.built)
	if err != nil {
		_ = v.trans.Close()
		_ = logs.Close()
		return nil, fmt.Errorf("fleet.folder: %w", err)
	}
	go v.follow(led)
	return v, nil
}

// newRaft starts the library. It panics where its first write fails, and that is told as an error.
func newRaft(c *raft.Config, m machine, s store, snapshots raft.SnapshotStore, t raft.Transport) (r *raft.Raft, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Join(s.first.err, fmt.Errorf("the agreement does not start: %v", p))
		}
	}()
	return raft.NewRaft(c, m, s, s, snapshots, t)
}

// lines brings the library's log into ours.
type lines struct{ *zap.Logger }

func (l lines) Write(b []byte) (int, error) {
	l.Warn(string(b[:max(0, len(b)-1)]))
	return len(b), nil
}

var errLeaves = errors.New("the node leaves")

// end stops taking part; err says why, nil: the node leaves.
func (v *Voter) end(err error) {
	<-v.built // a goroutine of the library may fail to write before it is handed over
	v.mu.Lock()
	if v.ended != nil {
		v.mu.Unlock()
		return
	}
	v.ended = err
	if err == nil {
		v.ended = errLeaves
	} else {
		v.log.Error("this voter ends, its node serves on", zap.Error(err))
	}
	v.keeper.Demote()
	v.divider.Demote()
	close(v.stop)
	v.mu.Unlock()
	// The library waits for each of its goroutines, and one that has filled its way to a voter that is cut off waits for
	// that one. Its main goroutine, which votes, ends at once, so what is left over can be left behind.
	down := make(chan struct{})
	go func() {
		if v.started.Load() {
			_ = v.raft.Shutdown().Error()
		}
		close(down)
	}()
	select {
	case <-down:
		_ = v.trans.Close()
		_ = v.logs.Close()
	case <-time.After(downWithin):
		v.log.Warn("a way to another voter is stuck, and left so")
		_ = v.trans.Close() // not the log: whoever is left reads it yet
		go func() {
			<-down
			_ = v.logs.Close() // a further voter waits for it
		}()
	}
	v.peers.leave()
	close(v.down)
}

// close ends it with its node; a leader hands on first, so that nobody has to wait for its silence to be noticed.
func (v *Voter) close() {
	if v.raft.State() == raft.Leader {
		_ = v.raft.LeadershipTransfer().Error()
	}
	v.once.Do(func() { v.end(nil) })
}

// follow tells the keeper who leads.
func (v *Voter) follow(led <-chan bool) {
	for {
		select {
		case <-v.stop:
			return
		case is := <-led:
			v.mu.Lock()
			if !is && faults.Without(faults.Confirmation) {
				v.mu.Unlock()
				continue // it hasn't noticed
			}
			v.leads++
			v.keeper.Demote()
			v.divider.Demote()
			if is {
				go v.begin(v.leads)
			}
			v.mu.Unlock()
		}
	}
}

// begin brings the entry that begins a reign. Once it is applied, all that earlier leaders did is known here.
func (v *Voter) begin(nth uint64) {
	for {
		r, err := v.apply(lease.Entry{Kind: lease.KindNewTerm, Name: v.fleet.Node})
		v.mu.Lock()
		if v.leads != nth || v.ended != nil {
			v.mu.Unlock()
			return
		}
		if err == nil && r.Err == nil {
			v.keeper.Promote(now(), r.Term)
			v.divider.Promote(now(), r.Term)
			v.board = lease.NewProbeScheduler()
			v.log.Info("leads the fleet", zap.Uint64("reign", r.Term))
			v.mu.Unlock()
			return
		}
		v.mu.Unlock()
		if err != nil {
			return // led no more
		}
		select { // not founded yet
		case <-time.After(restartAgain):
		case <-v.stop:
			return
		}
	}
}

// apply brings an entry to the log, and waits for what it comes to. An error says that it may be applied yet, and that this
// reign is over: the keeper and the divider then wait for the next, so nothing else may end as one. An entry that the library
// is too busy to take up waits for that, since nobody would bring it again.
func (v *Voter) apply(e lease.Entry) (lease.Result, error) {
	b, err := e.Encode()
	if err != nil {
		return lease.Result{}, err
	}
	f := v.raft.Apply(b, 0)
	if err := f.Error(); err != nil {
		return lease.Result{}, err
	}
	r, ok := f.Response().(lease.Result)
	if !ok {
		return r, errors.New("the entry came to nothing known")
	}
	return r, nil
}

// machine is the state as the library drives it.
type machine struct{ *Voter }

func (m machine) Apply(l *raft.Log) any {
	e, err := lease.Decode(l.Data)
	m.mu.Lock()
	defer m.mu.Unlock()
	if faults.Without(faults.Door) && e.Kind == lease.KindEffect {
		e.Token = m.state.Leases[e.Name].Token
	}
	r := lease.Result{Err: err}
	if err == nil {
		r = m.state.Apply(e)
	}
	if e.Kind == lease.KindRevoke || e.Kind == lease.KindSetBudget {
		m.divider.StateChanged(now())
	}
	m.applied = boot()
	m.entries++
	close(m.changed)
	m.changed = make(chan struct{})
	return r
}

func (m machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := m.state.Snapshot()
	return frozen(b), err
}

// Restore refuses what it can't read. The library ends the process over that, so its goroutine ends here instead.
func (m machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	b, err := io.ReadAll(from)
	if err == nil {
		m.mu.Lock()
		err = m.state.Restore(b)
		m.mu.Unlock()
	}
	if err != nil && m.started.Load() { // at the start the error itself is told
		m.once.broken(err)
		runtime.Goexit()
	}
	return err
}

type frozen []byte

func (f frozen) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(f); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}
func (f frozen) Release() {}

// ring is the keeper's alarm.
func (v *Voter) ring() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keeper.Alarm(now())
}

// host is what the keeper acts through. Its methods run with the lock held.
type host struct{ *Voter }

func (h host) SetAlarm(at lease.Time) { h.alarm.set(at) }

func (h host) Respond(id uint64, a lease.Response) {
	if c, waits := h.waits[id]; waits {
		delete(h.waits, id)
		c <- a // it has room for this one
	}
}

func (h host) Propose(ref uint64, e lease.Entry) {
	nth := h.leads
	go func() {
		r, err := h.apply(e)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.leads == nth {
			h.keeper.Applied(now(), ref, r, err != nil)
		}
	}()
}

func (h host) ConfirmLeadership(round uint64) {
	nth := h.leads
	go func() {
		faults.Point(faults.OnRenewal)
		led := faults.Without(faults.Confirmation) || h.round()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.rounds++
		if h.leads == nth {
			h.keeper.LeadershipConfirmed(now(), round, led)
		}
	}()
}

// ask brings an asking to the keeper, and waits for its answer or until the caller has gone.
func (v *Voter) ask(a lease.Request, gone <-chan struct{}) lease.Response {
	c := make(chan lease.Response, 1)
	v.mu.Lock()
	if v.ended != nil {
		v.mu.Unlock()
		return lease.Response{Err: lease.ErrNotLeader}
	}
	v.ids++
	id := v.ids
	v.waits[id] = c
	v.keeper.Handle(now(), id, a)
	v.mu.Unlock()
	select {
	case x := <-c:
		return x
	case <-gone:
	case <-v.stop:
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.waits, id)
	v.keeper.CallerGone(now(), id)
	return lease.Response{Err: lease.ErrNotLeader}
}

// leader tells who leads, as far as is known here.
func (v *Voter) leader() (name, address string) {
	at, id := v.raft.LeaderWithID()
	address, _ = partsOf(at)
	return string(id), address
}
