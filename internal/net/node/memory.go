package node

// The node's memory, by kind: pages of the program's file, what the process has at its start, connections, bytes read ahead, bodies, and what the
// collector needs to work. docs/incidents/286066.md has the measurements.
const (
	programBytes = 15 << 20 // mapped pages of the program, which the processes of a node share
	processBytes = 3 << 20  // pages that the runtime's limit does not cover, of each process
	heapShare    = 0.7      // the most of the memory that the runtime's limit takes

	minHeapBytes = 8 << 20

	connShare = 0.3      // of the runtime's limit, for connections to clients and servers
	connBytes = 24 << 10 // of a connection that is used: stacks, buffers, headers

	readAheadDivisor = 4 // a quarter of the runtime's limit may hold bytes read ahead of requests
	bodyDivisor      = 5 // a fifth may hold bodies
)

// memoryShare is a process's share of the node's memory, in bytes.
type memoryShare struct {
	heap      int64 // the runtime's limit, which covers all of the following
	conns     int64
	readAhead int64
	bodies    int64
}

// splitMemory returns the share of one of several processes that serve as one node with the given memory.
func splitMemory(memoryMB, processes int) memoryShare {
	total := int64(memoryMB) << 20
	n := int64(processes)
	heap := min(int64(heapShare*float64(total)), total-programBytes-n*processBytes) / n
	heap = max(heap, minHeapBytes)
	return memoryShare{
		heap:      heap,
		conns:     int64(connShare * float64(heap)),
		readAhead: heap / readAheadDivisor,
		bodies:    heap / bodyDivisor,
	}
}

// maxConns returns how many connections the share suffices for.
func (m memoryShare) maxConns() int { return int(m.conns / connBytes) }
