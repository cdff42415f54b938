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
	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	electionTimeoutDivisor = 10   // a tenth of a lease without a word from the leader, and another is chosen
	snapshotThreshold      = 4096 // entries, some hundred bytes each
	trailingLogs           = 1024 // entries kept behind a snapshot, for a voter that was away for a moment
	newTermRetryInterval   = 100 * time.Millisecond
	shutdownTimeout        = 500 * time.Millisecond // for the library to end; a node has its own time to leave
	maxQueuedLeaderChanges = 64                     // changes of leadership that may wait to be looked at; the library waits beyond
)

// Voter is this process's part in the agreement: the library, the state that it agrees on, and the leader's memory.
type Voter struct {
	log         *zap.Logger
	config      *config.Cluster
	identity    voterIdentity
	raft        *raft.Raft
	logStore    *raftbolt.BoltStore
	transport   *raft.NetworkTransport
	dialer      transport.Dialer
	callTimeout time.Duration // for a call and its answer
	peers       peerClients

	mu             sync.Mutex
	state          *lease.State
	leases         *lease.Manager
	probes         *lease.ProbeScheduler
	allocator      *budget.Allocator
	leaseAlarm     alarm
	allocatorAlarm alarm // the divider's
	quotaRequests  map[uint64]chan budget.Response
	leaseRequests  map[uint64]chan lease.Response
	lastRequestID  uint64
	leaderChanges  uint64 // changes of leadership so far
	lastApplied    time.Duration
	changed        chan struct{} // closed with the next entry
	endReason      error
	rounds         int // confirmed or not, since the start
	entries        int

	stop    chan struct{}
	built   chan struct{} // closed when the library has started, or has failed to
	down    chan struct{} // closed when it has ended, and its folder is free unless something is stuck
	once    shutdownOnce
	started atomic.Bool
}

// startVoter opens the folder and takes part. Whatever is wrong with the folder is told, and nothing in it is changed.
func startVoter(f *config.Cluster, p voterIdentity, l *transport.StreamLayer, log *zap.Logger) (*Voter, error) {
	path := filepath.Join(f.Folder, logFile)
	if err := checkLog(path); err != nil {
		return nil, err
	}
	v := &Voter{log: log, config: f, identity: p, state: lease.NewState(), probes: lease.NewProbeScheduler(), leaseRequests: map[uint64]chan lease.Response{},
		changed: make(chan struct{}), stop: make(chan struct{}), built: make(chan struct{}), down: make(chan struct{}), dialer: l.Dialer(), callTimeout: callTimeoutFactor * f.MaxDelay,
		peers: peerClients{conns: map[raft.ServerID]*rpc.Client{}}}
	v.leaseAlarm, v.allocatorAlarm, v.quotaRequests = newAlarm(v.onLeaseAlarm), newAlarm(v.onAllocatorAlarm), map[uint64]chan budget.Response{}
	v.allocator = budget.NewAllocator(allocatorHost{v}, v.state, budget.Unsafe{Reuse: faults.Without(faults.Reuse), Forget: faults.Without(faults.Forget)})
	v.once.end = v.shutDown
	long := lease.GranterDuration(toLeaseTime(f.Lease), f.MaxDrift)
	if faults.Without(faults.DriftMargin) {
		long = toLeaseTime(f.Lease)
	}
	v.leases = lease.NewManager(leaseHost{v}, v.state, toLeaseTime(f.Lease), long)
	logs, err := raftbolt.New(raftbolt.Options{Path: path, BoltOptions: nil})
	if err != nil {
		return nil, fmt.Errorf("fleet.folder: %s: %w", path, err)
	}
	v.logStore = logs
	quiet := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: raftLogWriter{log}, DisableTime: true})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(f.Folder, retainedSnapshots, quiet)
	if err != nil {
		_ = logs.Close()
		return nil, fmt.Errorf("fleet.folder: %w", err)
	}
	silence := max(f.Lease/electionTimeoutDivisor, 2*f.MaxDelay)
	v.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: l, MaxPool: 2,
		Timeout: silence + 4*f.MaxDelay, Logger: quiet})
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(p.ID)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = silence, silence, silence*3/4
	c.CommitTimeout = max(time.Millisecond, silence/20)
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotThreshold, trailingLogs, time.Minute
	c.Logger, c.NoLegacyTelemetry = quiet, true
	led := make(chan bool, maxQueuedLeaderChanges)
	c.NotifyCh = led
	s := raftStore{logs, f.Folder, v.once.fail, &firstWrite{}}
	v.raft, err = newRaft(c, stateMachine{v}, s, snapshots, v.transport)
	v.started.Store(err == nil)
	close(v.built)
	if err != nil {
		_ = v.transport.Close()
		_ = logs.Close()
		return nil, fmt.Errorf("fleet.folder: %w", err)
	}
	go v.followLeadership(led)
	return v, nil
}

// newRaft starts the library. It panics where its first write fails, and that is told as an error.
func newRaft(c *raft.Config, m stateMachine, s raftStore, snapshots raft.SnapshotStore, t raft.Transport) (r *raft.Raft, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Join(s.first.err, fmt.Errorf("the agreement does not start: %v", p))
		}
	}()
	return raft.NewRaft(c, m, s, s, snapshots, t)
}

// raftLogWriter brings the library's log into ours.
type raftLogWriter struct{ *zap.Logger }

func (l raftLogWriter) Write(b []byte) (int, error) {
	l.Warn(string(b[:max(0, len(b)-1)]))
	return len(b), nil
}

var errNodeLeaves = errors.New("the node leaves")

