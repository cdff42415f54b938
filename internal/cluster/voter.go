package cluster

import (
	"errors"
	"fmt"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/internal/cluster/voterstore"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	electionTimeoutDivisor = 10   // voters start an election after a tenth of a lease without contact to the leader
	snapshotThreshold      = 4096 // entries of some hundred bytes each
	trailingLogs           = 1024 // entries kept after a snapshot, for voters that were disconnected for a short time
	snapshotInterval       = time.Minute
	retainedSnapshots      = 2
	maxPooledConns         = 2                      // to each other voter
	maxLeaderChanges       = 64                     // leadership changes that are not handled yet; the library blocks beyond this
	shutdownTimeout        = 500 * time.Millisecond // for the library; the shutdown of the whole node has its own time limit
)

// errNodeLeaving is the end reason of a voter whose node leaves the cluster.
var errNodeLeaving = errors.New("the node leaves the cluster")

// Voter is this process's voter: the consensus library, the replicated state, and the state that only the leader keeps, which is
// not replicated.
type Voter struct {
	log         *zap.Logger
	config      *config.Cluster
	identity    voterstore.Identity
	dialer      transport.Dialer
	callTimeout time.Duration // for calls to other voters
	peers       peerClients

	raft      *raft.Raft
	store     *voterstore.Store
	transport *raft.NetworkTransport

	mu             sync.Mutex
	state          *lease.State
	leases         *lease.Manager
	probes         *lease.ProbeScheduler
	allocator      *budget.Allocator
	leaseAlarm     alarm
	allocatorAlarm alarm
	leaseRequests  map[uint64]chan lease.Response  // pending, by id
	quotaRequests  map[uint64]chan budget.Response // pending, by id
	lastRequestID  uint64
	leaderChanges  uint64        // counted since the start; tells whether a result belongs to the current leadership
	changed        chan struct{} // closed when the next entry is applied
	quorumRounds   int           // made since the start, confirmed or not
	appliedEntries int           // applied since the start
	endReason      error         // nil while the voter runs

	stop           chan struct{} // closed when the voter ends
	startDone      chan struct{} // closed when the library has started or failed to start
	shutdownDone   chan struct{} // closed at the end of shutDown; the folder is then free unless a goroutine of the library is stuck
	shutdownOnce   shutdownOnce
	libraryStarted atomic.Bool
}

// startVoter opens the folder and starts the consensus library. It leaves a folder that can't be used unchanged.
func startVoter(c *config.Cluster, identity voterstore.Identity, layer *transport.StreamLayer, log *zap.Logger) (*Voter, error) {
	v := newVoter(c, identity, layer.Dialer(), log)
	var err error
	v.store, err = voterstore.Open(c.DataDir, v.shutdownOnce.fail)
	if err != nil {
		return nil, err
	}
	raftLog := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: raftLogWriter{log}, DisableTime: true})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(c.DataDir, retainedSnapshots, raftLog)
	if err != nil {
		_ = v.store.Close()
		return nil, fmt.Errorf("fleet.folder: %w", err)
	}
	electionTimeout := max(c.Lease/electionTimeoutDivisor, 2*c.MaxDelay)
	v.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  layer,
		MaxPool: maxPooledConns,
		Timeout: electionTimeout + 4*c.MaxDelay,
		Logger:  raftLog,
	})
	leadership := make(chan bool, maxLeaderChanges)
	raftConfig := newRaftConfig(identity, electionTimeout, leadership, raftLog)
	v.raft, err = newRaft(raftConfig, stateMachine{v}, v.store, snapshots, v.transport)
	v.libraryStarted.Store(err == nil)
	close(v.startDone)
	if err != nil {
		_ = v.transport.Close()
		_ = v.store.Close()
		return nil, fmt.Errorf("fleet.folder: %w", err)
	}
	go v.followLeadership(leadership)
	return v, nil
}

// newVoter returns a voter whose consensus library is not started.
func newVoter(c *config.Cluster, identity voterstore.Identity, dialer transport.Dialer, log *zap.Logger) *Voter {
	v := &Voter{
		log:           log,
		config:        c,
		identity:      identity,
		dialer:        dialer,
		callTimeout:   callTimeoutFactor * c.MaxDelay,
		peers:         peerClients{conns: map[raft.ServerID]*rpc.Client{}},
		state:         lease.NewState(),
		probes:        lease.NewProbeScheduler(),
		leaseRequests: map[uint64]chan lease.Response{},
		quotaRequests: map[uint64]chan budget.Response{},
		changed:       make(chan struct{}),
		stop:          make(chan struct{}),
		startDone:     make(chan struct{}),
		shutdownDone:  make(chan struct{}),
	}
	v.shutdownOnce.end = v.shutDown
	v.leaseAlarm = newAlarm(v.onLeaseAlarm)
	v.allocatorAlarm = newAlarm(v.onAllocatorAlarm)
	v.allocator = budget.NewAllocator(allocatorHost{v}, v.state, budget.Unsafe{ReuseUnreturned: faults.Disabled(faults.Reuse), ForgetQuotas: faults.Disabled(faults.Forget)})
	leaseDuration := toLeaseTime(c.Lease)
	grantDuration := lease.GranterDuration(leaseDuration, c.MaxDrift)
	if faults.Disabled(faults.DriftMargin) {
		grantDuration = leaseDuration
	}
	v.leases = lease.NewManager(leaseHost{v}, v.state, leaseDuration, grantDuration)
	return v
}

