package scaletest

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The operators' rates, of their whole fleet.
const (
	fleetNodes           = 19_000
	fleetServers         = 5_700
	machineChangesPerDay = 26 + 2_100 // machines that fail, and those that are restarted or replaced
	configChangesPerDay  = 12_000     // of configuration
	day                  = 24 * time.Hour
)

// In peace the same work is done at each size, so that sizes can be set beside one another.
const (
	entryChangeInterval  = time.Second               // an entry changes
	configChangeInterval = day / configChangesPerDay // of configuration, as the operators have it, and of a budget's whole
	settleDuration       = 4 * time.Second           // until a lease's length has passed since the last node came
	maxPropagation       = 11 * time.Second          // in which what changed has to be in force at the last node; the operators' bound
	maxRecovery          = 60 * time.Second          // after a loss
	outageDuration       = 5 * time.Second           // until what was lost comes back
	demandShiftInterval  = 6 * time.Second           // demand moves to other nodes
	phaseEndMargin       = 1500 * time.Millisecond   // after the last change of a phase
)

// What an event changes.
const (
	changeEntry  = "entry"
	restartNode  = "node"
	changeConfig = "file"
	changeBudget = "whole"
)

// Event is one change.
type ScheduledChange struct {
	Offset time.Duration // from the start of its phase
	Kind   string
	Index  int // of the entry or node
}

// Ratio gives how much faster than the operators' a rate of changes of list entries is.
func EntryChangeFactor(interval time.Duration) float64 {
	return float64(day) / float64(interval) / (machineChangesPerDay * fleetServers / float64(fleetServers+fleetNodes))
}

// peace gives the events of a quiet time.
func (p *Plan) steadyChanges() (changes []ScheduledChange) {
	rnd := rand.New(rand.NewPCG(p.Seed, 1))
	changes = p.periodicChanges()
	for offset := entryChangeInterval / 2; offset < p.PhaseDuration-phaseEndMargin; offset += entryChangeInterval {
		changes = append(changes, ScheduledChange{offset, changeEntry, rnd.IntN(p.changingEntries())})
	}
	return sortByOffset(changes)
}

// churn gives those of ordinary churn, made faster: of the whole fleet, whatever part of it is played.
func (p *Plan) churnChanges() (changes []ScheduledChange) {
	rnd := rand.New(rand.NewPCG(p.Seed, 2))
	changes = p.periodicChanges()
	changesPerSecond := p.ChurnFactor * machineChangesPerDay / day.Seconds() // a second
	for seconds := 0.0; ; {
		seconds += rnd.ExpFloat64() / changesPerSecond
		change := ScheduledChange{Offset: time.Duration(seconds * float64(time.Second)), Kind: restartNode}
		if change.Offset >= p.PhaseDuration-phaseEndMargin {
			return sortByOffset(changes)
		}
		if rnd.IntN(fleetNodes+fleetServers) < fleetServers {
			change.Kind, change.Index = changeEntry, rnd.IntN(p.changingEntries())
		} else {
			change.Index = rnd.IntN(p.HollowNodes)
		}
		changes = append(changes, change)
	}
}

// changing gives how many entries change, the first ones: were all cache servers cold at once, lookups would be deferred.
func (p *Plan) changingEntries() int { return max(1, p.CacheServers/4) }

// regular gives the changes that come at the operators' own rate.
func (p *Plan) periodicChanges() (changes []ScheduledChange) {
	for offset := time.Duration(0); offset < p.PhaseDuration-phaseEndMargin; offset += configChangeInterval {
		if p.Includes(ScenarioConfiguration) {
			changes = append(changes, ScheduledChange{Offset: offset + 200*time.Millisecond, Kind: changeConfig})
		}
		if p.Includes(ScenarioBudget) {
			changes = append(changes, ScheduledChange{Offset: offset + 600*time.Millisecond, Kind: changeBudget})
		}
	}
	return changes
}

func sortByOffset(changes []ScheduledChange) []ScheduledChange {
	slices.SortStableFunc(changes, func(a, b ScheduledChange) int { return int(a.Offset - b.Offset) })
	return changes
}

// Longest bounds a whole run in time: each phase ends by itself, or with an error.
func (p *Plan) MaxDuration() time.Duration {
	total := 2*time.Minute + settleDuration + p.PhaseDuration + maxPropagation // the start, and peace
	for _, scenario := range p.Scenarios {
		switch scenario {
		case ScenarioChurn:
			total += p.PhaseDuration + maxRecovery
		case ScenarioRestart, ScenarioRackLoss, ScenarioZoneLoss, ScenarioRegionLoss, ScenarioDiscoveryOutage, ScenarioLeaderKill:
			total += 2*maxRecovery + outageDuration
		case ScenarioPartition:
			total += p.PartitionDuration + maxRecovery
		}
	}
	return total
}
