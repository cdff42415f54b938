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
func census(ctx context.Context, x *dispatch.Exchange) {
	every := time.NewTicker(censusEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			x.Census()
		}
	}
}

// operated is what operators' calls are about.
type operated struct {
	exchange *dispatch.Exchange
	front    *frontend.Clients
	bans     *ejection.Book
	fleet    *cluster.Fellows // nil: there is none
}

func (o operated) Fleet() map[string]any {
	if o.fleet == nil {
		return nil
	}
	return o.fleet.Figures()
}

func (o operated) Serves() bool { return o.exchange.Ready() && !o.front.Leaving() }

func (o operated) TakeOut(id string) error { return o.order(id, o.bans.Out) }

func (o operated) PutBack(id string) error { return o.order(id, o.bans.Back) }

func (o operated) order(id string, do func(string) error) error {
	if !o.exchange.Heard(id) && !o.bans.Has(id) {
		return admin.ErrUnlisted
	}
	return do(id)
}

// bansOf opens the node's list of bans, for the exchange to follow.
func bansOf(folder, name string, x *dispatch.Exchange, log *zap.Logger) *ejection.Book {
	return ejection.Open(folder, name, func(entries []ejection.Entry) {
		all := make([]dispatch.Ban, 0, len(entries))
		for _, e := range entries {
			all = append(all, dispatch.Ban{ID: e.ID, Out: float64(e.Out), Back: float64(e.Back)})
		}
		x.Bans(all)
	}, log)
}

// fileName begins the names of what one node keeps: other nodes may be given the same folder.
func fileName(listen string) string {
	return "thistlerudder-" + strings.NewReplacer(":", "_", "/", "_").Replace(listen)
}

// fleetSide is what the fleet's tasks need of this node.
type fleetSide struct{ *dispatch.Exchange }

// Figures gives the totals of all namespaces.
func (s fleetSide) Figures() map[string]int64 {
	f := s.Exchange.Figures()
	all := map[string]int64{"shots": f.Written.Load(), "open": f.Open.Load()}
	for _, name := range f.Namespaces() {
		ends := f.Of(name)
		all["resolved"] += ends.Resolved.Load()
		all["deferred"] += ends.Deferred.Load()
		all["abandoned"] += ends.Abandoned.Load()
	}
	return all
}
