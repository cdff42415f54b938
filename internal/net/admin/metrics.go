package admin

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
)

// metricsPage returns the metrics as name=value, a line each. Operators' scripts match the names.
func (s *Server) metricsPage() string {
	var page strings.Builder
	s.writeClasses(&page)
	fmt.Fprintf(&page, "relayed=%d\n", s.metrics.AttemptsWritten.Load())
	fmt.Fprintf(&page, "open_requests=%d\n", s.metrics.OpenRequests.Load())
	fmt.Fprintf(&page, "registry_entries=%d\n", s.metrics.ListedServers.Load())
	fmt.Fprintf(&page, "out_of_rotation=%d\n", s.metrics.ServersOutOfUse.Load())
	s.writeReasons(&page)
	writeCounts(&page, "answers.interrupted", s.metrics.Interrupted())
	writeCounts(&page, "attempts.ended", s.metrics.AttemptEnds.Snapshot())
	writeCounts(&page, "requests.refused", s.metrics.Refusals.Snapshot())
	writeCounts(&page, "connections.closed", s.metrics.ConnCloses.Snapshot())
	writeMemory(&page, s.node.Memory())
	s.writeCluster(&page)
	return page.String()
}

// writeClasses writes how many requests of each class were served, rejected and failed.
func (s *Server) writeClasses(page *strings.Builder) {
	for _, name := range s.metrics.Classes() {
		class := s.metrics.ForClass(name)
		fmt.Fprintf(page, "operations.%s.fulfilled=%d\n", name, class.Served.Load())
		fmt.Fprintf(page, "operations.%s.throttled=%d\n", name, class.Rejected.Load())
		fmt.Fprintf(page, "operations.%s.faulted=%d\n", name, class.Failed.Load())
	}
}

// writeReasons writes a line for each reason for which attempts were withheld, and for each rule that a routing decision would have
// violated. Reasons that have not occurred are left out.
func (s *Server) writeReasons(page *strings.Builder) {
	for reason := admission.Granted + 1; reason < admission.NumReasons; reason++ {
		if n := s.metrics.WithheldAttempts[reason].Load(); n > 0 {
			fmt.Fprintf(page, "attempts.withheld.%v=%d\n", reason, n)
		}
		if n := s.metrics.Violations[reason].Load(); n > 0 {
			fmt.Fprintf(page, "rules.violated.%v=%d\n", reason, n)
		}
	}
}

// writeCounts writes counts by name, sorted, each behind the prefix.
func writeCounts(page *strings.Builder, prefix string, counts map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(page, "%s.%s=%d\n", prefix, name, counts[name])
	}
}

// writeMemory writes what the process uses, if that is measured.
func writeMemory(page *strings.Builder, m metrics.Memory) {
	if m == (metrics.Memory{}) {
		return
	}
	fmt.Fprintf(page, "memory.heap_allocated=%d\n", m.HeapAllocated)
	fmt.Fprintf(page, "memory.heap_in_use=%d\n", m.HeapInUse)
	fmt.Fprintf(page, "memory.stacks=%d\n", m.Stacks)
	fmt.Fprintf(page, "memory.runtime=%d\n", m.Runtime)
	fmt.Fprintf(page, "memory.anonymous=%d\n", m.Anonymous)
	fmt.Fprintf(page, "memory.mapped=%d\n", m.Mapped)
	fmt.Fprintf(page, "goroutines=%d\n", m.Goroutines)
}

// writeCluster writes the metrics of the node's cluster, sorted by name.
func (s *Server) writeCluster(page *strings.Builder) {
	cluster := s.node.ClusterMetrics()
	for _, name := range slices.Sorted(maps.Keys(cluster)) {
		fmt.Fprintf(page, "fleet.%s=%v\n", name, cluster[name])
	}
}
