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
	// addressWaitSlack is added to the longest deadline of a request, which a predecessor that shuts down may take to release an address.
	addressWaitSlack     = 2 * time.Second
	addressRetryInterval = 10 * time.Millisecond
)

// listen opens an address. While a predecessor may still have it, listen waits: for maxDeadline and addressWaitSlack at most.
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

// listenForClients returns the socket that the platform passed on, or opens one.
func listenForClients(ctx context.Context, s *config.Node, log *zap.Logger) (net.Listener, error) {
	if s.PassedSocket != 0 {
		return handover.Socket(s.PassedSocket)
	}
	listener, err := listen(ctx, s.Listen, s.MaxDeadline, log)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}
