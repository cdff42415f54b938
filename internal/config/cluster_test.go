package config

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

// All values of a valid section "fleet" are read. The error for an invalid value names the key and what was expected.
// The section ends with the key "settings", because readWith replaces that key of the valid file with the section.
func TestReadFleetSectionValuesAndErrors(t *testing.T) {
	const section = `"fleet":{"name":"f","address":"127.0.0.1:7100","folder":"/x","lease_ms":2000.0,"drift":0.02,"delay_ms":40.0,
"voters":[{"name":"n3","address":"127.0.0.1:7100"},{"name":"n4","address":"127.0.0.2:7100"},{"name":"n5","address":"127.0.0.3:7100"}],
"tasks":["probe","roll-up"],"routes":{"127.0.0.2:7100":"127.0.0.9:1"}},"settings"`
	readWith := func(old, replacement string) (*Node, error) {
		if !strings.Contains(section, old) {
			t.Fatalf("no %s in the section", old)
		}
		return readEdited(t, `"settings"`, strings.Replace(section, old, replacement, 1))
	}
	node, err := readWith("", "")
	if err != nil {
		t.Fatal(err)
	}
	if c := node.Cluster; c.Name != "f" || c.Node != "n3" || c.Lease != 2*time.Second || c.MaxDrift != 0.02 || c.MaxDelay != 40*time.Millisecond ||
		len(c.Voters) != 3 || c.Voters[2] != (Voter{"n5", "127.0.0.3:7100"}) || len(c.Tasks) != 2 || c.DialOverrides["127.0.0.2:7100"] == "" {
		t.Errorf("%+v", c)
	}
	for wantErr, edit := range map[string][2]string{
		"fleet.name: expected":                              {`"name":"f"`, `"name":"f f"`},
		"fleet.address: expected an address":                {`"address":"127.0.0.1:7100","folder"`, `"address":"here","folder"`},
		"fleet.folder: expected a folder":                   {`"folder":"/x",`, ``},
		"fleet.lease_ms: expected 20 delays":                {`"lease_ms":2000.0`, `"lease_ms":700.0`},
		"fleet.lease_ms: expected a time":                   {`"lease_ms":2000.0`, `"lease_ms":"2s"`},
		"fleet.drift: expected a share":                     {`0.02`, `0.3`},
		"fleet.voters: expected a list of 3 or 5":           {`,{"name":"n5","address":"127.0.0.3:7100"}`, ``},
		"fleet.voters[1].name: expected another name":       {`"n4"`, `"n3"`},
		"fleet.voters[1].address: expected another address": {`127.0.0.2:7100"}`, `127.0.0.1:7100"}`},
		"fleet.voters[0].address: expected \"127":           {`{"name":"n3","address":"127.0.0.1:7100"}`, `{"name":"n3","address":"127.0.0.8:7100"}`},
		"fleet.voters[2].name: expected a name":             {`"n5"`, `5`},
		"fleet.tasks: expected a list of probe, roll-up":    {`"roll-up"`, `"tea"`},
		"fleet.routes: expected addresses":                  {`"127.0.0.9:1"`, `"there"`},
	} {
		if _, err := readWith(edit[0], edit[1]); err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("%v: want %s", err, wantErr)
		}
	}
}

// Valid budgets are converted to integer units: one unit for each request of the burst of a rate, or for each concurrent
// request. The rate of one unit is whole/burst. The error for an invalid value names the key and what was expected.
func TestReadBudgetsValuesAndErrors(t *testing.T) {
	const section = `"fleet":{"name":"f","address":"127.0.0.1:7100","voters":[{"name":"a","address":"127.0.0.7:7100"},{"name":"b","address":"127.0.0.2:7100"},
{"name":"c","address":"127.0.0.3:7100"}],"nodes":10,"weight":2.5,"budgets":[{"name":"fetches","kind":"rate","bounds":"origin","whole":100,"burst":200},
{"name":"room","kind":"number","bounds":"origin","whole":40,"apart":0.5},{"name":"acme","kind":"rate","bounds":"partner","partner":"acme","whole":50,"burst":5}]},"settings"`
	readWith := func(old, replacement string) (*Node, error) {
		if !strings.Contains(section, old) {
			t.Fatalf("no %s in the section", old)
		}
		return readEdited(t, `"settings"`, strings.Replace(section, old, replacement, 1))
	}
	node, err := readWith("", "")
	if err != nil {
		t.Fatal(err)
	}
	want := []Budget{{"fetches", routing.OriginRate, "", lease.BudgetConfig{Kind: "rate", Resource: "origin", Units: 200, RatePerUnit: 0.5, ReservedPerNode: 2, MaxNodes: 10}},
		{"room", routing.OriginConcurrency, "", lease.BudgetConfig{Kind: "number", Resource: "origin", Units: 40, RatePerUnit: 1, ReservedPerNode: 2, MaxNodes: 10}},
		{"acme", routing.TenantRate, "acme", lease.BudgetConfig{Kind: "rate", Resource: "partner", Units: 5, RatePerUnit: 10, MaxNodes: 10}}}
	if !reflect.DeepEqual(node.Cluster.Budgets, want) || node.Cluster.Weight != 2.5 {
		t.Errorf("%+v, weight %g", node.Cluster.Budgets, node.Cluster.Weight)
	}
	for wantErr, edit := range map[string][2]string{
		"fleet.nodes: expected a whole number":                {`"nodes":10,`, ``},
		"fleet.weight: expected a number above 0":             {`2.5`, `0`},
		"fleet.budgets[0].name: expected a name":              {`"fetches"`, `"a.b"`},
		"fleet.budgets[1].name: expected another name":        {`"room"`, `"fetches"`},
		"fleet.budgets[0].bounds: expected one of":            {`"bounds":"origin"`, `"bounds":"tea"`},
		"fleet.budgets[2].kind: expected for partner rate":    {`"rate","bounds":"partner"`, `"number","bounds":"partner"`},
		"fleet.budgets[2].partner: expected the name":         {`"partner":"acme"`, `"partner":"nobody"`},
		"fleet.budgets[1].bounds: expected something that no": {`"number"`, `"rate"`},
		"fleet.budgets[0].burst: expected a whole number":     {`"burst":200`, `"burst":0.5`},
		"fleet.budgets[1].whole: expected a whole number":     {`40`, `4.5`},
		"fleet.budgets[0].whole: expected a number":           {`"whole":100`, `"whole":-1`},
		"fleet.budgets[1].apart: expected a share":            {`0.5`, `2`},
		"fleet.budgets[2].apart: expected a share that":       {`"bounds":"partner"`, `"bounds":"discovery"`},
	} {
		if _, err := readWith(edit[0], edit[1]); err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("%v: want %s", err, wantErr)
		}
	}
}
