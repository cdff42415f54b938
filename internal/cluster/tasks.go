package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
)

const maxConcurrentCollections = 16 // nodes that a task asks side by side

// task gives what a task does while its lease is held; nil: this build has no such task.
func (f *Member) task(name string) func(context.Context, *HeldLease) bool {
	switch name {
	case config.TaskRollUp:
		return f.rollUp
	case config.TaskProbe:
		return f.runProbes
	case config.TaskFaultTest:
		return f.faultTestTask()
	}
	return nil
}

// nodeAddresses gives the addresses of those who hold their own names now, as the leader has it.
func (s *Status) nodeAddresses() map[string]string {
	all := map[string]string{}
	for _, l := range s.Leases {
		if node, is := strings.CutPrefix(l.Name, nodeLease("")); is {
			if fact, told := s.Effects[l.Name]; told && fact.Token == l.Token {
				all[node] = string(fact.Value)
			}
		}
	}
	return all
}

// rollUpReport is one period of the roll-up.
type rollUpReport struct {
	Nodes   int              `json:"nodes"`
	Missing []string         `json:"missing,omitempty"` // they hold their names, and didn't answer
	Sums    map[string]int64 `json:"sums"`              // totals since the start of each
}

const maxListedNodes = 32 // names that a sheet tells; of more it tells how many

// wallClock gives the time by which the fleet's periods are told; tests step it.
var wallClock = clock.Wall

// rollUp writes one line a period for the whole fleet. The fleet itself keeps which period was the last, so none is written
// twice; one that nobody wrote is told as a gap by who writes next.
func (f *Member) rollUp(ctx context.Context, g *HeldLease) bool {
	period := f.config.RollUp
	for {
		now := wallClock()
		at := now.Truncate(period).Add(period)
		select {
		case <-ctx.Done():
			return true
		case <-time.After(at.Sub(now)):
		}
		number := uint64(at.UnixMilli() / period.Milliseconds())
		s, err := f.client.Status()
		if err != nil {
			f.log.Warn("the fleet can't be asked for its nodes, the period may be a gap", zap.Error(err))
			continue
		}
		last := s.Effects[config.TaskRollUp].Number
		if next := followingPeriod(number, last); next != number {
			f.log.Warn("the wall clock stands before the fleet's last period, the numbers go on from there", zap.Time("until", at),
				zap.Uint64("last", last))
			number = next
		}
		x := f.collectMetrics(s.nodeAddresses())
		text, _ := json.Marshal(x)
		if len(x.Missing) > maxListedNodes {
			x.Missing = append(x.Missing[:maxListedNodes], "and others")
			text, _ = json.Marshal(x)
		}
		switch err := g.Do(config.TaskRollUp, number, text); {
		case errors.Is(err, lease.ErrDuplicate):
			continue
		case errors.Is(err, ErrOutcomeUnknown):
			if s, asked := f.client.Status(); asked != nil || s.Effects[config.TaskRollUp].Token != g.Token() ||
				s.Effects[config.TaskRollUp].Number != number {
				f.log.Warn("a period was perhaps not kept, and is not written", zap.Time("until", at), zap.Error(err))
				continue
			}
		case err != nil:
			f.log.Warn("a period is not written: it is another node's turn", zap.Time("until", at), zap.Error(err))
			return true
		}
		if last != 0 && number > last+1 {
			f.log.Warn("roll-up: gap", zap.Time("from", time.UnixMilli(int64(last)*period.Milliseconds())),
				zap.Time("until", at.Add(-period)), zap.Uint64("periods", number-last-1))
		}
		f.log.Info("roll-up", zap.Time("until", at), zap.Uint64("number", number), zap.Duration("period", period), zap.Uint64("token", g.Token()),
			zap.Int("nodes", x.Nodes), zap.Strings("missing", x.Missing), zap.Any("sums", x.Sums))
	}
}

// followingPeriod gives the number under which a period is written that ends now by the wall clock, where last was the fleet's latest. The
// fleet takes only numbers that grow. One period behind it, another holder has written it; further behind, a clock was stepped back.
func followingPeriod(byClock, last uint64) uint64 {
	if last > byClock+1 {
		return last + 1
	}
	return byClock
}

// collectMetrics asks all nodes for their figures.
func (f *Member) collectMetrics(nodes map[string]string) (x rollUpReport) {
	x.Sums = map[string]int64{}
	var mu sync.Mutex
	var asking sync.WaitGroup
	places := make(chan struct{}, maxConcurrentCollections)
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		places <- struct{}{}
		asking.Go(func() {
			defer func() { <-places }()
			var figures map[string]int64
			err := f.client.callAddress(nodes[name], "Fleet.Figures", &struct{}{}, &figures)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				x.Missing = append(x.Missing, name)
				return
			}
			x.Nodes++
			for key, n := range figures {
				x.Sums[key] += n
			}
		})
	}
	asking.Wait()
	slices.Sort(x.Missing)
	return x
}
