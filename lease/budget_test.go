package lease

import (
	"strings"
	"testing"
)

// The sum of the quotas never exceeds the allocatable units. A move whose FromToken is not the quota's current token is
// skipped. A quota ends with its lease. A snapshot includes budgets and quotas. A snapshot of a state without budgets keeps
// format version 1, which programs without support for budgets can read.
func TestBudgetQuotaMoves(t *testing.T) {
	s := NewState()
	s.Apply(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "fleet"})
	tokenA := s.Apply(Entry{Version: formatVersion, Kind: KindGrant, Name: "node/a", Holder: holder(1)}).Token
	tokenB := s.Apply(Entry{Version: formatVersion, Kind: KindGrant, Name: "node/b", Holder: holder(2)}).Token
	if snapshot, _ := s.Snapshot(); !strings.Contains(string(snapshot), `"version":1`) || strings.Contains(string(snapshot), "budgets") {
		t.Errorf("snapshot without budgets: %s", snapshot)
	}
	setBudget := func(revision uint64, units int) Result {
		return s.Apply(Entry{Version: budgetFormatVersion, Kind: KindSetBudget, Name: "x", Budget: &BudgetConfig{Kind: BudgetKindRate, Units: units, RatePerUnit: 2, ReservedPerNode: 1, MaxNodes: 2, Revision: revision}})
	}
	if r := setBudget(0, 10); r.Err != nil || r.Token != 1 {
		t.Fatal(r)
	}
	if r := setBudget(0, 20); r.Err != ErrDuplicate || s.Budgets["x"].Units != 10 {
		t.Errorf("budget declared twice: %v, %+v", r, s.Budgets["x"])
	}
	for _, c := range []struct {
		lease            string
		token, fromToken uint64
		units, wantUnits int
	}{
		{"node/a", tokenA, 0, 6, 6},
		{"node/b", tokenB, 0, 3, 0}, // skipped: 2 of the 10 units are reserved, and 6 are allocated
		{"node/b", tokenA, 0, 2, 0}, // skipped: the token is that of another lease
		{"node/b", tokenB, 0, 2, 2},
		{"node/a", tokenA, tokenA, 1, 6}, // skipped: fromToken is a lease's token, not the quota's
		{"node/a", tokenA, 3, 1, 1},      // the grants used the tokens 1 and 2, the quotas 3 and 4
		{"node/b", tokenB, 4, 7, 7},
		{"node/c", 9, 0, 1, 0}, // skipped: the lease is not held
	} {
		s.Apply(Entry{Version: budgetFormatVersion, Kind: KindMoveQuotas, Name: "parts", Moves: []QuotaChange{{"x", c.lease, c.token, c.fromToken, c.units}}})
		if got := s.Budgets["x"].Quotas[c.lease].Units; got != c.wantUnits {
			t.Errorf("%+v: got %d units", c, got)
		}
	}
	if r := setBudget(1, 4); r.Err != nil || s.Budgets["x"].Limit() != 8 || s.Budgets["x"].Allocated() != 8 {
		t.Errorf("limit lowered below the allocated units: %v, %+v", r, s.Budgets["x"])
	}
	if r := setBudget(1, 5); r.Err != ErrDuplicate {
		t.Errorf("change based on an old revision: %v", r)
	}
	snapshot, _ := s.Snapshot()
	restored := NewState()
	if err := restored.Restore(snapshot); err != nil || restored.Budgets["x"].Allocated() != 8 || restored.Budgets["x"].BudgetConfig != s.Budgets["x"].BudgetConfig {
		t.Errorf("restored budget: %v, %+v", err, restored.Budgets["x"])
	}
	s.Apply(Entry{Version: formatVersion, Kind: KindRevoke, Name: "node/b", Token: tokenB})
	if s.Budgets["x"].Allocated() != 1 {
		t.Errorf("after a lease was revoked: %+v, want 1 unit allocated", s.Budgets["x"])
	}
}
