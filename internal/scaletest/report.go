//go:build faults

package scaletest

import (
	"fmt"
)

// Report is the result of a run.
type Report struct {
	Measurements   []Measurement
	Lines          []string
	ExceededBounds []string
	VoidReason     string // why exceeded bounds show nothing about the program; empty if they do
}

// addLine adds a line to the report and logs it.
func (r *run) addLine(format string, args ...any) {
	r.report.Lines = append(r.report.Lines, fmt.Sprintf(format, args...))
	r.logf(format, args...)
}

// addExceededBound adds an exceeded bound to the report.
func (r *run) addExceededBound(format string, args ...any) {
	r.report.ExceededBounds = append(r.report.ExceededBounds, fmt.Sprintf(format, args...))
}

// addMeasurement adds a measured value to the report.
func (r *run) addMeasurement(phase, role, metric string, value float64) {
	r.report.Measurements = append(r.report.Measurements, Measurement{r.HollowNodes, r.RealNodes, r.CacheServers, r.Seed, phase, role, metric, value})
}

// reportLatencies adds latencies to the report, as measurements and as a line. Missing events are an exceeded bound.
func (r *run) reportLatencies(phase, label string, latencies Latencies) {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	if latencies.PerNode.TotalCount() > 0 {
		for _, percentile := range []float64{50, 99, 100} {
			name := fmt.Sprintf("p%g", percentile)
			if percentile == 100 {
				name = "worst"
			}
			r.addMeasurement(phase, "node", fmt.Sprintf("%s %s ms", label, name), ms(latencies.PerNode.ValueAtPercentile(percentile)))
			r.addMeasurement(phase, "last node", fmt.Sprintf("%s %s ms", label, name), ms(latencies.LastNode.ValueAtPercentile(percentile)))
		}
		r.addLine("%s: %s: p50 %.1f, p99 %.1f, worst %.1f ms of %d; at the last node p50 %.1f, p99 %.1f, worst %.1f of %d; missing %d", phase, label,
			ms(latencies.PerNode.ValueAtPercentile(50)), ms(latencies.PerNode.ValueAtPercentile(99)), ms(latencies.PerNode.Max()),
			latencies.PerNode.TotalCount(),
			ms(latencies.LastNode.ValueAtPercentile(50)), ms(latencies.LastNode.ValueAtPercentile(99)), ms(latencies.LastNode.Max()),
			latencies.LastNode.TotalCount(), latencies.Missing)
	}
	if r.addMeasurement(phase, "node", label+" missing", float64(latencies.Missing)); latencies.Missing > 0 {
		r.addExceededBound("%s: %s: %d times not in time", phase, label, latencies.Missing)
	}
}

// reportRenewals reports the durations of lease renewals, and the numbers of failed requests and lost leases.
func (r *run) reportRenewals(phase string) {
	latencies, failed, lost := newLatencies(), 0, 0
	for _, event := range r.nodeEvents {
		switch event.Kind {
		case eventLeaseRenewed:
			recordLatency(latencies.PerNode, event.Value)
			recordLatency(latencies.LastNode, event.Value)
		case eventLeaseRequestFailed:
			failed++
		case eventLeaseLost:
			lost++
		}
	}
	r.reportLatencies(phase, "a renewal", latencies)
	r.addMeasurement(phase, "node", "askings that came to nothing", float64(failed))
	r.addMeasurement(phase, "node", "leases lost", float64(lost))
	r.addLine("%s: askings for leases that came to nothing %d, leases lost %d", phase, failed, lost)
}

// reportLostLeases reports how many leases were lost in a scenario.
func (r *run) reportLostLeases(scenario string) {
	lost := 0
	for _, event := range r.nodeEvents {
		if event.Kind == eventLeaseLost {
			lost++
		}
	}
	r.addMeasurement(scenario, "node", "leases lost", float64(lost))
	r.addLine("%s: leases lost %d", scenario, lost)
}
