package scaletest

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The operators' rates, of their whole fleet.
const (
	machinesNodes   = 19_000
	machinesServers = 5_700
	comeAndGoADay   = 26 + 2_100 // machines that fail, and those that are restarted or replaced
	changesADay     = 12_000     // of configuration
	day             = 24 * time.Hour
)

// In peace the same work is done at each size, so that sizes can be set beside one another.
const (
	listEvery   = time.Second             // an entry changes
	changeEvery = day / changesADay       // of configuration, as the operators have it, and of a budget's whole
	settleSpan  = 4 * time.Second         // until a lease's length has passed since the last node came
	lateMost    = 11 * time.Second        // in which what changed has to be in force at the last node; the operators' bound
	recoverMost = 60 * time.Second        // after a loss
	lostFor     = 5 * time.Second         // until what was lost comes back
	demandEvery = 6 * time.Second         // demand moves to other nodes
	phaseTail   = 1500 * time.Millisecond // after the last change of a phase
)

// What an event changes.
const (
	entryChanges  = "entry"
	nodeRestarts  = "node"
	fileChanges   = "file"
	budgetChanges = "whole"
)

// Event is one change.
type Event struct {
	At    time.Duration // from the start of its phase
	Kind  string
	Index int // of the entry or node
}

// Ratio gives how much faster than the operators' a rate of changes of list entries is.
func Ratio(every time.Duration) float64 {
	return float64(day) / float64(every) / (comeAndGoADay * machinesServers / float64(machinesServers+machinesNodes))
}

// peace gives the events of a quiet time.
func (p *Plan) peace() (all []Event) {
	rnd := rand.New(rand.NewPCG(p.Seed, 1))
	all = p.regular()
	for at := listEvery / 2; at < p.Span-phaseTail; at += listEvery {
		all = append(all, Event{at, entryChanges, rnd.IntN(p.changing())})
	}
	return sorted(all)
}

// churn gives those of ordinary churn, made faster: of the whole fleet, whatever part of it is played.
func (p *Plan) churn() (all []Event) {
	rnd := rand.New(rand.NewPCG(p.Seed, 2))
	all = p.regular()
	rate := p.Faster * comeAndGoADay / day.Seconds() // a second
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / rate
		e := Event{At: time.Duration(at * float64(time.Second)), Kind: nodeRestarts}
		if e.At >= p.Span-phaseTail {
			return sorted(all)
		}
		if rnd.IntN(machinesNodes+machinesServers) < machinesServers {
			e.Kind, e.Index = entryChanges, rnd.IntN(p.changing())
		} else {
			e.Index = rnd.IntN(p.Nodes)
		}
		all = append(all, e)
	}
}

// changing gives how many entries change, the first ones: were all cache servers cold at once, lookups would be deferred.
func (p *Plan) changing() int { return max(1, p.Servers/4) }

// regular gives the changes that come at the operators' own rate.
func (p *Plan) regular() (all []Event) {
	for at := time.Duration(0); at < p.Span-phaseTail; at += changeEvery {
		if p.Has(Configuration) {
			all = append(all, Event{At: at + 200*time.Millisecond, Kind: fileChanges})
		}
		if p.Has(Budget) {
			all = append(all, Event{At: at + 600*time.Millisecond, Kind: budgetChanges})
		}
	}
	return all
}

func sorted(all []Event) []Event {
	slices.SortStableFunc(all, func(a, b Event) int { return int(a.At - b.At) })
	return all
}

// Longest bounds a whole run in time: each phase ends by itself, or with an error.
func (p *Plan) Longest() time.Duration {
	all := 2*time.Minute + settleSpan + p.Span + lateMost // the start, and peace
	for _, w := range p.What {
		switch w {
		case Churn:
			all += p.Span + recoverMost
		case Restart, Rack, Zone, Region, Discovery, Leader:
			all += 2*recoverMost + lostFor
		case Cut:
			all += p.CutFor + recoverMost
		}
	}
	return all
}