func newRaftConfig(identity voterstore.Identity, electionTimeout time.Duration, leadership chan<- bool, log hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(identity.ID)
	c.HeartbeatTimeout = electionTimeout
	c.ElectionTimeout = electionTimeout
	c.LeaderLeaseTimeout = electionTimeout * 3 / 4
	c.CommitTimeout = max(time.Millisecond, electionTimeout/20)
	c.SnapshotThreshold = snapshotThreshold
	c.TrailingLogs = trailingLogs
	c.SnapshotInterval = snapshotInterval
	c.NotifyCh = leadership
	c.Logger = log
	c.NoLegacyTelemetry = true
	return c
}

// newRaft starts the library. The library panics if its first write fails; newRaft returns that panic as an error.
func newRaft(c *raft.Config, m stateMachine, s *voterstore.Store, snapshots raft.SnapshotStore, t raft.Transport) (r *raft.Raft, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Join(s.FirstWriteError(), fmt.Errorf("the consensus library does not start: %v", p))
		}
	}()
	return raft.NewRaft(c, m, s, s, snapshots, t)
}

// raftLogWriter writes the library's log lines to this process's log.
type raftLogWriter struct{ *zap.Logger }

func (w raftLogWriter) Write(line []byte) (int, error) {
	w.Warn("consensus library", zap.String("line", strings.TrimSuffix(string(line), "\n")))
	return len(line), nil
}

// close ends the voter when its node leaves the cluster. A leader transfers its leadership first, so that the other voters
// elect a leader without waiting for the election timeout.
func (v *Voter) close() {
	if v.raft.State() == raft.Leader {
		_ = v.raft.LeadershipTransfer().Error()
	}
	v.shutdownOnce.Do(func() { v.shutDown(nil) })
}

// shutDown ends the voter for the given reason. A nil reason means that its node leaves the cluster. Further calls do nothing.
func (v *Voter) shutDown(reason error) {
	<-v.startDone // a goroutine of the library may fail to write before newRaft returns
	if !v.markEnded(reason) {
		return
	}
	// The library's shutdown waits for all of its goroutines. One that writes to a disconnected voter may block for a long
	// time. The library's main goroutine, which votes, ends at once, so shutDown doesn't wait for the others beyond the timeout.
	libraryDone := make(chan struct{})
	go func() {
		if v.libraryStarted.Load() {
			_ = v.raft.Shutdown().Error()
		}
		close(libraryDone)
	}()
	select {
	case <-libraryDone:
		_ = v.transport.Close()
		_ = v.store.Close()
	case <-time.After(shutdownTimeout):
		v.log.Warn("voter shutdown timed out, a connection to another voter is stuck")
		_ = v.transport.Close() // the store stays open: a goroutine that still runs may read it
		go func() {
			<-libraryDone
			_ = v.store.Close() // the next voter on this folder waits for the store to close
		}()
	}
	v.peers.close()
	close(v.shutdownDone)
}

// markEnded records the reason, and ends the leadership and all waiting calls. It returns false if the voter has ended before.
func (v *Voter) markEnded(reason error) (first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.endReason != nil {
		return false
	}
	v.endReason = reason
	if reason == nil {
		v.endReason = errNodeLeaving
	} else {
		v.log.Error("voter stopped, the node goes on without it", zap.Error(reason))
	}
	v.leases.Demote()
	v.allocator.Demote()
	close(v.stop)
	return true
}

// hasEnded reports whether the voter has ended.
func (v *Voter) hasEnded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.endReason != nil
}

// leader returns the id and the address of the leader that this voter knows; both are empty if it knows none.
func (v *Voter) leader() (id, address string) {
	raftAddress, raftID := v.raft.LeaderWithID()
	address, _ = transport.SplitRaftAddress(raftAddress)
	return string(raftID), address
}

// nextChange returns a channel that is closed when the next entry is applied.
func (v *Voter) nextChange() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// shutdownOnce ends a voter once, with the reason of the first call.
type shutdownOnce struct {
	sync.Once
	end func(reason error)
}

// fail ends the voter in the background.
func (o *shutdownOnce) fail(reason error) { o.Do(func() { go o.end(reason) }) }
