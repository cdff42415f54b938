package discovery

// This file holds the way to another discovery service, and the check on one that may count anew.

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// SwitchTo goes over to another source without a gap: the old one is followed until the new one has given its whole
// list, however long that takes, and has no say from then on. The new one may count versions anew. A move that is
// still under way leads to an address of the past and ends.
func (f *Client) SwitchTo(ctx context.Context, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stay()
	ctx, f.stay = context.WithCancel(ctx)
	go f.move(ctx, address)
}

func (f *Client) move(ctx context.Context, address string) {
	ctx, arrived := context.WithCancel(ctx)
	defer arrived()
	again := make(chan struct{})
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(moveWait/2 + rand.N(moveWait/2)): // spread, since all nodes may be told of it at once
			}
			select {
			case <-ctx.Done():
				return
			case again <- struct{}{}:
			}
		}
	}()
	for {
		got, err := hedge(ctx, f, &source{address: address}, again) // nothing is put off for an earlier crowd: 4 s are all it has
		if err == nil && f.arrive(ctx, source{address: address, version: got.version, had: true, heard: time.Now(), resumes: true}, got.boxes) {
			f.log.Info("the box list comes from another address now", zap.String("discovery", address))
			return
		}
		if ctx.Err() != nil {
			return
		}
		f.log.Warn("the new address gives no box list yet, the old one stands", zap.String("discovery", address),
			zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-again:
		}
	}
}

// check has the whole list once beside a watch that was resumed. It guards against a service that turned calls away all through a
// restart and counts anew: its versions may look like those before it, and what changed in between was never told.
func (f *Client) check(ctx context.Context, of source) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkIn/2 + rand.N(checkIn/2)): // spread, lest it make a crowd
		}
		got, err := f.ask(ctx, of.address, "", answerIn)
		f.mu.Lock()
		same := err == nil && got.full && ctx.Err() == nil && of.nth == f.from.nth && got.version == f.from.version
		if same { // a list of any other version could be older than what the watch brings just now
			f.note(f.from, true, got.boxes)
		}
		if f.mu.Unlock(); same {
			return
		}
	}
}

// arrive makes a source the one that counts, with its first list.
func (f *Client) arrive(ctx context.Context, at source, boxes []dispatch.Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	at.nth = f.from.nth + 1
	f.note(at, true, boxes)
	f.leave()
	select {
	case f.moved <- struct{}{}:
	default: // one is enough
	}
	return true
}
