package lease

import (
	"strings"
	"testing"
)

// Never more than the allocatable units are allocated, a move from an earlier quota changes nothing, quotas end with their
// lease, and a snapshot holds all of it; one without budgets can be read by a program that knows none.
func TestQuotasOfABudget(t *testing.T) {
	s := NewState()
	s.Apply(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "fleet"})
	a := s.Apply(Entry{Version: formatVersion, Kind: KindGrant, Name: "node/a", Holder: holder(1)}).Token
	b := s.Apply(Entry{Version: formatVersion, Kind: KindGrant, Name: "node/b", Holder: holder(2)}).Token
	if text, _ := s.Snapshot(); !strings.Contains(string(text), `"version":1`) || strings.Contains(string(text), "budgets") {
		t.Errorf("without budgets: %s", text)
	}
	set := func(revision uint64, units int) Result {
		return s.Apply(Entry{Version: budgetFormatVersion, Kind: KindSetBudget, Name: "x", Budget: &BudgetConfig{Kind: RateKind, Units: units, RatePerUnit: 2, ReservedPerNode: 1, MaxNodes: 2, Revision: revision}})
	}
	if r := set(0, 10); r.Err != nil || r.Token != 1 {
		t.Fatal(r)
	}
	if r := set(0, 20); r.Err != ErrDuplicate || s.Budgets["x"].Units != 10 {
		t.Errorf("declared twice: %v, %+v", r, s.Budgets["x"])
	}
	for _, c := range []struct {
		lease       string
		token, from uint64
		units, want int
	}{
		{"node/a", a, 0, 6, 6},
		{"node/b", b, 0, 3, 0}, // two units are reserved
		{"node/b", a, 0, 2, 0}, // another's lease
		{"node/b", b, 0, 2, 2},
		{"node/a", a, a, 1, 6}, // a token that is not the quota's
		{"node/a", a, 3, 1, 1},
		{"node/b", b, 4, 7, 7},
		{"node/c", 9, 0, 1, 0},
	} {
		s.Apply(Entry{Version: budgetFormatVersion, Kind: KindMoveQuotas, Name: "parts", Moves: []QuotaMove{{"x", c.lease, c.token, c.from, c.units}}})
		if got := s.Budgets["x"].Quotas[c.lease].Units; got != c.want {
			t.Errorf("%+v: %d units", c, got)
		}
	}
	if r := set(1, 4); r.Err != nil || s.Budgets["x"].Limit() != 8 || s.Budgets["x"].Allocated() != 8 {
		t.Errorf("a limit that is lowered: %v, %+v", r, s.Budgets["x"])
	}
	if r := set(1, 5); r.Err != ErrDuplicate {
		t.Errorf("set on an old revision: %v", r)
	}
	text, _ := s.Snapshot()
	fresh := NewState()
	if err := fresh.Restore(text); err != nil || fresh.Budgets["x"].Allocated() != 8 || fresh.Budgets["x"].BudgetConfig != s.Budgets["x"].BudgetConfig {
		t.Errorf("%v: %+v", err, fresh.Budgets["x"])
	}
	s.Apply(Entry{Version: formatVersion, Kind: KindRevoke, Name: "node/b", Token: b})
	if s.Budgets["x"].Allocated() != 1 {
		t.Errorf("%+v", s.Budgets["x"])
	}
}
