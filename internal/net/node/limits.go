package node

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/config"
)

// Size limits of bodies, in bytes.
const (
	maxBufferedBodyBytes = 64 << 10 // a body up to this size is buffered, so that a retry can send it again
	maxStreamedBodyBytes = 32 << 20
)

// maxStreamDuration bounds an answer over maxBufferedBodyBytes, which has no deadline: 32 MB at 37 KB/s take as long.
const maxStreamDuration = 15 * time.Minute

// The reserve of descriptors that no connection may take. See process.reserved for their use.
const (
	reserveDivisor          = 16 // the reserve is a sixteenth of the descriptors,
	maxDividedReserve       = 64 // at most this many,
	internalReserve         = 16 // but at least this many in addition to those open at the start
	assumedOpenDescriptors  = 8  // used if the number open at the start is unknown: standard streams, the poller, the CPU limits
	maxInheritedDescriptors = 32 // inherited descriptors counted at most; more would leave a small node no connections
)

// Descriptors of the admin address, including its listener. It has few callers, but they may keep a connection open for seconds.
const (
	maxAdminConns       = 32
	preferredAdminConns = 12
	adminDivisor        = 3 // at most a third of the descriptors outside the reserve,
	minAdminConns       = 3 // but at least this many
)

// Descriptors that a node in a cluster uses for the cluster.
const (
	clusterReserve = 12 // the cluster listener, the log, snapshots, and the node's own calls
	connsPerVoter  = 8  // consensus connections and calls, in both directions
	minNodeConns   = 64 // one connection per node that may call a voter, and at least this many,
	clusterDivisor = 2  // but at most half of the remaining descriptors
	minPeerConns   = 8  // fewer would not be enough for the voters
)

// Client connections and server connections each get half of the remaining descriptors, or of the connections that the memory suffices for.
const (
	overflowDivisor = 8 // an eighth of the clients' half is for overflow connections, whose requests are only rejected
	minClientConns  = 2 // the minimum for a process to work, even if the limit is lower
	minServerConns  = 2
)

const gcPercent = 300 // fewer collections than the default, since the memory limit bounds the heap

// limits is a process's share of the node's limits.
type limits struct {
	clientConns   int
	overflowConns int // client connections whose requests are only rejected
	serverConns   int
	adminConns    int // 0 or less: no admin address is configured
	peerConns     int // incoming connections from other nodes of the cluster; 0: no cluster
	cores         int
	memory        memoryShare
}

// process is the state in which this process was started.
type process struct {
	maxDescriptors  int // the system's descriptor limit; 0: unknown
	openDescriptors int // 0: unknown
}

// inspectProcess returns the state of the process. It must be called before the process opens any descriptor. The Go runtime has already raised
// the soft limit on descriptors to the hard limit.
func inspectProcess() process {
	var p process
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		p.maxDescriptors = int(limit.Cur)
	}
	if entries, err := os.ReadDir("/proc/self/fd"); err == nil {
		p.openDescriptors = len(entries) - 1 // without the descriptor that reads the directory
	}
	return p
}

// reserved returns how many of the descriptors no connection may take. These are the descriptors open at the start (standard streams, the
// poller, others that were inherited) and internalReserve for:
//   - the clients' listener
//   - the membership file
//   - four connections to the discovery service (three polls and an abandoned connect), and four more during a switch to another service
//   - the configuration file during a reload
//   - the ejections file and its lock
//   - an accepted admin connection that waits for a free place
//   - the poller, if it was not open at the start
func (p process) reserved(descriptors int) int {
	open := p.openDescriptors
	if open <= 0 {
		open = assumedOpenDescriptors
	}
	return max(min(maxDividedReserve, descriptors/reserveDivisor), min(open, maxInheritedDescriptors)+internalReserve)
}

// split returns the share of the limits for one of several processes that serve as node s. The configured descriptors are divided among the
// processes; the system's descriptor limit holds for each process. If the system's limit is lower than the share, it applies. Otherwise the
// process would run out of descriptors: accept would pause, and neither the endpoint list nor a file could be read.
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
	memory := splitMemory(s.MemoryMB, processes)
	free = min(free, memory.maxConns())
	clientHalf := free / 2
	overflow := clientHalf / overflowDivisor
	return limits{
		adminConns:    adminDescriptors - 1, // one is the listener's
		peerConns:     peerConns,
		clientConns:   max(minClientConns, clientHalf-overflow),
		overflowConns: overflow,
		serverConns:   max(minServerConns, free-clientHalf),
		cores:         int(max(1, math.Ceil(s.Cores))),
		memory:        memory,
	}
}

// adminShare returns the number of descriptors for the admin address, including its listener.
func adminShare(s *config.Node, descriptors, free int) int {
	if s.Admin == "" {
		return 0
	}
	preferred := max(descriptors/reserveDivisor, preferredAdminConns)
	return max(minAdminConns, min(maxAdminConns, preferred, free/adminDivisor))
}

// clusterShare returns the number of descriptors for the cluster, and how many of them are for incoming connections from other nodes.
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
	debug.SetMemoryLimit(l.memory.heap)
	debug.SetGCPercent(gcPercent)
}
