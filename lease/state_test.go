package lease

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Random entries give the same results as a simple model, with a snapshot and a restore after each entry. Tokens only
// increase, and an effect applies at most once and only with the current token.
func TestStateMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, lastToken, lastNumbers := NewState(), uint64(0), map[string]uint64{}
		held := map[string]Lease{}
		s.Apply(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "fleet"})
		for range 200 {
			e := Entry{Version: formatVersion, Kind: rapid.SampledFrom([]string{KindGrant, KindRevoke, KindEffect, KindNewTerm, KindFoundCluster}).Draw(t, "kind"),
				Name:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
				Holder: holder(rapid.IntRange(0, 2).Draw(t, "holder")), Number: uint64(rapid.IntRange(1, 9).Draw(t, "number")),
				Token: uint64(max(0, int(lastToken)-rapid.IntRange(0, 2).Draw(t, "age")))}
			e.Effect = e.Name
			lease, isHeld := held[e.Name]
			r := s.Apply(e)
			var want error
			switch e.Kind {
			case KindFoundCluster:
				want = ErrAlreadyFounded
			case KindGrant:
				if isHeld && lease.Holder != e.Holder {
					want = ErrHeld
				} else if !isHeld {
					lastToken++
					held[e.Name] = Lease{e.Holder, lastToken}
					if r.Token != lastToken {
						t.Fatalf("token %d, want %d", r.Token, lastToken)
					}
				}
			case KindRevoke, KindEffect:
				switch {
				case !isHeld || lease.Token != e.Token:
					want = ErrLeaseExpired
				case e.Kind == KindRevoke:
					delete(held, e.Name)
				case e.Number <= lastNumbers[e.Name]:
					want = ErrDuplicate
				default:
					lastNumbers[e.Name] = e.Number
				}
			}
			if !errors.Is(r.Err, want) {
				t.Fatalf("%+v: %v, want %v", e, r.Err, want)
			}
			snapshot, err := s.Snapshot()
			if s = NewState(); err != nil || s.Restore(snapshot) != nil {
				t.Fatal(err)
			}
		}
	})
}

// Malformed entries and snapshots are refused with an error that names the fault. A refused snapshot does not change the state.
func TestMalformedEntriesAndSnapshotsRefused(t *testing.T) {
	s := NewState()
	s.Apply(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "fleet"})
	s.Apply(Entry{Version: formatVersion, Kind: KindGrant, Name: "a", Holder: holder(1)})
	for want, e := range map[string]Entry{
		`version 9 of a "grant" entry`: {Version: 9, Kind: KindGrant, Name: "a"},
		"name":                         {Version: formatVersion, Kind: KindGrant, Name: strings.Repeat("a", maxNameBytes+1)},
		"unknown kind":                 {Version: formatVersion, Kind: "budget", Name: "a"},
		`version 1 of a "whole" entry`: {Version: formatVersion, Kind: KindSetBudget, Name: "a"},
		"no budget given":              {Version: budgetFormatVersion, Kind: KindSetBudget, Name: "a"},
		"rate or number":               {Version: budgetFormatVersion, Kind: KindSetBudget, Name: "a", Budget: &BudgetConfig{Kind: "x", Units: 1, MaxNodes: 1}},
		"0 units":                      {Version: budgetFormatVersion, Kind: KindSetBudget, Name: "a", Budget: &BudgetConfig{Kind: BudgetKindConcurrency, MaxNodes: 1}},
		"0 a second":                   {Version: budgetFormatVersion, Kind: KindSetBudget, Name: "a", Budget: &BudgetConfig{Kind: BudgetKindRate, Units: 1, MaxNodes: 1}},
		"expected 12 or more":          {Version: budgetFormatVersion, Kind: KindSetBudget, Name: "a", Budget: &BudgetConfig{Kind: BudgetKindConcurrency, Units: 9, ReservedPerNode: 3, MaxNodes: 4}},
		"16384 at most":                {Version: budgetFormatVersion, Kind: KindMoveQuotas, Name: "a", Moves: make([]QuotaChange, maxMovesPerEntry+1)},
		"is not \"a\"":                 {Version: formatVersion, Kind: KindEffect, Name: "a", Token: 1, Effect: "ab"},
		"4096 at most":                 {Version: formatVersion, Kind: KindEffect, Name: "a", Token: 1, Effect: "a", Value: make([]byte, maxValueBytes+1)},
	} {
		if r := s.Apply(e); r.Err == nil || !strings.Contains(r.Err.Error(), want) {
			t.Errorf("%v: want %s", r.Err, want)
		}
	}
	before, _ := s.Snapshot()
	for snapshot, want := range map[string]string{`{"version":3}`: "snapshot version 3: this program reads versions 1 and 2", `{`: "snapshot"} {
		if err := s.Restore([]byte(snapshot)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: want %s", err, want)
		}
	}
	if after, _ := s.Snapshot(); !slices.Equal(before, after) {
		t.Error("refused snapshot changed the state")
	}
}
