package discovery

import (
	"context"
	"net/http/httptrace"
	"time"
)

const (
	// maxWatchWait limits the wait of a watch, and so how long a silent connection can hide a change.
	maxWatchWait = 20 * time.Second

	// watchGrace is the time between the end of a watch's wait and the watch's timeout. A new list must arrive within 2 s of
	// the end of the wait, and the poll interval after a failed watch and the poll itself take 1.3 s of these.
	watchGrace = 300 * time.Millisecond

	// emptyWatchPause is the pause before the next watch if a service has answered at once without changes. The next watch
	// must start within 200 ms.
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

// watchWait returns a random wait for one watch, so that watches whose connections go silent at the same time do not time out together.
func (c *Client) watchWait() time.Duration {
	return c.maxWatchWait/2 + c.randomDuration(c.maxWatchWait/2+1)
}

// failOnSecondConn returns a context for one call that cancels the call when the transport retries it on another connection. A watch
// that is retried while its service goes down could be unanswered for its whole wait. When it fails instead, the client polls.
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
