package discovery

import (
	"context"
	"net/http/httptrace"
	"time"
)

const (
	// maxWatchWait bounds the wait of a watch, and so how long a silent connection can hide a change.
	maxWatchWait = 20 * time.Second

	// watchGrace is how long after its wait a watch is given up. A new list is due 2 s after the wait; the poll interval
	// after a lost watch and the poll itself take 1.3 s of them.
	watchGrace = 300 * time.Millisecond

	// emptyWatchPause follows an empty answer that came at once, for a service that does not wait. The next watch is due
	// within 200 ms.
	emptyWatchPause = 100 * time.Millisecond
)

// watch long-polls for the changes since the version of src.
func (c *Client) watch(ctx context.Context, src source) (endpointList, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := c.watchWait()
	list, err := c.fetchList(failOnSecondConn(ctx, cancel), src.address, watchQuery(src.version, wait), wait+watchGrace)
	if err == nil && !list.full && list.version < src.version {
		err = errVersionGap
	}
	return list, err
}

// watchWait draws the wait of one watch, so that watches which fall silent together do not end together.
func (c *Client) watchWait() time.Duration {
	return c.maxWatchWait/2 + c.randomDuration(c.maxWatchWait/2+1)
}

// failOnSecondConn returns a context for one call which cancels it when the transport retries on another connection. A watch
// that is retried as its service goes down could stay silent for its whole wait; failing it makes the client poll.
func failOnSecondConn(ctx context.Context, cancel context.CancelFunc) context.Context {
	conns := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			conns++
			if conns > 1 {
				cancel()
			}
		},
	})
}

// pauseAfterEmptyWatch keeps the client from calling a service that does not wait in a tight loop.
func pauseAfterEmptyWatch(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(emptyWatchPause):
		return nil
	}
}
