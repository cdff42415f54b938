package cluster

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster/voterstore"
)

// The bounds of the backoff between two attempts to restart a voter. The backoff doubles with each attempt.
const (
	minRestartDelay = 250 * time.Millisecond
	maxRestartDelay = 5 * time.Second
)

// restartVoter restarts the voter each time it has ended with a transient error of its folder, until the context ends. It
// returns early if the voter ended for another reason.
func (m *Member) restartVoter(ctx context.Context) {
	for delay := minRestartDelay; ; delay = min(2*delay, maxRestartDelay) {
		if v := m.voter(); v != nil {
			select {
			case <-ctx.Done():
				return
			case <-v.shutdownDone:
			}
		}
		if failure := m.voterFailure(); failure == nil || !voterstore.IsTransient(failure) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		if err := voterstore.RewriteLog(m.config.DataDir); err != nil {
			m.log.Info("voter restart failed, will be retried", zap.Error(err))
			continue
		}
		m.openVoter()
		if m.voterFailure() == nil {
			delay = minRestartDelay
			m.log.Info("voter restarted", zap.String("voter", m.voterID()))
		}
	}
}

// voterFailure returns the error that keeps this node from having a voter. It is nil if the voter runs, or has ended because
// the node leaves the cluster.
func (m *Member) voterFailure() error {
	v, err := m.voterOrError()
	if v == nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if errors.Is(v.endReason, errNodeLeaving) {
		return nil
	}
	return v.endReason
}
