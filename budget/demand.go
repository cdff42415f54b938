package budget

import (
	"math"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/lease"
)

// How the rate of requests is averaged.
const (
	recentWindow = 400 * lease.Millisecond
	meanWindow   = 8000 * lease.Millisecond
	// A recent rate that is off the mean by so many standard deviations of a Poisson process is a shift of demand; steady
	// demand shows one in some ten thousand samples.
	shiftThreshold = 4.5
	shiftDuration  = 1000 * lease.Millisecond // after a shift, for which only the recent rate counts
)

// How the rate is turned into units.
const (
	idleRate            = 0.02 // requests a second up to which there is no demand: a sixth of a request in a mean window
	rateHeadroom        = 0.05 // of the mean, added since demand is uneven; more would starve other nodes
	concurrencyHeadroom = 1.5  // standard deviations added to a mean concurrency
	roundUpUnits        = 0.6  // added before rounding down
)

// When the units reported to the leader are changed.
const (
	demandTolerance    = 0.1                      // of them, that the need may be off,
	minDemandTolerance = 0.6                      // and at least so many units
	lowerDelay         = 2000 * lease.Millisecond // for which demand must have been lower before less is reported
)

// demandEstimate estimates how many units of a budget a node could use.
type demandEstimate struct {
	units int // as reported to the leader

	recentRate         float64 // requests a second over the recent window
	meanRate           float64 // requests a second over the mean window
	meanSpan           float64 // seconds that meanRate covers
	shiftSecondsLeft   float64 // for which meanRate still follows recentRate, since demand has shifted
	meanRequestSeconds float64 // that a request takes

	countedUntil Time
	uncounted    float64 // requests since countedUntil
	lowerSince   Time    // since when fewer units would do, 0: they would not
}

func seconds(t Time) float64 { return float64(t) / float64(1000*lease.Millisecond) }

// record takes in the usage since the last call, and reports whether the rates have been updated: they can't be when no time
// has passed.
func (e *demandEstimate) record(now Time, u allowance.Usage) bool {
	if u.MeanSeconds > 0 {
		e.meanRequestSeconds = u.MeanSeconds
	}
	elapsed := seconds(now - e.countedUntil)
	if elapsed <= 0 {
		e.uncounted += u.Wanted
		return false
	}
	e.countedUntil = now
	e.updateAverages((u.Wanted+e.uncounted)/elapsed, elapsed)
	e.uncounted = 0
	return true
}

// updateAverages takes the rate over the last elapsed seconds into the averages.
func (e *demandEstimate) updateAverages(rate, elapsed float64) {
	e.recentRate += (rate - e.recentRate) * min(1, elapsed/seconds(recentWindow))
	e.meanSpan = min(e.meanSpan+elapsed, seconds(meanWindow))
	e.meanRate += (rate - e.meanRate) * min(1, elapsed/e.meanSpan)
	// The variance of a Poisson rate that is averaged exponentially is the rate divided by twice the window.
	difference := e.recentRate - e.meanRate
	if difference*difference > shiftThreshold*shiftThreshold*max(e.meanRate, 1/seconds(recentWindow))/2/seconds(recentWindow) {
		e.shiftSecondsLeft = seconds(shiftDuration)
	}
	e.shiftSecondsLeft -= elapsed
	if e.hasShifted() {
		e.meanRate = e.recentRate
		e.meanSpan = seconds(recentWindow)
	}
}

// hasShifted reports whether demand has shifted of late.
func (e *demandEstimate) hasShifted() bool { return e.shiftSecondsLeft > 0 }

// need returns how many units the node could use, headroom included and not rounded.
func (e *demandEstimate) need(config lease.BudgetConfig) float64 {
	mean := 0.0
	if config.Kind == lease.RateKind {
		mean = e.meanRate / config.RatePerUnit
	} else {
		mean = e.meanRate * e.meanRequestSeconds // Little's law
		mean += concurrencyHeadroom * math.Sqrt(mean)
	}
	return mean*(1+rateHeadroom) + roundUpUnits
}

// update sets the units to report, and reports whether they have changed. A shift and a rise are followed at once, a fall
// only once it has lasted.
func (e *demandEstimate) update(now Time, config lease.BudgetConfig) bool {
	need := e.need(config)
	units := 0
	if e.meanRate > idleRate {
		units = max(1, min(config.Units, int(need)))
	}
	tolerance := max(minDemandTolerance, demandTolerance*float64(e.units))
	shifted := e.hasShifted() && math.Abs(need-float64(e.units)) > 1+tolerance
	risen := units > e.units && (need >= float64(e.units+1)+tolerance || e.units == 0 || units == config.Units)
	unchanged := units >= e.units || units > 0 && need >= float64(e.units)-tolerance
	switch {
	case shifted || risen:
		return e.setUnits(units)
	case unchanged:
		e.lowerSince = 0
	case e.lowerSince == 0:
		e.lowerSince = now
	case now-e.lowerSince >= lowerDelay:
		return e.setUnits(units)
	}
	return false
}

func (e *demandEstimate) setUnits(units int) bool {
	e.units = units
	e.lowerSince = 0
	return true
}
