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
	defaultReservedFraction = 0.1     // a node's reserved units are its own in normal operation too, so they cost little
	maxUnits                = 1 << 20 // of a budget; also the largest rate a second
	unitRounding            = 1e-9    // corrects the float arithmetic where a product should be whole
)

// Values of a budget's key "bounds".
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
	// Bound is the routing limit that the node's quota is applied to.
	Limit routing.Limit
	// Partner is the tenant whose requests are limited; empty for other limits.
	Tenant string
	// BudgetConfig holds the size: Units of RatePerUnit requests a second each, or of 1 request in flight each.
	// ReservedPerNode is the fraction "apart" of the units, 0.1 by default, divided by the key "nodes" and rounded down.
	lease.BudgetConfig
}

// limitsByResource gives the routing limit for each kind of budget of each resource.
var limitsByResource = map[string]map[string]routing.Limit{
	boundsOrigin:    {lease.RateKind: routing.OriginRate, lease.ConcurrencyKind: routing.OriginConcurrency},
	boundsTenant:    {lease.RateKind: routing.TenantRate},
	boundsDiscovery: {lease.RateKind: routing.DiscoveryRate},
	boundsSlowStart: {lease.RateKind: routing.SlowStartRate},
	boundsCache:     {lease.ConcurrencyKind: routing.CacheConcurrency},
}

var reservedFractionParser = newNumberParser("a share from 0 to 1", func(x float64) bool { return x >= 0 && x <= 1 })

// readBudget reads a budget. earlier are those before it in the list, maxNodes is the most nodes that there may ever be.
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

// checkNameAndKind reports the first fault of the keys that say what the budget is.
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

// readLimit reads what the budget limits, which no earlier one may limit already.
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

// readUnits reads the size of the budget, and returns its units. At fault they are 1, so that the other keys can be checked.
func (b *Budget) readUnits(o object) float64 {
	total := o.numberValue("whole")
	units := total
	b.RatePerUnit = 1
	if b.Kind == lease.RateKind {
		units = o.numberValue("burst")
		if units < 1 || units != math.Trunc(units) || units > maxUnits {
			o.addError("burst", "a whole number, 1 or more: how much of the rate may be saved up, and in how many units it is divided")
			units = 1
		}
		b.RatePerUnit = total / units
	}
	expected, valid := "a number above 0", total > 0 && total <= maxUnits
	if b.Kind == lease.ConcurrencyKind {
		expected, valid = "a whole number above 0", valid && total == math.Trunc(total)
	}
	if !valid {
		o.addError("whole", expected)
		units = 1
	}
	b.Units = int(units)
	return units
}

// readReserved reads the fraction of the units that is reserved for nodes out of contact, and gives each node its part.
func (b *Budget) readReserved(o object, units float64) {
	reserved := defaultReservedFraction
	readOptional(o, "apart", reservedFractionParser, &reserved)
	b.ReservedPerNode = int(reserved*units/float64(b.MaxNodes) + unitRounding)
	if b.Resource == boundsDiscovery && b.ReservedPerNode < 1 {
		o.addError("apart", "a share that leaves each of fleet.nodes a whole unit of burst: a node without the list serves nothing")
	}
}
