package config

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Budget is what a node's papers say of one of its fleet's.
type Budget struct {
	Name    string
	Bound   routing.Limit
	Partner string // whose lookups it bounds, if any's
	lease.BudgetConfig
}

const (
	defaultApart = 0.1 // of the whole, for nodes that are cut off: it is theirs in peace too, so little is lost by it
	weightMost   = 1000.0
)

// What can be bounded, and by which kinds of budget.
var bounds = map[string]map[string]routing.Limit{
	"origin":    {lease.RateKind: routing.OriginRate, lease.ConcurrencyKind: routing.OriginConcurrency},
	"partner":   {lease.RateKind: routing.TenantRate},
	"discovery": {lease.RateKind: routing.DiscoveryRate},
	"cold":      {lease.RateKind: routing.SlowStartRate},
	"cache":     {lease.ConcurrencyKind: routing.CacheConcurrency},
}

// budgets reads the section's budgets. nodes is how many there may ever be, 0: not told.
func budgets(list []any, nodes int, partners []string, fault func(key, expected string)) (all []Budget) {
	for i, v := range list {
		m, _ := v.(map[string]any)
		key := fmt.Sprintf("fleet.budgets[%d].", i)
		b := Budget{BudgetConfig: lease.BudgetConfig{MaxNodes: max(1, nodes), RatePerUnit: 1}}
		b.Name, _ = m["name"].(string)
		b.Kind, _ = m["kind"].(string)
		b.Resource, _ = m["bounds"].(string)
		whole, _ := m["whole"].(float64)
		bound, known := bounds[b.Resource][b.Kind]
		b.Bound = bound
		switch {
		case !lease.ValidName(b.Name) || strings.ContainsAny(b.Name, "./:"):
			fault(key+"name", "a name of letters, digits and -_@")
		case slices.ContainsFunc(all, func(o Budget) bool { return o.Name == b.Name }):
			fault(key+"name", fmt.Sprintf("another name than %q, which a budget before it has", b.Name))
		case bounds[b.Resource] == nil:
			fault(key+"bounds", "one of origin, partner, discovery, cold, cache")
		case !known:
			fault(key+"kind", "for "+b.Resource+" "+strings.Join(sortedKeys(bounds[b.Resource]), " or "))
		}
		if b.Resource == "partner" {
			if b.Partner, _ = m["partner"].(string); !slices.Contains(partners, b.Partner) {
				fault(key+"partner", "the name of one of settings.tenants")
			}
		}
		if slices.ContainsFunc(all, func(o Budget) bool { return o.Bound == b.Bound && o.Partner == b.Partner && known }) {
			fault(key+"bounds", "something that no budget before it bounds already")
		}
		units := whole
		if b.Kind == lease.RateKind {
			if units, _ = m["burst"].(float64); units < 1 || units != math.Trunc(units) || units > 1<<20 {
				fault(key+"burst", "a whole number, 1 or more: how much of the rate may be saved up, and in how many units it is divided")
				units = 1
			}
			b.RatePerUnit = whole / units
		}
		if !(whole > 0) || b.Kind == lease.ConcurrencyKind && whole != math.Trunc(whole) || whole > 1<<20 {
			fault(key+"whole", map[bool]string{true: "a whole number above 0", false: "a number above 0"}[b.Kind == lease.ConcurrencyKind])
			units = 1
		}
		apart := defaultApart
		if v, found := find(m, "apart"); found {
			if x, ok := v.(float64); ok && x >= 0 && x <= 1 {
				apart = x
			} else {
				fault(key+"apart", "a share from 0 to 1")
			}
		}
		b.Units = int(units)
		b.ReservedPerNode = int(apart*units/float64(b.MaxNodes) + 1e-9)
		if b.Resource == "discovery" && b.ReservedPerNode < 1 {
			fault(key+"apart", "a share that leaves each of fleet.nodes a whole unit of burst: a node without the list serves nothing")
		}
		all = append(all, b)
	}
	return all
}

func sortedKeys[T any](m map[string]T) (all []string) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}
