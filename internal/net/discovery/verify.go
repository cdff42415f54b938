package discovery

import (
	"context"
	"time"
)

// maxVerifyDelay is the longest time between a resumed poll and the first poll that verifies it, and between two verifying polls.
const maxVerifyDelay = 40 * time.Second

// verify polls for the full list until the response has the version of the current list, and then publishes it. It runs concurrently
// with the watches after a resumed poll: a service that restarted while it rejected polls may have reset its version counter, and the
// resumed list would then lack the changes in between.
func (c *Client) verify(ctx context.Context, resumed source) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(maxVerifyDelay/2 + c.randomDuration(maxVerifyDelay/2)): // random, because many nodes resume at the same time
		}
		list, err := c.fetchList(ctx, resumed.address, "", pollTimeout)
		if err == nil && list.full && c.publishIfCurrent(ctx, resumed.generation, list) {
			return
		}
	}
}

// publishIfCurrent publishes a full list if it has the generation and the version of the current list. A list of another version could be
// older than the next response to the watch.
func (c *Client) publishIfCurrent(ctx context.Context, generation int, list endpointList) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil || generation != c.source.generation || list.version != c.source.version {
		return false
	}
	c.publishLocked(c.source, list)
	return true
}
