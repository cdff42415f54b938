package node

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/discovery"
)

const (
	minReloadRetryWait = 20 * time.Millisecond // doubles with each retry
	maxReloadRetryWait = 500 * time.Millisecond
)

// reloadOnSignal reloads the configuration at each signal until ctx ends. An invalid configuration changes nothing. A changed discovery service
// takes effect immediately. Changes to keys that cannot change while the node runs are logged as a warning.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, s *config.Node, endpoints *discovery.Client, log *zap.Logger) {
	for discoveryAddr := s.Discovery; ; {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		next, err := readConfig(ctx, signals, s, log)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			log.Error("new configuration is invalid, keeping the old one", zap.Error(err))
			continue
		}
		if keys := s.ImmutableChanges(next); len(keys) > 0 {
			log.Warn("changes to these keys apply at the next start", zap.Strings("keys", keys))
		}
		log.Info("configuration reloaded", zap.Bool("another discovery service", next.Discovery != discoveryAddr))
		if next.Discovery != discoveryAddr {
			discoveryAddr = next.Discovery
			endpoints.SwitchTo(ctx, discoveryAddr)
		}
	}
}

// readConfig reads the configuration. It retries while the file cannot be read, since that failure is usually transient and the sender of the
// signal sends it only once. Another signal triggers the next retry at once.
func readConfig(ctx context.Context, signals <-chan os.Signal, s *config.Node, log *zap.Logger) (*config.Node, error) {
	for wait := minReloadRetryWait; ; wait = min(2*wait, maxReloadRetryWait) {
		next, err := s.Reload()
		var unreadable *fs.PathError
		if !errors.As(err, &unreadable) {
			return next, err
		}
		if wait == minReloadRetryWait {
			log.Error("new configuration cannot be read, keeping the old one and retrying", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-signals:
		case <-time.After(wait):
		}
	}
}
