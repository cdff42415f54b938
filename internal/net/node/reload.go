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
	rereadFirst = 20 * time.Millisecond // before a configuration that could not be read is tried again; it doubles with each try
	rereadMost  = 500 * time.Millisecond
)

// renew reads the configuration anew at each signal. A faulty file changes nothing. The box list goes over to
// another discovery service; what can't change while the node runs is only told.
func renew(
	ctx context.Context,
	signals <-chan os.Signal,
	s *config.Node,
	list *discovery.Client,
	log *zap.Logger,
) {
	for address := s.Discovery; ; {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		next, err := reread(ctx, signals, s, log)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			log.Error("the new configuration is faulty, the old one stands", zap.Error(err))
			continue
		}
		if keys := s.ImmutableChanges(next); len(keys) > 0 {
			log.Warn("what changed under these keys holds from the next start", zap.Strings("keys", keys))
		}
		log.Info("configuration read anew", zap.Bool("another discovery service", next.Discovery != address))
		if next.Discovery != address {
			address = next.Discovery
			list.SwitchTo(ctx, address)
		}
	}
}

// reread reads the configuration, again where the file itself could not be read: that passes, and whoever signalled does not signal
// twice. A further signal ends a wait between two tries.
func reread(ctx context.Context, signals <-chan os.Signal, s *config.Node, log *zap.Logger) (*config.Node, error) {
	for pause := rereadFirst; ; pause = min(2*pause, rereadMost) {
		next, err := s.Reload()
		var unread *fs.PathError
		if !errors.As(err, &unread) {
			return next, err
		}
		if pause == rereadFirst {
			log.Error("the new configuration can't be read, the old one stands until it can be", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-signals:
		case <-time.After(pause):
		}
	}
}
