// Package boxlist follows the discovery service's list of boxes, on the module's order.
package boxlist

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/exchange"
	"github.com/thistlerudder/thistlerudder/logic"
)

const (
	path       = "/discovery/hosts"
	holdMost   = 20 * time.Second        // a watch; the most by which a silent connection keeps news back
	answerIn   = 4 * time.Second         // an answer without a wait: what isn't there after 6 s counts as told
	afterHold  = 1500 * time.Millisecond // beyond a watch's wait: news count as told 2 s after it
	pause      = 100 * time.Millisecond  // after an empty answer at once; the next watch is due within 200 ms
	connectIn  = 1 * time.Second
	idleFor    = 30 * time.Second
	pageMost   = 8 << 20 // bytes: some ten thousand boxes
	headerMost = 16 << 10
)

// Follower watches the list.
type Follower struct {
	log       *zap.Logger
	exchange  *exchange.Exchange
	address   string
	hold      time.Duration
	orders    chan struct{}
	transport *http.Transport
}

// New makes a follower. A watch holds no longer than askWithin: by then the node must have asked.
func New(x *exchange.Exchange, address string, askWithin time.Duration, log *zap.Logger) *Follower {
	return &Follower{
		log:      log,
		exchange: x,
		address:  address,
		hold:     min(holdMost, askWithin),
		orders:   make(chan struct{}, 1),
		transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: connectIn}).DialContext,
			DisableCompression:     true,
			MaxConnsPerHost:        2,
			MaxIdleConns:           1,
			IdleConnTimeout:        idleFor,
			MaxResponseHeaderBytes: headerMost,
		},
	}
}

// Known tells the module the list as it was last had.
func (f *Follower) Known(body []byte) error {
	if len(body) == 0 {
		return nil
	}
	_, _, boxes, err := parse(body)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	f.exchange.List(logic.Persisted, boxes)
	return nil
}

// Subscribe orders the list and its changes. Two orders before the first is followed are one.
func (f *Follower) Subscribe() {
	select {
	case f.orders <- struct{}{}:
	default:
	}
}

// Run follows the list until the context ends: on each order the whole list, then watches until one fails.
func (f *Follower) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.orders:
		}
		if err := f.follow(ctx); ctx.Err() == nil {
			f.log.Warn("box list lost, the old one stands", zap.Error(err))
			f.exchange.List(logic.Failed, nil)
		}
	}
}

func (f *Follower) follow(ctx context.Context) error {
	last, whole := int64(0), true
	for {
		query, within := "", answerIn
		if !whole {
			query = fmt.Sprintf("?from=%d&hold_ms=%d", last, f.hold.Milliseconds())
			within = f.hold + afterHold
		}
		asked := time.Now()
		version, full, boxes, err := f.ask(ctx, query, within)
		if err != nil {
			return err
		}
		if !full && (whole || version < last) {
			if whole {
				return errors.New("expected the whole list")
			}
			whole = true // a gap: what lies between is not told
			continue
		}
		if full || len(boxes) > 0 {
			how := logic.Changes
			if full {
				how = logic.Whole
			}
			f.exchange.List(how, boxes)
			f.log.Info("box list", zap.Int64("version", version), zap.Bool("whole", full),
				zap.Int("boxes", len(boxes)))
		}
		last, whole = version, false
		if quick := time.Since(asked) < pause; quick && len(boxes) == 0 {
			// A service that doesn't hold its watches must not be asked without end.
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pause):
			}
		}
	}
}

func (f *Follower) ask(
	ctx context.Context,
	query string,
	within time.Duration,
) (int64, bool, []exchange.Box, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+path+query, nil)
	if err != nil {
		return 0, false, nil, err
	}
	resp, err := f.transport.RoundTrip(r)
	if err != nil {
		return 0, false, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, pageMost+1))
	switch {
	case err != nil:
		return 0, false, nil, err
	case resp.StatusCode != http.StatusOK:
		return 0, false, nil, fmt.Errorf("the discovery service answered %d", resp.StatusCode)
	case len(body) > pageMost:
		return 0, false, nil, errors.New("the list is over its bound")
	}
	return parse(body)
}
