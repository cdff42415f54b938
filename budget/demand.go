package budget

import (
	"math"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/lease"
)

// Averaging of the request rate.
const (
	recentWindow = 400 * lease.Millisecond
	meanWindow   = 8000 * lease.Millisecond
	// Demand has shifted if the recent rate differs from the mean rate by more than shiftThreshold standard deviations of a
	// Poisson process. Steady demand exceeds this threshold in about one of ten thousand samples.
	shiftThreshold = 4.5
	// For shiftDuration after a shift only the recent rate counts.
	shiftDuration = 1000 * lease.Millisecond
)

// Conversion of the request rate to units.
const (
	idleRate            = 0.02 // highest rate, in requests per second, without demand: a sixth of a request in meanWindow
	rateHeadroom        = 0.05 // fraction of the mean that is added because demand is uneven; more would starve other nodes
	concurrencyHeadroom = 1.5  // number of standard deviations that are added to the mean concurrency
	roundUpUnits        = 0.6  // units that are added before rounding down
)

// Hysteresis of the units reported to the leader.
const (
	// The reported units stay while the need differs from them by at most demandTolerance, a fraction of the reported units,
	// or by at most minDemandTolerance units.
	demandTolerance    = 0.1
	minDemandTolerance = 0.6
	// Fewer units are reported only after demand has been lower for lowerDelay.
	lowerDelay = 2000 * lease.Millisecond
)

// demandEstimate estimates how many units of a budget a node could use.
type demandEstimate struct {
	units int // units reported to the leader

	recentRate         float64 // requests per second, averaged over recentWindow
	meanRate           float64 // requests per second, averaged over meanWindow
	meanSpan           float64 // seconds that meanRate covers, up to meanWindow
	shiftSecondsLeft   float64 // remaining seconds for which meanRate equals recentRate after a shift of demand
	meanRequestSeconds float64 // mean duration of a request

	countedUntil Time    // time of the last update of the rates
	uncounted    float64 // requests recorded since countedUntil but not in the rates yet
	lowerSince   Time    // start of the period for which the node has needed fewer units than reported, 0: none
}

func seconds(t Time) float64 { return float64(t) / float64(1000*lease.Millisecond) }

// record adds the usage since the previous call. It reports whether the rates have been updated. If no time has passed since
// the last update, the rates stay and the requests count towards the next update.
func (e *demandEstimate) record(now Time, u quotalimit.Usage) bool {
	if u.MeanSeconds > 0 {
		e.meanRequestSeconds = u.MeanSeconds
	}
	elapsed := seconds(now - e.countedUntil)
	if elapsed <= 0 {
		e.uncounted += u.Requested
		return false
	}
	e.countedUntil = now
	e.updateAverages((u.Requested+e.uncounted)/elapsed, elapsed)
	e.uncounted = 0
	return true
}

// updateAverages adds the rate of the last elapsed seconds to the averages.
func (e *demandEstimate) updateAverages(rate, elapsed float64) {
	e.recentRate += (rate - e.recentRate) * min(1, elapsed/seconds(recentWindow))
	e.meanSpan = min(e.meanSpan+elapsed, seconds(meanWindow))
	e.meanRate += (rate - e.meanRate) * min(1, elapsed/e.meanSpan)
	// The variance of the exponential moving average of a Poisson process is its rate divided by twice the window.
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

// hasShifted reports whether demand has shifted within the last shiftDuration.
func (e *demandEstimate) hasShifted() bool { return e.shiftSecondsLeft > 0 }

// need returns how many units the node could use, including headroom and before rounding down.
func (e *demandEstimate) need(config lease.BudgetConfig) float64 {
	mean := 0.0
	if config.Kind == lease.BudgetKindRate {
		mean = e.meanRate / config.RatePerUnit
	} else {
		mean = e.meanRate * e.meanRequestSeconds // Little's law
		mean += concurrencyHeadroom * math.Sqrt(mean)
	}
	return mean*(1+rateHeadroom) + roundUpUnits
}

// update sets the units to report to the leader. It returns true if it has set them. A shift of demand and a rise above the
// tolerance take effect immediately, a fall only after lowerDelay.
func (e *demandEstimate) update(now Time, config lease.BudgetConfig) bool {
	need := e.need(config)
	units := 0
	if e.meanRate > idleRate {
		units = max(1, min(config.Units, int(need)))
	}
	tolerance := max(minDemandTolerance, demandTolerance*float64(e.units))
	shiftDetected := e.hasShifted() && math.Abs(need-float64(e.units)) > 1+tolerance
	riseDetected := units > e.units && (need >= float64(e.units+1)+tolerance || e.units == 0 || units == config.Units)
	withinTolerance := units >= e.units || units > 0 && need >= float64(e.units)-tolerance
	switch {
	case shiftDetected || riseDetected:
		return e.setUnits(units)
	case withinTolerance:
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
