// Package boxlist follows the discovery service's list of boxes, on the module's order.
package boxlist

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/exchange"
	"github.com/thistlerudder/thistlerudder/logic"
)

const (
	path       = "/discovery/hosts"
	holdMost   = 20 * time.Second        // a watch; the most by which a silent connection keeps news back
	answerIn   = 2500 * time.Millisecond // an answer without a wait: services answer or refuse within 2 s, and one that is down may never
	afterHold  = 300 * time.Millisecond  // beyond a watch's wait: news count as told 2 s after it, and the module's wait and a list take 1.5 s of them
	pause      = 100 * time.Millisecond  // after an empty answer at once; the next watch is due within 200 ms
	moveIn     = 1500 * time.Millisecond // an answer of a new address: two calls fit into the 4 s that it is given
	moveWait   = 1 * time.Second         // longest wait between calls to a new address
	connectIn  = 1 * time.Second
	idleFor    = 30 * time.Second
	pageMost   = 8 << 20 // bytes: some ten thousand boxes
	headerMost = 16 << 10
)

var errNotWhole = errors.New("expected the whole list")

// Follower watches the list.
type Follower struct {
	log       *zap.Logger
	exchange  *exchange.Exchange
	hold      time.Duration
	orders    chan struct{}
	moved     chan struct{}
	transport *http.Transport

	mu    sync.Mutex
	from  source
	leave context.CancelFunc // ends the call that is under way at the source
	stay  context.CancelFunc // ends a move that is under way
}

// source is where the list comes from, and how far it was had from there.
type source struct {
	address string
	nth     int // one more with each move: what an earlier source says no longer counts
	version int64
	had     bool
}

// New makes a follower. A watch holds no longer than askWithin: by then the node must have asked.
func New(x *exchange.Exchange, address string, askWithin time.Duration, log *zap.Logger) *Follower {
	return &Follower{
		log:      log,
		exchange: x,
		from:     source{address: address},
		leave:    func() {},
		stay:     func() {},
		hold:     min(holdMost, askWithin),
		orders:   make(chan struct{}, 1),
		moved:    make(chan struct{}, 1),
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

// Run follows the list until the context ends: on each order the whole list, then watches until one fails. After a
// move it goes on with a watch at the new source.
func (f *Follower) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.orders:
			f.mu.Lock()
			f.from.had = false
			f.mu.Unlock()
		case <-f.moved:
		}
		at, err := f.follow(ctx)
		f.mu.Lock()
		stale := at.nth != f.from.nth
		f.mu.Unlock()
		if !stale && ctx.Err() == nil {
			f.log.Warn("box list lost, the old one stands", zap.Error(err))
			f.exchange.List(logic.Failed, nil)
		}
	}
}

// follow asks one source, in turn, until a call fails or the source is another.
func (f *Follower) follow(ctx context.Context) (source, error) {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	f.mu.Lock()
	at := f.from
	f.leave = leave
	f.mu.Unlock()
	for {
		query, within := "", answerIn
		if at.had {
			query = fmt.Sprintf("?from=%d&hold_ms=%d", at.version, f.hold.Milliseconds())
			within = f.hold + afterHold
		}
		asked := time.Now()
		version, full, boxes, err := f.ask(ctx, at.address, query, within)
		if err != nil {
			return at, err
		}
		if !full && (!at.had || version < at.version) {
			if !at.had {
				return at, errNotWhole
			}
			at.had = false // a gap: what lies between is not told
			continue
		}
		at.version, at.had = version, true
		if !f.tell(at, full, boxes) {
			return at, nil
		}
		if quick := time.Since(asked) < pause; quick && len(boxes) == 0 {
			// A service that doesn't hold its watches must not be asked without end.
			select {
			case <-ctx.Done():
				return at, ctx.Err()
			case <-time.After(pause):
			}
		}
	}
}

// tell hands on what a source said, unless another one has taken its place since.
func (f *Follower) tell(at source, full bool, boxes []exchange.Box) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.nth != f.from.nth {
		return false
	}
	f.note(at, full, boxes)
	return true
}

// note is called with the lock held, so that no list of an earlier source can come after one of a later.
func (f *Follower) note(at source, full bool, boxes []exchange.Box) {
	f.from = at
	if !full && len(boxes) == 0 {
		return
	}
	how := logic.Changes
	if full {
		how = logic.Whole
	}
	f.exchange.List(how, boxes)
	f.log.Info("box list", zap.Int64("version", at.version), zap.Bool("whole", full), zap.Int("boxes", len(boxes)))
}

// Move goes over to another source without a gap: the old one is followed until the new one has given its whole
// list, however long that takes, and has no say from then on. The new one may count versions anew. A move that is
// still under way leads to an address of the past and ends.
func (f *Follower) Move(ctx context.Context, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stay()
	ctx, f.stay = context.WithCancel(ctx)
	go f.move(ctx, address)
}

func (f *Follower) move(ctx context.Context, address string) {
	for wait := pause; ; wait = min(2*wait, moveWait) {
		version, full, boxes, err := f.ask(ctx, address, "", moveIn)
		if err == nil && !full {
			err = errNotWhole
		}
		if err == nil && f.arrive(ctx, source{address: address, version: version, had: true}, boxes) {
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
		case <-time.After(wait):
		}
	}
}

// arrive makes a source the one that counts, with its first list.
func (f *Follower) arrive(ctx context.Context, at source, boxes []exchange.Box) bool {
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

func (f *Follower) ask(
	ctx context.Context,
	address, query string,
	within time.Duration,
) (int64, bool, []exchange.Box, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path+query, nil)
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
