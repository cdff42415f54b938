package config

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

const (
	defaultReservedFraction = 0.1     // of the units; low cost, since a node uses its reserved units in normal operation too
	maxUnits                = 1 << 20 // of a budget; also the maximum rate per second
	unitRounding            = 1e-9    // makes up for floating-point errors in products that should be integers
)

// Values of the key "bounds" of a budget.
const (
	boundsOrigin    = "origin"
	boundsTenant    = "partner"
	boundsDiscovery = "discovery"
	boundsSlowStart = "cold"
	boundsCache     = "cache"
)

// Budget is a limit that all nodes of a cluster share.
type Budget struct {
	// Name is unique among the budgets. Required.
	Name string
	// Limit is the routing limit that the node applies its quota of the budget to.
	Limit routing.Limit
	// Tenant is the name of the tenant whose requests are limited; empty if the limit is not per tenant.
	Tenant string
	// BudgetConfig holds the size of the budget. Each of its Units stands for RatePerUnit requests per second, or for 1 request
	// in flight. ReservedPerNode is the fraction "apart" of the units, 0.1 by default, divided by the key "nodes" and rounded
	// down.
	lease.BudgetConfig
}

// limitsByResource maps a resource and a kind of budget to the routing limit.
var limitsByResource = map[string]map[string]routing.Limit{
	boundsOrigin:    {lease.BudgetKindRate: routing.OriginRate, lease.BudgetKindConcurrency: routing.OriginConcurrency},
	boundsTenant:    {lease.BudgetKindRate: routing.TenantRate},
	boundsDiscovery: {lease.BudgetKindRate: routing.DiscoveryRate},
	boundsSlowStart: {lease.BudgetKindRate: routing.SlowStartRate},
	boundsCache:     {lease.BudgetKindConcurrency: routing.CacheConcurrency},
}

var reservedFractionParser = newNumberParser("a share from 0 to 1", func(x float64) bool { return x >= 0 && x <= 1 })

// readBudget reads one budget. earlier are the budgets before it in the list, and maxNodes is the maximum number of nodes that the
// cluster can ever have.
func readBudget(o object, earlier []Budget, maxNodes int, tenants []string) Budget {
	b := Budget{Name: o.stringValue("name")}
	b.Kind = o.stringValue("kind")
	b.Resource = o.stringValue("bounds")
	b.MaxNodes = maxNodes
	b.checkNameAndKind(o, earlier)
	b.readLimit(o, earlier, tenants)
	units := b.readUnits(o)
	b.readReserved(o, units)
	return b
}

// checkNameAndKind reports the first error in the keys "name", "bounds" and "kind".
func (b *Budget) checkNameAndKind(o object, earlier []Budget) {
	sameName := func(other Budget) bool { return other.Name == b.Name }
	kinds := limitsByResource[b.Resource]
	_, supported := kinds[b.Kind]
	switch {
	case !lease.ValidName(b.Name) || strings.ContainsAny(b.Name, "./:"):
		o.addError("name", "a name of letters, digits and -_@")
	case slices.ContainsFunc(earlier, sameName):
		o.addError("name", fmt.Sprintf("another name than %q, which a budget before it has", b.Name))
	case kinds == nil:
		o.addError("bounds", "one of origin, partner, discovery, cold, cache")
	case !supported:
		names := slices.Sorted(maps.Keys(kinds))
		o.addError("kind", "for "+b.Resource+" "+strings.Join(names, " or "))
	}
}

// readLimit sets the routing limit and the tenant of the budget. Two budgets with the same limit and tenant are an error.
func (b *Budget) readLimit(o object, earlier []Budget, tenants []string) {
	limit, supported := limitsByResource[b.Resource][b.Kind]
	b.Limit = limit
	if b.Resource == boundsTenant {
		b.Tenant = o.stringValue("partner")
		if !slices.Contains(tenants, b.Tenant) {
			o.addError("partner", "the name of one of settings.tenants")
		}
	}
	sameLimit := func(other Budget) bool { return other.Limit == b.Limit && other.Tenant == b.Tenant }
	if supported && slices.ContainsFunc(earlier, sameLimit) {
		o.addError("bounds", "something that no budget before it bounds already")
	}
}

// readUnits reads the size of the budget and returns the number of units. If a key is invalid it returns 1, so that the remaining
// keys can be checked.
func (b *Budget) readUnits(o object) float64 {
	total := o.numberValue("whole")
	units := total
	b.RatePerUnit = 1
	if b.Kind == lease.BudgetKindRate {
		units = o.numberValue("burst")
		if units < 1 || units != math.Trunc(units) || units > maxUnits {
			o.addError("burst", "a whole number, 1 or more: how much of the rate may be saved up, and in how many units it is divided")
			units = 1
		}
		b.RatePerUnit = total / units
	}
	expected, valid := "a number above 0", total > 0 && total <= maxUnits
	if b.Kind == lease.BudgetKindConcurrency {
		expected, valid = "a whole number above 0", valid && total == math.Trunc(total)
	}
	if !valid {
		o.addError("whole", expected)
		units = 1
	}
	b.Units = int(units)
	return units
}

// readReserved reads the fraction of the units that is reserved for nodes without contact to the cluster, and sets the reserved
// units per node.
func (b *Budget) readReserved(o object, units float64) {
	reserved := defaultReservedFraction
	readOptional(o, "apart", reservedFractionParser, &reserved)
	b.ReservedPerNode = int(reserved*units/float64(b.MaxNodes) + unitRounding)
	if b.Resource == boundsDiscovery && b.ReservedPerNode < 1 {
		o.addError("apart", "a share that leaves each of fleet.nodes a whole unit of burst: a node without the list serves nothing")
	}
}
