package discovery

import (
	"context"
	"slices"
	"time"
)

const (
	// maxConcurrentPolls limits the polls in flight: the oldest, the newest and one in between.
	maxConcurrentPolls = 3

	// maxQueueTime is how long a service keeps a call in its queue before it answers or rejects it.
	maxQueueTime = 2100 * time.Millisecond

	// overloadWindow is how long the service counts as overloaded after it rejects a call: two poll intervals.
	overloadWindow = 4 * time.Second
)

// hedgedPolls is the set of polls in flight for one list. inFlight, delayTimer and firstPollStart belong to the goroutine of
// hedgedPoll, which is the only writer of source until it returns. The polls' goroutines read source's address and version
// without a lock; a canceled poll may still do so after hedgedPoll has returned.
type hedgedPolls struct {
	client         *Client
	source         *source
	inFlight       []*inFlightPoll // oldest first
	results        chan pollResult
	delayTimer     <-chan time.Time // fires when a delayed poll is due; nil if no poll is delayed
	firstPollStart time.Time        // start of the poll whose queue time a delayed poll waits for
}

type inFlightPoll struct{ cancel context.CancelFunc }

type pollResult struct {
	poll *inFlightPoll
	list endpointList
	err  error
}

// hedgedPoll polls src, starts or delays a further poll for each value from trigger, and returns the first list. It returns an
// error when the last poll in flight has failed and none is delayed. A poll may never be answered, so no poll waits for another
// to end.
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

// startOrDelay starts a further poll. If the service is overloaded, the first poll is probably in the service's queue, and a second
// one would take a queue slot from another node. The second poll is then delayed until the first one has been in flight for
// maxQueueTime and must have left the queue.
func (h *hedgedPolls) startOrDelay(ctx context.Context) {
	wait := maxQueueTime - time.Since(h.firstPollStart)
	overloaded := time.Since(h.source.lastRejection) < overloadWindow
	if h.delayTimer == nil && len(h.inFlight) == 1 && wait > 0 && overloaded {
		h.delayTimer = time.After(wait)
		return
	}
	h.start(ctx)
}

// start starts a poll. Only a poll without others in flight may resume. While a poll is unanswered, the service may have restarted
// and reset its version counter, so further polls request the full list.
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

// dropSecondOldest cancels the second oldest poll if maxConcurrentPolls are in flight. The oldest may be first in the service's queue, and the
// newest may be the first one after the end of an outage.
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

// handleFailure records a failed poll. If no other is in flight, it starts the delayed poll at once, or reports done if there is none.
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
