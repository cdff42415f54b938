package node

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/net/admin"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/internal/net/ejection"
	"github.com/thistlerudder/thistlerudder/internal/net/frontend"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
)

const (
	endpointCountInterval = 200 * time.Millisecond // metrics must be at most 0.5 s old
	ejectionsInterval     = 10 * time.Millisecond  // short compared to the grace period of a drain
)

// countEndpoints updates the metrics of the endpoint list at each endpointCountInterval, until ctx ends.
func countEndpoints(ctx context.Context, d *dispatch.Dispatcher) {
	ticker := time.NewTicker(endpointCountInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.CountEndpoints()
		}
	}
}

// adminNode implements the interface through which the admin server uses the node.
type adminNode struct {
	dispatcher *dispatch.Dispatcher
	frontend   *frontend.Server
	ejections  *ejection.Registry
	member     *cluster.Member // nil: the node has no cluster
}

// Memory returns what this process uses.
func (n adminNode) Memory() metrics.Memory { return metrics.ReadMemory() }

// ClusterMetrics returns the metrics of the node's cluster membership, or nil if the node has no cluster.
func (n adminNode) ClusterMetrics() map[string]any {
	if n.member == nil {
		return nil
	}
	return n.member.Metrics()
}

// Serving reports whether the node accepts client requests: it is ready and not draining.
func (n adminNode) Serving() bool { return n.dispatcher.Ready() && !n.frontend.Draining() }

// Eject ejects a server, or returns admin.ErrUnknownServer.
func (n adminNode) Eject(id string) error { return n.change(id, n.ejections.Eject) }

// Restore ends the ejection of a server, or returns admin.ErrUnknownServer.
func (n adminNode) Restore(id string) error { return n.change(id, n.ejections.Restore) }

func (n adminNode) change(id string, change func(string) error) error {
	if !n.dispatcher.WasListed(id) && !n.ejections.Contains(id) {
		return admin.ErrUnknownServer
	}
	return change(id)
}

// openEjections opens the registry of the node's ejections. Each change of the registry updates the dispatcher.
func openEjections(folder, name string, d *dispatch.Dispatcher, log *zap.Logger) *ejection.Registry {
	return ejection.Open(folder, name, func(entries []ejection.Entry) {
		all := make([]dispatch.Ejection, 0, len(entries))
		for _, e := range entries {
			all = append(all, dispatch.Ejection{ID: e.ID, EjectedAt: float64(e.EjectedAt), RestoredAt: float64(e.RestoredAt)})
		}
		d.SetEjections(all)
	}, log)
}

// fileName returns the prefix of the node's file names. It contains the listen address, since several nodes may share a folder.
func fileName(listen string) string {
	return "thistlerudder-" + strings.NewReplacer(":", "_", "/", "_").Replace(listen)
}

// localNode implements the interface through which the cluster's tasks use the node.
type localNode struct{ *dispatch.Dispatcher }

// Metrics returns the totals over all classes. The cluster stores and reports the values under these keys.
func (n localNode) Metrics() map[string]int64 {
	m := n.Dispatcher.Metrics()
	totals := map[string]int64{"shots": m.AttemptsWritten.Load(), "open": m.OpenRequests.Load()}
	for _, name := range m.Classes() {
		class := m.ForClass(name)
		totals["resolved"] += class.Served.Load()
		totals["deferred"] += class.Rejected.Load()
		totals["abandoned"] += class.Failed.Load()
	}
	return totals
}
