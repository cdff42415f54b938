//go:build faults

package node

import (
	"context"
	"os"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
)

// Hollow runs a node that does all of a node's control work but accepts no requests, so that many fit into one process. wrapLocal may replace the
// interface through which the cluster's tasks use the node. docs/scale.md lists what a hollow node leaves out.
func Hollow(ctx context.Context, s *config.Node, signals <-chan os.Signal, log *zap.Logger, wrapLocal func(cluster.LocalNode) cluster.LocalNode) error {
	return operate(ctx, s, signals, log.With(zap.String("node", s.Name)), resources{process: inspectProcess()}, wrapLocal)
}
