// Package discovery follows the endpoint list of a discovery service. A client polls for the full list whenever the balancer subscribes, then
// watches (long-polls) for changes until a watch fails, and hands each list to the dispatcher.
//
// A node must know a change within 6 s of the time at which the discovery service has the change and is reachable, regardless of how earlier
// calls ended. The client therefore gets a list within 4 s after an outage of the service ends, within 5 s if the service rejects the first
// poll, and within 2 s after the wait of an unanswered watch ends.
// docs/CAPACITY.md, "Time to an endpoint list", adds up the constants of this package for each case; TestListDelayConstantsWithinLimits checks
// the sums.
package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Client follows the endpoint list of one discovery service. Its methods may be called from several goroutines; Run is called once.
type Client struct {
	log          *zap.Logger
	dispatcher   *dispatch.Dispatcher
	maxWatchWait time.Duration
	subscribed   chan struct{} // holds one value: a pending Subscribe
	switched     chan struct{} // holds one value: a completed switch to another source
	transport    *http.Transport

	// randomDuration draws from [0, limit). It is called from several goroutines.
	randomDuration func(limit time.Duration) time.Duration

	mu           sync.Mutex
	source       source             // the current discovery service
	cancelFollow context.CancelFunc // ends the calls to the current source
	cancelSwitch context.CancelFunc // ends a switch that is under way
}

// New returns a client of the discovery service at address (host:port). The node must call the service at least once per pollInterval, so
// no watch waits longer.
func New(d *dispatch.Dispatcher, address string, pollInterval time.Duration, log *zap.Logger) *Client {
	return &Client{
		log:            log,
		dispatcher:     d,
		maxWatchWait:   min(maxWatchWait, pollInterval),
		subscribed:     make(chan struct{}, 1),
		switched:       make(chan struct{}, 1),
		transport:      newTransport(),
		randomDuration: rand.N[time.Duration],
		source:         source{address: address},
		cancelFollow:   func() {},
		cancelSwitch:   func() {},
	}
}

// LoadCached passes a list that an earlier process stored to the dispatcher. body has the format of the discovery service's responses; an empty
// body is ignored. After a full list the first poll resumes from its version, which costs an overloaded service one call instead of two.
// LoadCached must be called before Run.
func (c *Client) LoadCached(body []byte) error {
	if len(body) == 0 {
		return nil
	}
	list, err := parseList(body)
	if err != nil {
		return fmt.Errorf("cached endpoint list: %w", err)
	}
	if list.full {
		c.resumeFrom(list.version)
	}
	c.dispatcher.UpdateEndpoints(routing.Cached, list.endpoints)
	return nil
}

func (c *Client) resumeFrom(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source.version = version
	c.source.resumable = true
	c.source.lastAnswer = time.Now()
}

// Subscribe requests the full list and its changes. It does not block. Calls made before Run handles the first one count as one. A call made
// while polls are in flight starts a further poll.
func (c *Client) Subscribe() {
	select {
	case c.subscribed <- struct{}{}:
	default:
	}
}

// Run follows the list until ctx ends. After each Subscribe it polls for the full list, or resumes from the last version if the service has
// only rejected calls since. It then watches until a watch fails and reports the failure to the dispatcher. After a switch it continues with
// a watch at the new service.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.subscribed:
			c.requirePoll()
		case <-c.switched:
		}
		last, err := c.follow(ctx)
		if superseded := c.recordSourceState(last); superseded {
			continue
		}
		if ctx.Err() != nil {
			continue
		}
		c.log.Warn("endpoint list update failed, keeping the last list", zap.Error(err))
		c.dispatcher.UpdateEndpoints(routing.Failed, nil)
	}
}

func (c *Client) requirePoll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source.watching = false
}

// recordSourceState stores the state of the source after its last call. It reports whether a switch has superseded that source.
func (c *Client) recordSourceState(last source) (superseded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last.generation != c.source.generation {
		return true
	}
	c.source.lastRejection = last.lastRejection
	c.source.resumable = last.resumable
	c.source.lastAnswer = last.lastAnswer
	return false
}

// follow calls the current source until a call fails or a switch supersedes it, and returns the source's last state.
func (c *Client) follow(ctx context.Context) (source, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	src := c.beginFollow(cancel)
	for {
		callStart := time.Now()
		list, err := c.nextList(ctx, &src)
		if err != nil {
			return src, err
		}
		if !src.watching && !list.full {
			go c.verify(ctx, src)
		}
		src.version = list.version
		src.watching = true
		src.lastAnswer = time.Now()
		src.resumable = true
		if !c.publish(src, list) {
			return src, nil
		}
		if time.Since(callStart) >= emptyWatchPause {
			continue
		}
		if len(list.endpoints) > 0 {
			continue
		}
		if err := pauseAfterEmptyWatch(ctx); err != nil {
			return src, err
		}
	}
}

func (c *Client) beginFollow(cancel context.CancelFunc) source {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelFollow = cancel
	return c.source
}

// nextList polls for the list, or watches for changes if src has one.
func (c *Client) nextList(ctx context.Context, src *source) (endpointList, error) {
	if !src.watching {
		return c.hedgedPoll(ctx, src, c.subscribed)
	}
	list, err := c.watch(ctx, *src)
	if err != nil {
		src.recordFailure(err)
		c.discardSubscription()
	}
	return list, err
}

// discardSubscription discards a pending Subscribe from before the failed watch: the list that it requested has arrived in the meantime. The
// balancer subscribes again when the failure is reported to it.
func (c *Client) discardSubscription() {
	select {
	case <-c.subscribed:
	default:
	}
}

// publish passes a list from src to the dispatcher. It reports false if a switch has superseded src.
func (c *Client) publish(src source, list endpointList) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if src.generation != c.source.generation {
		return false
	}
	c.publishLocked(src, list)
	return true
}

// publishLocked requires c.mu, so that no list from an earlier source is published after one from a later source.
func (c *Client) publishLocked(src source, list endpointList) {
	wasWatching := c.source.watching
	c.source = src
	if wasWatching && !list.full && len(list.endpoints) == 0 {
		return
	}
	update := routing.Incremental
	if list.full {
		update = routing.Full
	}
	c.dispatcher.UpdateEndpoints(update, list.endpoints)
	c.log.Info("endpoint list updated", zap.Int64("version", src.version), zap.Bool("full", list.full),
		zap.Int("endpoints", len(list.endpoints)))
}
