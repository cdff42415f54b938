package lease

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// update rewrites the golden files. A changed golden file means that stored data can no longer be read: such a change needs a
// new format version.
var update = flag.Bool("update", false, "rewrite the golden files")

// checkGolden compares got with a file under testdata/golden and returns the contents of the file.
func checkGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, append(got, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want = bytes.TrimSuffix(want, []byte("\n"))
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n got %s\nwant %s", name, got, want)
	}
	return want
}

// goldenEntries returns an entry of each kind.
func goldenEntries() map[string]Entry {
	holder := Holder{Name: "n1", Process: 4711, Start: 1764750000000001}
	budget := &BudgetConfig{Kind: BudgetKindRate, Resource: "origin", Units: 40, RatePerUnit: 2.5, ReservedPerNode: 1, MaxNodes: 4, Revision: 3}
	return map[string]Entry{
		KindFoundCluster: {Version: 1, Kind: KindFoundCluster, Name: "f", Number: 17},
		KindNewTerm:      {Version: 1, Kind: KindNewTerm, Name: "n1"},
		KindGrant:        {Version: 1, Kind: KindGrant, Term: 3, Name: "roll-up", Holder: holder},
		KindRevoke:       {Version: 1, Kind: KindRevoke, Term: 3, Name: "roll-up", Token: 19},
		KindEffect:       {Version: 1, Kind: KindEffect, Name: "roll-up", Token: 19, Effect: "roll-up/x", Number: 5, Value: []byte("<v&\x00")},
		KindSetBudget:    {Version: 2, Kind: KindSetBudget, Term: 3, Name: "origin-rate", Budget: budget},
		KindMoveQuotas: {Version: 2, Kind: KindMoveQuotas, Term: 3, Name: "n1", Moves: []QuotaChange{
			{Budget: "origin-rate", Lease: "node/n1", Token: 19, FromToken: 20, Units: 7},
			{Budget: "origin-rate", Lease: "node/n2", Token: 21}}},
	}
}

// Entries are stored in the voters' logs, so later versions of the program must be able to read them.
func TestEntryStoredFormUnchanged(t *testing.T) {
	for kind, e := range goldenEntries() {
		encoded, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		stored := checkGolden(t, "entry-"+kind+".json", encoded)
		decoded, err := DecodeEntry(stored)
		if err != nil || !reflect.DeepEqual(decoded, e) {
			t.Errorf("%s: decoded %+v, %v, want %+v", kind, decoded, err, e)
		}
	}
}

// goldenState returns a state with a lease, an effect and, if withBudget, a budget with a quota.
func goldenState(t *testing.T, withBudget bool) *State {
	t.Helper()
	s := NewState()
	holder := Holder{Name: "n1", Process: 4711, Start: 1764750000000001}
	entries := []Entry{
		{Kind: KindFoundCluster, Name: "f", Number: 17},
		{Kind: KindNewTerm, Name: "n2"},
		{Kind: KindNewTerm, Name: "n1"},
		{Kind: KindGrant, Term: 2, Name: "node/n1", Holder: holder},
		{Kind: KindEffect, Name: "node/n1", Token: 18, Effect: "node/n1", Number: 18, Value: []byte("10.0.0.1:7100")},
	}
	if withBudget {
		entries = append(entries,
			Entry{Kind: KindSetBudget, Term: 2, Name: "origin-rate",
				Budget: &BudgetConfig{Kind: BudgetKindRate, Resource: "origin", Units: 40, RatePerUnit: 2.5, ReservedPerNode: 1, MaxNodes: 4}},
			Entry{Kind: KindMoveQuotas, Term: 2, Name: "n1", Moves: []QuotaChange{{Budget: "origin-rate", Lease: "node/n1", Token: 18, Units: 7}}})
	}
	for _, e := range entries {
		stored, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeEntry(stored)
		if err != nil {
			t.Fatal(err)
		}
		if r := s.Apply(decoded); r.Err != nil {
			t.Fatal(e.Kind, r.Err)
		}
	}
	return s
}

// Snapshots are stored by the voters, so later versions of the program must be able to read them. Format version 1 has no
// budgets, version 2 has.
func TestSnapshotStoredFormUnchanged(t *testing.T) {
	for name, withBudget := range map[string]bool{"snapshot-1.json": false, "snapshot-2.json": true} {
		s := goldenState(t, withBudget)
		encoded, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		stored := checkGolden(t, name, encoded)
		restored := NewState()
		if err := restored.Restore(stored); err != nil || !reflect.DeepEqual(restored, s) {
			t.Errorf("%s: restored %+v, %v, want %+v", name, restored, err, s)
		}
	}
}
