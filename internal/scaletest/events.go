package scaletest

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The size of the operators' whole fleet, and the rates of changes in it.
const (
	fleetNodes           = 19_000
	fleetServers         = 5_700
	machineChangesPerDay = 26 + 2_100 // machines that fail, plus machines that are restarted or replaced
	configChangesPerDay  = 12_000
	day                  = 24 * time.Hour
)

// Timing of the phases. Without churn, the rate of changes is the same for each fleet size, so that results of different sizes can
// be compared.
const (
	entryChangeInterval  = time.Second               // in the phase without churn
	configChangeInterval = day / configChangesPerDay // the operators' rate, also used for changes of the budget's limit
	settleDuration       = 4 * time.Second           // longer than a lease, so that each node has renewed its lease since the start
	maxPropagation       = 11 * time.Second          // the operators' bound on the time until a change is in force at the last node
	maxRecovery          = 60 * time.Second          // until all nodes are back after a loss
	outageDuration       = 5 * time.Second           // until lost machines, or the discovery service, come back
	demandShiftInterval  = 6 * time.Second           // how often high demand moves to other nodes
	phaseEndMargin       = 1500 * time.Millisecond   // no changes at the end of a phase, so that the last one can come into force
)

// Kinds of scheduled changes.
const (
	changeEntry  = "entry"
	restartNode  = "node"
	changeConfig = "file"
	changeBudget = "whole"
)

// ScheduledChange is a change that a phase applies.
type ScheduledChange struct {
	Offset time.Duration // from the start of the phase
	Kind   string
	Index  int // number of the entry or node
}

// EntryChangeFactor returns how many times more often list entries change at this interval than in the operators' whole fleet.
func EntryChangeFactor(interval time.Duration) float64 {
	return float64(day) / float64(interval) / (machineChangesPerDay * fleetServers / float64(fleetServers+fleetNodes))
}

// steadyChanges returns the changes of a phase without churn, by offset.
func (p *Plan) steadyChanges() (changes []ScheduledChange) {
	rnd := rand.New(rand.NewPCG(p.Seed, 1))
	changes = p.periodicChanges()
	for offset := entryChangeInterval / 2; offset < p.PhaseDuration-phaseEndMargin; offset += entryChangeInterval {
		changes = append(changes, ScheduledChange{offset, changeEntry, rnd.IntN(p.changingEntries())})
	}
	return sortByOffset(changes)
}

// churnChanges returns the changes of a phase with churn, by offset. Their rate is the operators' rate times ChurnFactor. It is the
// rate of the whole fleet, even if the run has fewer nodes.
func (p *Plan) churnChanges() (changes []ScheduledChange) {
	rnd := rand.New(rand.NewPCG(p.Seed, 2))
	changes = p.periodicChanges()
	changesPerSecond := p.ChurnFactor * machineChangesPerDay / day.Seconds() // the rate of the whole fleet
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

// changingEntries returns how many of the first entries may change. If all cache servers were cold at once, lookups would be
// deferred.
func (p *Plan) changingEntries() int { return max(1, p.CacheServers/4) }

// periodicChanges returns the changes of configuration and budget, at the operators' own rate.
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

// sortByOffset sorts the changes in place and returns them. Changes with the same offset keep their order.
func sortByOffset(changes []ScheduledChange) []ScheduledChange {
	slices.SortStableFunc(changes, func(a, b ScheduledChange) int { return int(a.Offset - b.Offset) })
	return changes
}

// MaxDuration returns an upper bound on the duration of the whole run. Each phase is expected to end earlier.
func (p *Plan) MaxDuration() time.Duration {
	total := 2*time.Minute + settleDuration + p.PhaseDuration + maxPropagation // the start, and the phase without churn
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
