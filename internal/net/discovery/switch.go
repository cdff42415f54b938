package discovery

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// maxSwitchRetryWait is the longest time between two polls of a new service: three fit into the 4 s that a switch may take.
const maxSwitchRetryWait = 1 * time.Second

// SwitchTo moves the client to the discovery service at address without a gap: the current one is followed until the new one has given a
// full list, however long that takes, and is ignored from then on. The versions of the two are unrelated. A switch that is still under
// way is abandoned. SwitchTo does not block; the switch ends with ctx.
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
		candidate := source{address: address} // never rejected so far: no poll is delayed, since a switch is urgent
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

// tickSwitchRetries sends to retry at random intervals, since all nodes may be told to switch at once.
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

// completeSwitch makes the service at address the current one, with its first list. It reports false if the switch was abandoned.
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
	default: // one is pending, which is enough
	}
	return true
}
