package node

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/config"
)

const (
	bodyMost       = 64 << 10 // bytes of a body that is held whole, so that it can be sent again
	longMost       = 32 << 20 // bytes of one that is passed on as it comes; the operators' bound
	reservePart    = 16       // a sixteenth of the descriptors is for the list, the log and the runtime,
	reserveMost    = 64       // and more than this is never needed,
	reserveOwn     = 16       // nor less than this beside what is open at the start: reserved below says for what
	openUsually    = 8        // at the start, where that can't be seen: standard streams, the poller, what cores we may use
	inheritedMost  = 32       // of those, as far as they can be counted; more would leave a small node nothing
	operatorsMost  = 32       // connections at the operators' address, its listener included: few call at once, but
	operatorsLeast = 12       // some hold one for seconds;
	operatorsPart  = 3        // yet never over a third of what is left where a process has few,
	operatorsFew   = 3        // nor under this
	fleetOwn       = 12       // of a node in a fleet: its address, its log and snapshots, what it asks; and for each voter
	fleetVoter     = 8        // the library's connections and an asking, to it and from it;
	fleetNodes     = 64       // one for each node that may ask it, and for so many at the least,
	fleetPart      = 2        // yet never over half of what is left
	fleetLeast     = 8        // connections from fellows: fewer hold not even voters
	beyondPart     = 8        // an eighth of the clients' may be connections that are turned away
	clientsLeast   = 2        // below these a process can't work at all: where a limit is lower still, it runs short
	serversLeast   = 2
	memoryPart     = 0.7 // share of the memory limit for the Go heap; stacks and the kernel's part come on top
	gcPercent      = 300 // with the memory limit as the real bound, fewer collections
)

// limits is how a node's limits are split.
type limits struct {
	clients, beyond, servers int
	operators                int // connections at the operators' address, if there is one
	fellows                  int // connections from fellows, where the node has some
	cores                    int
	memory                   int64
}

// process is what this process was started with.
type process struct {
	most int // descriptors that the system lets it have; 0: not known
	open int // descriptors that were open at its start; 0: not known
}

// thisProcess looks at it, before anything is opened. Go has raised the limit as far as it may be.
func thisProcess() (p process) {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err == nil && l.Cur < math.MaxInt32 {
		p.most = int(l.Cur)
	}
	if open, err := os.ReadDir("/proc/self/fd"); err == nil {
		p.open = len(open) - 1 // but for the one by which we look
	}
	return p
}

// reserved gives how many of the descriptors nobody else may take, whatever clients do: those that are open at the start
// (standard streams, the poller, what else was inherited), and reserveOwn: the clients' listener, the seat, four connections
// to discovery (three calls at a time, and a connect that one left behind) and four more to another during a move, the
// configuration at a reload, the bans' file and its lock, an operator's connection that is accepted and waits for its place,
// and the poller's where it was not there yet.
func (p process) reserved(descriptors int) int {
	open := p.open
	if open <= 0 {
		open = openUsually
	}
	return max(min(reserveMost, descriptors/reservePart), min(open, inheritedMost)+reserveOwn)
}

// split gives our part where several processes serve as one node, and shares that out. The system's limit holds for each
// process; where it is lower than the configuration's, that one can't be had, and whoever found out last would run short:
// accepting then pauses for up to a second, and neither the list nor a file can be read.
func (p process) split(s *config.Node, processes int) limits {
	descriptors := s.Descriptors / processes
	if p.most > 0 {
		descriptors = min(descriptors, p.most)
	}
	rest := max(0, descriptors-p.reserved(descriptors))
	operators := 0
	if s.Admin != "" {
		operators = max(operatorsFew, min(operatorsMost, max(descriptors/reservePart, operatorsLeast), rest/operatorsPart))
		rest -= operators
	}
	fellows := 0
	if s.Fleet != nil {
		voters := fleetVoter * len(s.Fleet.Voters)
		part := min(fleetOwn+voters+max(s.Settings.Routing.Nodes, fleetNodes), rest/fleetPart)
		fellows = max(fleetLeast, part-fleetOwn-voters/2) // the other half leads from here
		rest -= part
	}
	half := rest / 2
	beyond := half / beyondPart
	return limits{
		operators: operators - 1, // and the listener
		fellows:   fellows,
		clients:   max(clientsLeast, half-beyond),
		beyond:    beyond,
		servers:   max(serversLeast, rest-half),
		cores:     int(max(1, math.Ceil(s.Cores))),
		memory:    int64(float64(s.MemoryMB) * memoryPart * (1 << 20) / float64(processes)),
	}
}

func (l limits) apply() {
	runtime.GOMAXPROCS(l.cores)
	debug.SetMemoryLimit(l.memory)
	debug.SetGCPercent(gcPercent)
}
