package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	maxConcurrentCollections = 16 // nodes called at once
	maxListedNodes           = 32 // missing nodes named in a report; the report has to fit into the value of an effect
)

// rollUpReport has the sums of all nodes' metrics at the end of a period.
type rollUpReport struct {
	Nodes   int              `json:"nodes"`
	Missing []string         `json:"missing,omitempty"` // nodes that hold the leases of their names but didn't answer
	Sums    map[string]int64 `json:"sums"`              // since the start of each node
}

// wallClock returns the time that determines the periods of the roll-up. Tests replace it to step the clock.
var wallClock = clock.Wall

// rollUp is the roll-up task: it logs one report of the whole cluster at the end of each period. The replicated state has the
// number of the last period, so that no period is logged twice. If a period was not logged, the next report logs it as a gap.
func (m *Member) rollUp(ctx context.Context, held *HeldLease) bool {
	period := m.config.RollUpInterval
	for {
		current := wallClock()
		end := current.Truncate(period).Add(period)
		select {
		case <-ctx.Done():
			return true
		case <-time.After(end.Sub(current)):
		}
		if !m.rollUpPeriod(held, end) {
			return true
		}
	}
}

// rollUpPeriod reports the period that ends at the given time. It returns false if the lease is lost.
func (m *Member) rollUpPeriod(held *HeldLease, end time.Time) (leaseHeld bool) {
	period := m.config.RollUpInterval
	number := uint64(end.UnixMilli() / period.Milliseconds())
	status, err := m.client.Status()
	if err != nil {
		m.log.Warn("roll-up skipped, the cluster's status is unknown", zap.Error(err))
		return true
	}
	last := status.Effects[config.TaskRollUp].Number
	if next := followingPeriod(number, last); next != number {
		m.log.Warn("the wall clock is behind the last roll-up period, numbers continue from there", zap.Time("until", end),
			zap.Uint64("last", last))
		number = next
	}
	report, encoded := m.collectReport(status.nodeAddresses())
	switch err := held.SetEffect(config.TaskRollUp, number, encoded); {
	case errors.Is(err, lease.ErrDuplicate):
		return true
	case errors.Is(err, ErrOutcomeUnknown):
		if !m.isRecorded(number, held.Token()) {
			m.log.Warn("roll-up skipped, its outcome is unknown", zap.Time("until", end), zap.Error(err))
			return true
		}
	case err != nil:
		m.log.Warn("roll-up skipped, the lease is lost", zap.Time("until", end), zap.Error(err))
		return false
	}
	if last != 0 && number > last+1 {
		m.log.Warn("roll-up: gap", zap.Time("from", time.UnixMilli(int64(last)*period.Milliseconds())),
			zap.Time("until", end.Add(-period)), zap.Uint64("periods", number-last-1))
	}
	m.log.Info("roll-up", zap.Time("until", end), zap.Uint64("number", number), zap.Duration("period", period),
		zap.Uint64("token", held.Token()), zap.Int("nodes", report.Nodes), zap.Strings("missing", report.Missing), zap.Any("sums", report.Sums))
	return true
}

// isRecorded reports whether the period is the last one in the replicated state, and was written under the token.
func (m *Member) isRecorded(number, token uint64) bool {
	status, err := m.client.Status()
	if err != nil {
		return false
	}
	effect := status.Effects[config.TaskRollUp]
	return effect.Token == token && effect.Number == number
}

// followingPeriod returns the number for the period that ends now. clockPeriod is its number by the wall clock, and
// lastRecorded the number of the latest recorded period. Recorded numbers only increase. If lastRecorded is one ahead, another
// holder has recorded this period. If it is further ahead, a clock was stepped back, and the numbers continue after
// lastRecorded.
func followingPeriod(clockPeriod, lastRecorded uint64) uint64 {
	if lastRecorded > clockPeriod+1 {
		return lastRecorded + 1
	}
	return clockPeriod
}

// collectReport collects the metrics of all nodes, and returns the report and its JSON.
func (m *Member) collectReport(nodes map[string]string) (report rollUpReport, encoded []byte) {
	report = m.collectMetrics(nodes)
	if len(report.Missing) > maxListedNodes {
		report.Missing = append(report.Missing[:maxListedNodes], "and others")
	}
	encoded, _ = json.Marshal(report)
	return report, encoded
}

// collectMetrics collects the metrics of all nodes, given their addresses by name.
func (m *Member) collectMetrics(nodes map[string]string) rollUpReport {
	report := rollUpReport{Sums: map[string]int64{}}
	var mu sync.Mutex
	var collecting sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCollections)
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		slots <- struct{}{}
		collecting.Go(func() {
			defer func() { <-slots }()
			var totals map[string]int64
			err := m.client.callAddress(nodes[name], methodMetrics, &struct{}{}, &totals)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				report.Missing = append(report.Missing, name)
				return
			}
			report.Nodes++
			for key, n := range totals {
				report.Sums[key] += n
			}
		})
	}
	collecting.Wait()
	slices.Sort(report.Missing)
	return report
}
