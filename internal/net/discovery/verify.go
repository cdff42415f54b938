package discovery

import (
	"context"
	"time"
)

// maxVerifyDelay is the longest time from a resumed watch to the poll that verifies it, and between two such polls.
const maxVerifyDelay = 40 * time.Second

// verify polls for the full list until it has the version of the current one, and publishes that. It runs beside a watch that was
// resumed: a service that restarted while it rejected polls may count versions anew, and the changes in between would be missing.
func (c *Client) verify(ctx context.Context, resumed source) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(maxVerifyDelay/2 + c.randomDuration(maxVerifyDelay/2)): // spread, as many nodes resume at once
		}
		list, err := c.fetchList(ctx, resumed.address, "", pollTimeout)
		if err == nil && list.full && c.publishIfCurrent(ctx, resumed.generation, list) {
			return
		}
	}
}

// publishIfCurrent publishes a full list that has the generation and the version of the current one. A list of another version could be
// older than what the watch is about to bring.
func (c *Client) publishIfCurrent(ctx context.Context, generation int, list endpointList) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil || generation != c.source.generation || list.version != c.source.version {
		return false
	}
	c.publishLocked(c.source, list)
	return true
}
