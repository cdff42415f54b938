package node

import (
	"context"
	"runtime"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/internal/net/frontend"
)

const reportEvery = 5 * time.Second // on-call staff see a trouble grow; nothing is logged for each lookup

// report logs what happened since the last line.
func report(ctx context.Context, x *dispatch.Dispatcher, front *frontend.Server, log *zap.Logger) {
	every := time.NewTicker(reportEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		y := x.Stats()
		ends := make([]zap.Field, 0, len(y.Ends))
		for end, n := range y.Ends {
			if n > 0 {
				ends = append(ends, zap.Int(dispatch.AttemptResult(end).String(), n))
			}
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		log.Info("so far",
			zap.Int("lookups", y.Requests), zap.Int("resolved", y.Served), zap.Int("deferred", y.Rejected),
			zap.Int("abandoned", y.Failed), zap.Int("left", y.ClientGone),
			zap.Int("shots", y.Attempts), zap.Dict("ends", ends...),
			zap.Float64("median ms", y.Millis(50)), zap.Float64("p99 ms", y.Millis(99)),
			zap.Int("out", x.InFlight()), zap.Int("connections", front.Open()),
			zap.Int("goroutines", runtime.NumGoroutine()), zap.Uint64("heap KB", m.HeapAlloc>>10),
			zap.Uint64("sys KB", m.Sys>>10), zap.Int("panics", y.Panics))
	}
}
