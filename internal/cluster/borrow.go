package cluster

import (
	"context"
	"net/rpc"
	"net/rpc/jsonrpc"
	"time"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/lease"
)

// lendInterval is the time between two requests for lent quotas.
const lendInterval = 100 * time.Millisecond

// borrowQuotas borrows half of the quotas of the process that this one replaces, until the context ends. The end of a loan is
// valid in both processes, because they run on one machine and read the same clock.
func (m *Member) borrowQuotas(ctx context.Context) {
	if len(m.config.Budgets) == 0 {
		return
	}
	var client *rpc.Client
	defer func() {
		if client != nil {
			_ = client.Close()
		}
	}()
	for ctx.Err() == nil {
		sent := bootTime()
		var lent LentQuotas
		client, lent = m.requestLoan(client)
		for _, b := range lent.Quotas {
			if ctx.Err() == nil {
				m.applyLent(b, sent+toDuration(lease.Time(lent.Duration)))
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(lendInterval):
		}
	}
}

// requestLoan makes one request for lent quotas. It opens a connection if client is nil, and returns the connection for the
// next request, or nil after a failure.
func (m *Member) requestLoan(client *rpc.Client) (*rpc.Client, LentQuotas) {
	if client == nil {
		conn, err := m.client.dialer.Dial(m.config.Address, transport.PurposeRPC, "", lendInterval)
		if err != nil {
			return nil, LentQuotas{}
		}
		client = jsonrpc.NewClient(conn)
	}
	var lent LentQuotas
	if err := call(client, methodLendQuotas, &struct{}{}, &lent, lendInterval); err != nil {
		_ = client.Close()
		return nil, lent
	}
	return client, lent
}

// applyLent applies a lent quota until a boot time.
func (m *Member) applyLent(b budget.LentQuota, until time.Duration) {
	remaining, cutoffMargin := until-bootTime(), time.Duration(0)
	if b.Config.Kind == lease.BudgetKindConcurrency {
		cutoffMargin = min(m.cutoffMargin(), lendInterval)
	}
	m.applyQuota(b.Name, b.Config, b.Units, 0, remaining-cutoffMargin, cutoffMargin)
}
