package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/internal/net/frontend"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
)

const reportInterval = 5 * time.Second

// report logs a summary of the requests since the previous summary at each reportInterval, until ctx ends. Single requests are not logged.
func report(ctx context.Context, d *dispatch.Dispatcher, front *frontend.Server, log *zap.Logger) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		log.Info("so far", reportFields(d, front)...)
	}
}

// reportFields returns the fields of one summary. Operators' scripts depend on the field names.
func reportFields(d *dispatch.Dispatcher, front *frontend.Server) []zap.Field {
	stats := d.Stats()
	memory := metrics.ReadMemory()
	return []zap.Field{
		zap.Int("lookups", stats.Requests),
		zap.Int("resolved", stats.Served),
		zap.Int("deferred", stats.Rejected),
		zap.Int("abandoned", stats.Failed),
		zap.Int("left", stats.ClientGone),
		zap.Int("shots", stats.Attempts),
		zap.Dict("ends", attemptResults(stats)...),
		zap.Float64("median ms", stats.LatencyMs(50)),
		zap.Float64("p99 ms", stats.LatencyMs(99)),
		zap.Int("out", d.InFlight()),
		zap.Int("connections", front.OpenConns()),
		zap.Int64("goroutines", memory.Goroutines),
		zap.Int64("heap KB", memory.HeapAllocated>>10),
		zap.Int64("sys KB", (memory.HeapInUse+memory.Stacks+memory.Runtime)>>10),
		zap.Int64("anonymous KB", memory.Anonymous>>10),
		zap.Int64("mapped KB", memory.Mapped>>10),
		zap.Int("panics", stats.Panics),
	}
}

// attemptResults returns the number of attempts by result. It omits results that did not occur.
func attemptResults(stats dispatch.Stats) []zap.Field {
	results := make([]zap.Field, 0, len(stats.Results))
	for result, n := range stats.Results {
		if n > 0 {
			results = append(results, zap.Int(dispatch.AttemptResult(result).String(), n))
		}
	}
	return results
}
