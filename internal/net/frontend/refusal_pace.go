package frontend

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// Answers that cost their client no wait, since no server works on them, are paced: a client may send its next request as soon as it has one, and without
// a pace a few connections take all of the processor from requests that wait for their servers.
const (
	freeRefusalsPerSecond    = 20   // of a connection, without a pause
	freeRefusalBurst         = 40   // of a connection
	refusalsPerSecondAndCore = 1000 // of all connections beyond those; each costs some 40 us
	minRefusalsPerSecond     = 100  // of all connections beyond those, with however small a part of a core

	// A client that sends unsound requests is owed an answer within 3 s. One whose sound request was rejected may send its next one in time.
	maxUnsoundPause  = time.Second
	maxRejectedPause = 50 * time.Millisecond
)

// refusalPace paces the answers without an attempt of all connections. Its methods are safe for concurrent use.
type refusalPace struct{ all *rate.Limiter }

func newRefusalPace(cores float64) *refusalPace {
	if cores <= 0 {
		cores = 1
	}
	perSecond := max(minRefusalsPerSecond, refusalsPerSecondAndCore*cores)
	return &refusalPace{all: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))}
}

// newConnRefusals returns the free refusals of a connection.
func newConnRefusals() *rate.Limiter { return rate.NewLimiter(freeRefusalsPerSecond, freeRefusalBurst) }

// pause returns how long a connection has to wait after an answer without an attempt, longest at most.
func (p *refusalPace) pause(conn *rate.Limiter, longest time.Duration, now time.Time) time.Duration {
	if conn.AllowN(now, 1) {
		return 0
	}
	return min(longest, max(time.Second/refusalsPerSecondAndCore, p.all.ReserveN(now, 1).DelayFrom(now)))
}

// paceRefusal holds the connection back after an answer without an attempt, so that its next request is read later. The answer has been written by then.
// It returns early if the client leaves or the node is about to end.
func (h *handler) paceRefusal() {
	if h.conn == nil {
		return
	}
	if h.conn.refusals == nil {
		h.conn.refusals = newConnRefusals()
	}
	longest := maxUnsoundPause
	if h.outcome == dispatch.Rejected {
		longest = maxRejectedPause
	}
	pause := h.refusalPace.pause(h.conn.refusals, longest, time.Now())
	if pause == 0 || h.draining.Load() {
		return
	}
	defer func() { h.conn.pauseEnd = time.Now() }()
	h.metrics.Refusals.Add(string(refusedPaced))
	_ = h.control.Flush()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.drainStart:
	case <-h.r.Context().Done():
	}
}
