package node

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/config"
)

// Bounds on bodies, in bytes.
const (
	maxBufferedBodyBytes = 64 << 10 // up to this a body is buffered, so that it can be sent again
	maxStreamedBodyBytes = 32 << 20
)

// The reserve of descriptors that no connection may take; process.reserved says for what.
const (
	reserveDivisor          = 16 // a sixteenth of the descriptors,
	maxDividedReserve       = 64 // up to this,
	internalReserve         = 16 // and at least this beside what is open at the start
	assumedOpenDescriptors  = 8  // at the start, where that is unknown: standard streams, the poller, the CPU limits
	maxInheritedDescriptors = 32 // counted at most; more would leave a small node nothing
)

// Connections of the admin address, its listener included. Callers are few but may keep a connection for seconds.
const (
	maxAdminConns       = 32
	preferredAdminConns = 12
	adminDivisor        = 3 // at most a third of the descriptors that are left,
	minAdminConns       = 3 // but at least this
)

// Descriptors of a node in a cluster.
const (
	clusterReserve = 12 // its listener, its log and snapshots, its own calls
	connsPerVoter  = 8  // consensus connections and calls, in both directions
	minNodeConns   = 64 // one for each node that may call a voter, and at least this,
	clusterDivisor = 2  // but at most half of the descriptors that are left
	minPeerConns   = 8  // fewer would not serve the voters
)

// Connections of clients and to servers, each half of what is left.
const (
	overflowDivisor = 8 // an eighth of the clients' half is for connections that are only rejected
	minClientConns  = 2 // a process needs these to work at all, even where the limit is lower
	minServerConns  = 2
)

const (
	heapShare = 0.7 // of the memory limit; the rest is for stacks and the kernel
	gcPercent = 300 // fewer collections, since the memory limit is the effective bound
)

// limits is a process's share of the node's limits.
type limits struct {
	clientConns   int
	overflowConns int // client connections that are only rejected
	serverConns   int
	adminConns    int // 0 or less: no admin address
	peerConns     int // from other nodes of the cluster; 0: no cluster
	cores         int
	memoryBytes   int64
}

// process is the state in which this process was started.
type process struct {
	maxDescriptors  int // the system's limit; 0: unknown
	openDescriptors int // 0: unknown
}

// inspectProcess is called before the process opens anything. The Go runtime has raised the soft limit to the hard one.
func inspectProcess() process {
	var p process
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		p.maxDescriptors = int(limit.Cur)
	}
	if entries, err := os.ReadDir("/proc/self/fd"); err == nil {
		p.openDescriptors = len(entries) - 1 // without the one that reads the directory
	}
	return p
}

// reserved returns how many of the descriptors no connection may take: those open at the start (standard streams, the poller, what else was
// inherited), and internalReserve for the clients' listener, the membership file, four connections to the discovery service (three polls and a
// connect left behind) and four more during a switch to another, the configuration at a reload, the ejections file and its lock, an admin
// connection that is accepted and waits, and the poller if it was not open yet.
func (p process) reserved(descriptors int) int {
	open := p.openDescriptors
	if open <= 0 {
		open = assumedOpenDescriptors
	}
	return max(min(maxDividedReserve, descriptors/reserveDivisor), min(open, maxInheritedDescriptors)+internalReserve)
}

// split returns the share of one of several processes that serve as the node s. The system's limit on descriptors holds for each process;
// where it is lower than the share of the configured one it applies, or the last to open a descriptor would fail: accept pauses, and
// neither the endpoint list nor a file can be read.
func (p process) split(s *config.Node, processes int) limits {
	descriptors := s.Descriptors / processes
	if p.maxDescriptors > 0 {
		descriptors = min(descriptors, p.maxDescriptors)
	}
	free := max(0, descriptors-p.reserved(descriptors))
	adminDescriptors := adminShare(s, descriptors, free)
	free -= adminDescriptors
	clusterDescriptors, peerConns := clusterShare(s, free)
	free -= clusterDescriptors
	clientHalf := free / 2
	overflow := clientHalf / overflowDivisor
	return limits{
		adminConns:    adminDescriptors - 1, // the listener takes one
		peerConns:     peerConns,
		clientConns:   max(minClientConns, clientHalf-overflow),
		overflowConns: overflow,
		serverConns:   max(minServerConns, free-clientHalf),
		cores:         int(max(1, math.Ceil(s.Cores))),
		memoryBytes:   int64(float64(s.MemoryMB) * heapShare * (1 << 20) / float64(processes)),
	}
}

// adminShare returns the descriptors of the admin address, its listener included.
func adminShare(s *config.Node, descriptors, free int) int {
	if s.Admin == "" {
		return 0
	}
	preferred := max(descriptors/reserveDivisor, preferredAdminConns)
	return max(minAdminConns, min(maxAdminConns, preferred, free/adminDivisor))
}

// clusterShare returns the descriptors of the cluster, and how many connections from other nodes are among them.
func clusterShare(s *config.Node, free int) (descriptors, peerConns int) {
	if s.Cluster == nil {
		return 0, 0
	}
	voterConns := connsPerVoter * len(s.Cluster.Voters)
	nodeConns := max(s.Settings.Routing.Nodes, minNodeConns)
	descriptors = min(clusterReserve+voterConns+nodeConns, free/clusterDivisor)
	outgoing := voterConns / 2
	return descriptors, max(minPeerConns, descriptors-clusterReserve-outgoing)
}

// apply sets the limits of the Go runtime.
func (l limits) apply() {
	runtime.GOMAXPROCS(l.cores)
	debug.SetMemoryLimit(l.memoryBytes)
	debug.SetGCPercent(gcPercent)
}
