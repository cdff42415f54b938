package admin

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
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
	s.writeInterrupted(&page)
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

// writeInterrupted writes how many answers broke off after their client had begun to receive them, by the result of their attempt.
func (s *Server) writeInterrupted(page *strings.Builder) {
	interrupted := s.metrics.Interrupted()
	for _, result := range slices.Sorted(maps.Keys(interrupted)) {
		fmt.Fprintf(page, "answers.interrupted.%s=%d\n", result, interrupted[result])
	}
}

// writeCluster writes the metrics of the node's cluster, sorted by name.
func (s *Server) writeCluster(page *strings.Builder) {
	cluster := s.node.ClusterMetrics()
	for _, name := range slices.Sorted(maps.Keys(cluster)) {
		fmt.Fprintf(page, "fleet.%s=%v\n", name, cluster[name])
	}
}
