package node

import (
	"context"
	"os"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/boxlist"
	"github.com/thistlerudder/thistlerudder/internal/terms"
)

// renew reads the configuration anew at each signal. A faulty file changes nothing. The box list goes over to
// another discovery service; what can't change while the node runs is only told.
func renew(
	ctx context.Context,
	signals <-chan os.Signal,
	s *terms.Station,
	list *boxlist.Follower,
	log *zap.Logger,
) {
	for address := s.Discovery; ; {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		next, err := s.Again()
		if err != nil {
			log.Error("the new configuration is faulty, the old one stands", zap.Error(err))
			continue
		}
		if keys := s.Fixed(next); len(keys) > 0 {
			log.Warn("what changed under these keys holds from the next start", zap.Strings("keys", keys))
		}
		log.Info("configuration read anew", zap.Bool("another discovery service", next.Discovery != address))
		if next.Discovery != address {
			address = next.Discovery
			list.Move(ctx, address)
		}
	}
}
