package discovery

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// maxSwitchRetryWait is the longest time between two polls of the new service. Three such waits fit into the 4 s that a switch may take.
const maxSwitchRetryWait = 1 * time.Second

// SwitchTo switches the client to the discovery service at address. The client follows the current service until the new one has returned a
// full list, however long that takes, and ignores the former service from then on. The versions of the two services are unrelated. SwitchTo
// cancels an earlier switch that has not completed. It does not block; the switch is canceled when ctx ends.
func (c *Client) SwitchTo(ctx context.Context, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelSwitch()
	ctx, c.cancelSwitch = context.WithCancel(ctx)
	go c.switchTo(ctx, address)
}

func (c *Client) switchTo(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	retry := make(chan struct{})
	go c.tickSwitchRetries(ctx, retry)
	for {
		candidate := source{address: address} // has no lastRejection, so no poll is delayed: a switch is urgent
		list, err := c.hedgedPoll(ctx, &candidate, retry)
		if err == nil && c.completeSwitch(ctx, address, list) {
			c.log.Info("switched to another discovery service", zap.String("discovery", address))
			return
		}
		if ctx.Err() != nil {
			return
		}
		c.log.Warn("new discovery service has no endpoint list yet, keeping the current service", zap.String("discovery", address),
			zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-retry:
		}
	}
}

// tickSwitchRetries sends to retry at random intervals, because all nodes may be told to switch at the same time.
func (c *Client) tickSwitchRetries(ctx context.Context, retry chan<- struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(maxSwitchRetryWait/2 + c.randomDuration(maxSwitchRetryWait/2)):
		}
		select {
		case <-ctx.Done():
			return
		case retry <- struct{}{}:
		}
	}
}

// completeSwitch makes the service at address the current one, and publishes its first list. It reports false if the switch was canceled.
func (c *Client) completeSwitch(ctx context.Context, address string, list endpointList) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	next := source{
		address:    address,
		generation: c.source.generation + 1,
		version:    list.version,
		watching:   true,
		resumable:  true,
		lastAnswer: time.Now(),
	}
	c.publishLocked(next, list)
	c.cancelFollow()
	select {
	case c.switched <- struct{}{}:
	default: // Run has yet to handle an earlier switch, and will then follow this one
	}
	return true
}
