package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/handover"
)

const (
	// addressWaitSlack is added to the longest request deadline to bound the wait for an address. A predecessor that shuts down may keep the
	// address until its last request reaches its deadline.
	addressWaitSlack     = 2 * time.Second
	addressRetryInterval = 10 * time.Millisecond
)

// listen listens on an address. If the address is in use, a predecessor may still be shutting down, so listen retries for up to maxDeadline +
// addressWaitSlack.
func listen(ctx context.Context, address string, maxDeadline time.Duration, log *zap.Logger) (net.Listener, error) {
	start := time.Now()
	for logged := false; ; {
		listener, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(start) > maxDeadline+addressWaitSlack {
			return listener, err
		}
		if !logged {
			logged = true
			log.Warn("address is in use, waiting for it", zap.String("address", address), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(addressRetryInterval):
		}
	}
}

// listenForClients returns the listening socket that the platform passed to this process, or opens one.
func listenForClients(ctx context.Context, s *config.Node, log *zap.Logger) (net.Listener, error) {
	if s.PassedSocket != 0 {
		return handover.ListenerFromFD(s.PassedSocket)
	}
	listener, err := listen(ctx, s.ListenAddress, s.MaxDeadline, log)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}
