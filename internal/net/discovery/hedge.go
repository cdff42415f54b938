package discovery

import (
	"context"
	"slices"
	"time"
)

const (
	// maxConcurrentPolls bounds the polls in flight: the oldest, the newest and one between.
	maxConcurrentPolls = 3

	// maxQueueTime is how long a service keeps a call in its queue before it answers or rejects it.
	maxQueueTime = 2100 * time.Millisecond

	// overloadWindow is how long after a rejection the service counts as overloaded: two poll intervals.
	overloadWindow = 4 * time.Second
)

// hedgedPolls is the set of polls in flight for one list. inFlight, delayTimer and firstPollStart belong to the goroutine of
// hedgedPoll, which alone writes to source meanwhile. The polls' goroutines read source's address and version without a lock;
// an abandoned poll may still do so after hedgedPoll has returned.
type hedgedPolls struct {
	client         *Client
	source         *source
	inFlight       []*inFlightPoll // oldest first
	results        chan pollResult
	delayTimer     <-chan time.Time // start of a poll that was put off; nil: none
	firstPollStart time.Time        // when the poll began that a delayed one waits for
}

type inFlightPoll struct{ cancel context.CancelFunc }

type pollResult struct {
	poll *inFlightPoll
	list endpointList
	err  error
}

// hedgedPoll polls src, adds a further poll with each value from trigger, and returns the first list. It returns an error once
// no poll is in flight. A poll may never be answered, so none waits for the end of another.
func (c *Client) hedgedPoll(ctx context.Context, src *source, trigger <-chan struct{}) (endpointList, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	polls := &hedgedPolls{client: c, source: src, results: make(chan pollResult), firstPollStart: time.Now()}
	polls.start(ctx)
	for {
		select {
		case <-ctx.Done():
			return endpointList{}, ctx.Err()
		case <-trigger:
			polls.startOrDelay(ctx)
		case <-polls.delayTimer:
			polls.delayTimer = nil
			polls.start(ctx)
		case result := <-polls.results:
			if result.err == nil {
				return result.list, nil
			}
			if polls.handleFailure(ctx, result) {
				return endpointList{}, result.err
			}
		}
	}
}

// startOrDelay starts a further poll. If the service is overloaded, the first poll is probably in its queue, and a second would
// take a slot there that another node lacks: the second is put off until the first must have left the queue.
func (h *hedgedPolls) startOrDelay(ctx context.Context) {
	wait := maxQueueTime - time.Since(h.firstPollStart)
	overloaded := time.Since(h.source.lastRejection) < overloadWindow
	if h.delayTimer == nil && len(h.inFlight) == 1 && wait > 0 && overloaded {
		h.delayTimer = time.After(wait)
		return
	}
	h.start(ctx)
}

// start begins a poll. Only the first may resume: beside a poll that is silent the service may have restarted and count versions
// anew, so the others request the full list.
func (h *hedgedPolls) start(ctx context.Context) {
	query := ""
	if len(h.inFlight) == 0 {
		query = h.source.pollQuery()
	}
	h.dropSecondOldest()
	ctx, cancel := context.WithCancel(ctx)
	poll := &inFlightPoll{cancel: cancel}
	h.inFlight = append(h.inFlight, poll)
	go h.runPoll(ctx, poll, query)
}

// dropSecondOldest cancels the second oldest of too many polls: the oldest may be first in the service's queue, and the newest may be the first
// since the service is back.
func (h *hedgedPolls) dropSecondOldest() {
	if len(h.inFlight) < maxConcurrentPolls {
		return
	}
	h.inFlight[1].cancel()
	h.inFlight = slices.Delete(h.inFlight, 1, 2)
}

func (h *hedgedPolls) runPoll(ctx context.Context, poll *inFlightPoll, query string) {
	defer poll.cancel()
	list, err := h.client.fetchList(ctx, h.source.address, query, pollTimeout)
	switch {
	case err != nil || list.full:
	case query == "":
		err = errIncompleteList
	case list.version < h.source.version:
		err = errVersionGap
	}
	select {
	case h.results <- pollResult{poll: poll, list: list, err: err}:
	case <-ctx.Done():
	}
}

// handleFailure records a failed poll and reports whether none is left. A delayed poll starts at once when it would be the only one.
func (h *hedgedPolls) handleFailure(ctx context.Context, result pollResult) (done bool) {
	h.source.recordFailure(result.err)
	if i := slices.Index(h.inFlight, result.poll); i >= 0 {
		h.inFlight = slices.Delete(h.inFlight, i, i+1)
	}
	if len(h.inFlight) > 0 {
		return false
	}
	if h.delayTimer == nil {
		return true
	}
	h.delayTimer = nil
	h.firstPollStart = time.Now()
	h.start(ctx)
	return false
}
