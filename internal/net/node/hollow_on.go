//go:build faults

package node

import (
	"context"
	"os"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
)

// Hollow runs a node that does all of a node's control work and takes no lookups, so that many fit into a process. What its
// fleet's tasks need of it goes through own. docs/scale.md lists what it leaves out.
func Hollow(ctx context.Context, s *config.Node, signals <-chan os.Signal, log *zap.Logger, own func(cluster.LocalNode) cluster.LocalNode) error {
	return operate(ctx, s, signals, log.With(zap.String("node", s.Name)), opened{process: thisProcess()}, own)
}
