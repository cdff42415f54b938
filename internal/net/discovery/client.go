// Package discovery follows the endpoint list of a discovery service. A client polls for the full list whenever the balancer subscribes, then
// watches (long-polls) for changes until a watch fails, and hands each list to the dispatcher.
//
// A change counts as known 6 s after the discovery service has it and can be reached, whatever became of earlier calls. So a list must be had
// within 4 s of the service's return, within 5 s if it rejects the first poll, and within 2 s of the end of a silent watch's wait.
// docs/CAPACITY.md, "Time to an endpoint list", adds up the constants of this package for each case; TestTheListIsHadInTime checks the sums.
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
	switched     chan struct{} // holds one value: the source is another one
	transport    *http.Transport

	// randomDuration draws from [0, limit). It is called from several goroutines.
	randomDuration func(limit time.Duration) time.Duration

	mu           sync.Mutex
	source       source             // the current discovery service
	cancelFollow context.CancelFunc // ends the calls to the current source
	cancelSwitch context.CancelFunc // ends a switch that is under way
}

// New returns a client of the discovery service at address (host:port). No watch waits longer than pollInterval, in which the node
// must have called the service.
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

// LoadCached hands the dispatcher a list from before this process, in the discovery service's form; an empty body is ignored. The first poll
// resumes from its version, which costs an overloaded service one call in place of two. Call it before Run.
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

// Subscribe requests the full list and its changes. It does not block. Calls before Run takes up the first count as one; a call while polls
// are in flight adds a further poll.
func (c *Client) Subscribe() {
	select {
	case c.subscribed <- struct{}{}:
	default:
	}
}

// Run follows the list until ctx ends. After each Subscribe it polls for the full list, or resumes if the service has only rejected polls, and
// then watches until a watch fails, which it reports to the dispatcher. After a switch it goes on with a watch at the new service.
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

// recordSourceState keeps what the last calls told of the source, and reports whether a switch has superseded it.
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

// discardSubscription drops a Subscribe that crossed the list it was for. The balancer subscribes again once it hears of the failure.
func (c *Client) discardSubscription() {
	select {
	case <-c.subscribed:
	default:
	}
}

// publish hands on a list from src. It reports false if a switch has superseded src.
func (c *Client) publish(src source, list endpointList) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if src.generation != c.source.generation {
		return false
	}
	c.publishLocked(src, list)
	return true
}

// publishLocked is called with mu locked, so that no list of an earlier source can follow one of a later.
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