// shutDown stops taking part; err says why, nil: the node leaves.
func (v *Voter) shutDown(err error) {
	<-v.built // a goroutine of the library may fail to write before it is handed over
	v.mu.Lock()
	if v.endReason != nil {
		v.mu.Unlock()
		return
	}
	v.endReason = err
	if err == nil {
		v.endReason = errNodeLeaves
	} else {
		v.log.Error("this voter ends, its node serves on", zap.Error(err))
	}
	v.leases.Demote()
	v.allocator.Demote()
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
		_ = v.transport.Close()
		_ = v.logStore.Close()
	case <-time.After(shutdownTimeout):
		v.log.Warn("a way to another voter is stuck, and left so")
		_ = v.transport.Close() // not the log: whoever is left reads it yet
		go func() {
			<-down
			_ = v.logStore.Close() // a further voter waits for it
		}()
	}
	v.peers.close()
	close(v.down)
}

// close ends it with its node; a leader hands on first, so that nobody has to wait for its silence to be noticed.
func (v *Voter) close() {
	if v.raft.State() == raft.Leader {
		_ = v.raft.LeadershipTransfer().Error()
	}
	v.once.Do(func() { v.shutDown(nil) })
}

// followLeadership tells the keeper who leads.
func (v *Voter) followLeadership(led <-chan bool) {
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
			v.leaderChanges++
			v.leases.Demote()
			v.allocator.Demote()
			if is {
				go v.beginTerm(v.leaderChanges)
			}
			v.mu.Unlock()
		}
	}
}

// beginTerm brings the entry that begins a reign. Once it is applied, all that earlier leaders did is known here.
func (v *Voter) beginTerm(nth uint64) {
	for {
		r, err := v.propose(lease.Entry{Kind: lease.KindNewTerm, Name: v.config.Node})
		v.mu.Lock()
		if v.leaderChanges != nth || v.endReason != nil {
			v.mu.Unlock()
			return
		}
		if err == nil && r.Err == nil {
			v.leases.Promote(now(), r.Term)
			v.allocator.Promote(now(), r.Term)
			v.probes = lease.NewProbeScheduler()
			v.log.Info("leads the fleet", zap.Uint64("reign", r.Term))
			v.mu.Unlock()
			return
		}
		v.mu.Unlock()
		if err != nil {
			return // led no more
		}
		select { // not founded yet
		case <-time.After(newTermRetryInterval):
		case <-v.stop:
			return
		}
	}
}

// propose brings an entry to the log, and waits for what it comes to. An error says that it may be applied yet, and that this
// reign is over: the keeper and the divider then wait for the next, so nothing else may end as one. An entry that the library
// is too busy to take up waits for that, since nobody would bring it again.
func (v *Voter) propose(e lease.Entry) (lease.Result, error) {
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

// stateMachine is the state as the library drives it.
type stateMachine struct{ *Voter }

func (m stateMachine) Apply(l *raft.Log) any {
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
		m.allocator.StateChanged(now())
	}
	m.lastApplied = bootTime()
	m.entries++
	close(m.changed)
	m.changed = make(chan struct{})
	return r
}

func (m stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := m.state.Snapshot()
	return stateSnapshot(b), err
}

// Restore refuses what it can't read. The library ends the process over that, so its goroutine ends here instead.
func (m stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	b, err := io.ReadAll(from)
	if err == nil {
		m.mu.Lock()
		err = m.state.Restore(b)
		m.mu.Unlock()
	}
	if err != nil && m.started.Load() { // at the start the error itself is told
		m.once.fail(err)
		runtime.Goexit()
	}
	return err
}

type stateSnapshot []byte

func (f stateSnapshot) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(f); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}
func (f stateSnapshot) Release() {}

// onLeaseAlarm is the keeper's alarm.
func (v *Voter) onLeaseAlarm() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leases.Alarm(now())
}

// leaseHost is what the keeper acts through. Its methods run with the lock held.
type leaseHost struct{ *Voter }

func (h leaseHost) SetAlarm(at lease.Time) { h.leaseAlarm.set(at) }

func (h leaseHost) Respond(id uint64, a lease.Response) {
	if c, waits := h.leaseRequests[id]; waits {
		delete(h.leaseRequests, id)
		c <- a // it has room for this one
	}
}

func (h leaseHost) Propose(ref uint64, e lease.Entry) {
	nth := h.leaderChanges
	go func() {
		r, err := h.propose(e)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.leaderChanges == nth {
			h.leases.Applied(now(), ref, r, err != nil)
		}
	}()
}

func (h leaseHost) ConfirmLeadership(round uint64) {
	nth := h.leaderChanges
	go func() {
		faults.Point(faults.OnRenewal)
		led := faults.Without(faults.Confirmation) || h.confirmLeadership()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.rounds++
		if h.leaderChanges == nth {
			h.leases.LeadershipConfirmed(now(), round, led)
		}
	}()
}

// handleLeaseRequest brings an asking to the keeper, and waits for its answer or until the caller has gone.
func (v *Voter) handleLeaseRequest(a lease.Request, gone <-chan struct{}) lease.Response {
	c := make(chan lease.Response, 1)
	v.mu.Lock()
	if v.endReason != nil {
		v.mu.Unlock()
		return lease.Response{Err: lease.ErrNotLeader}
	}
	v.lastRequestID++
	id := v.lastRequestID
	v.leaseRequests[id] = c
	v.leases.Handle(now(), id, a)
	v.mu.Unlock()
	select {
	case x := <-c:
		return x
	case <-gone:
	case <-v.stop:
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.leaseRequests, id)
	v.leases.CallerGone(now(), id)
	return lease.Response{Err: lease.ErrNotLeader}
}

// leader tells who leads, as far as is known here.
func (v *Voter) leader() (name, address string) {
	at, id := v.raft.LeaderWithID()
	address, _ = transport.SplitRaftAddress(at)
	return string(id), address
}
