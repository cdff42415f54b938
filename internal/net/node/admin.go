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
)

const (
	censusEvery = 200 * time.Millisecond // operators are owed figures 0.5 s old at most
	bansEvery   = 10 * time.Millisecond  // what the other process was told: a small part of any drain's grace
)

// census keeps the figures of the box list fresh.
func census(ctx context.Context, x *dispatch.Dispatcher) {
	every := time.NewTicker(censusEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			x.CountEndpoints()
		}
	}
}

// operated is what operators' calls are about.
type operated struct {
	exchange *dispatch.Dispatcher
	front    *frontend.Server
	bans     *ejection.Registry
	fleet    *cluster.Member // nil: there is none
}

func (o operated) Fleet() map[string]any {
	if o.fleet == nil {
		return nil
	}
	return o.fleet.Metrics()
}

func (o operated) Serving() bool { return o.exchange.Ready() && !o.front.Draining() }

func (o operated) Eject(id string) error { return o.order(id, o.bans.Eject) }

func (o operated) Restore(id string) error { return o.order(id, o.bans.Restore) }

func (o operated) order(id string, do func(string) error) error {
	if !o.exchange.WasListed(id) && !o.bans.Contains(id) {
		return admin.ErrUnknownServer
	}
	return do(id)
}

// bansOf opens the node's list of bans, for the exchange to follow.
func bansOf(folder, name string, x *dispatch.Dispatcher, log *zap.Logger) *ejection.Registry {
	return ejection.Open(folder, name, func(entries []ejection.Entry) {
		all := make([]dispatch.Ejection, 0, len(entries))
		for _, e := range entries {
			all = append(all, dispatch.Ejection{ID: e.ID, EjectedAt: float64(e.EjectedAt), RestoredAt: float64(e.RestoredAt)})
		}
		x.SetEjections(all)
	}, log)
}

// fileName begins the names of what one node keeps: other nodes may be given the same folder.
func fileName(listen string) string {
	return "thistlerudder-" + strings.NewReplacer(":", "_", "/", "_").Replace(listen)
}

// fleetSide is what the fleet's tasks need of this node.
type fleetSide struct{ *dispatch.Dispatcher }

// Metrics gives the totals of all namespaces.
func (s fleetSide) Metrics() map[string]int64 {
	f := s.Dispatcher.Metrics()
	all := map[string]int64{"shots": f.Written.Load(), "open": f.Open.Load()}
	for _, name := range f.Classes() {
		ends := f.Of(name)
		all["resolved"] += ends.Served.Load()
		all["deferred"] += ends.Rejected.Load()
		all["abandoned"] += ends.Failed.Load()
	}
	return all
}
