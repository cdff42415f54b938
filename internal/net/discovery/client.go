// Package discovery follows the discovery service's list of boxes, on the module's order.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
)

// What discovery tells counts as told 6 s after it had it and could be reached, whatever has become of the calls before: so the
// list has to be had in 4 s from a service that answers at its return, in 5 s from one that first turns a call away. A call that
// is out then may never be answered, so none waits for another's end: while there is no list, the next begins beside it.
//
//	at the return                                  next call begins after    a list after, at most   one call turned away
//	refused, reset, 503, half or bad list          logic.AskMost   1.8 s     + listIn   2.8 s        + logic.AskMost   4.6 s
//	  503, then accepted and silent                lineIn          2.1 s     3.1 s                   2 logic.AskMost   4.6 s
//	accepted and silent, a connect that hangs      the same: beside it       2.8 s                   4.6 s
//	an older version (a gap), a watch that ended   logic.AskSpread 0.3 s     1.3 s                   3.1 s
//	a start                                        logic.AskSpread 0.3 s     1.3 s                   3.1 s
//	a wait for a part of the fleet's calls         logic.AskMost   1.8 s     2.8 s, if there is one  4.6 s
//	a move to another address                      moveWait        1.0 s     2.0 s                   3.0 s
//	pushed lists, a drain's grace g of 0.9 s up    g/3                       g/3 + the list          2g/3 + the list
//	  503, then accepted and silent                2g/3                      2g/3 + the list         g + the list
//	a silent watch, from its wait's end            afterHold + logic.AskSpread 0.6 s, a list 1.6 s (2 s are allowed)
//
// TestTheListIsHadInTime holds these sums; TestTheListIsHadAfterAnOutage has followers under outages of each kind.
const (
	path       = "/discovery/hosts"
	holdMost   = 20 * time.Second        // a watch; the most by which a silent connection keeps news back
	answerIn   = 2500 * time.Millisecond // an answer without a wait: services answer or refuse within 2 s, and one that is down may never
	listIn     = 1 * time.Second         // what a call for the whole list takes, the connection with it, where its service is well
	callsMost  = 3                       // such calls at a time; each begins some tenths of a second or more after the one before
	afterHold  = 300 * time.Millisecond  // beyond a watch's wait: news count as told 2 s after it, and the module's wait and a list take 1.3 s of them
	pause      = 100 * time.Millisecond  // after an empty answer at once; the next watch is due within 200 ms
	moveWait   = 1 * time.Second         // longest wait from one call to a new address to the next: three fit into the 4 s that it is given
	connectIn  = 1 * time.Second         // a call that is given up leaves its connect behind for as long
	connsMost  = 9                       // connections to one address: connects of 1 s, one in 0.15 s, a move's and a watch's
	lineIn     = 2100 * time.Millisecond // what stands in a service's line is answered or turned away by then
	crowdIn    = 4 * time.Second         // since a call was turned away: two waits between calls
	resumeIn   = 6 * time.Second         // since it was heard, were it to turn a call away: a service that counts anew is silent meanwhile, or refuses
	checkIn    = 40 * time.Second        // and yet, should it be: the whole list once, half as long to as long after, when the crowd is gone
	holdLeast  = 1 * time.Millisecond    // a resumed watch's first: an answer at once, also where nothing changed
	idleFor    = 30 * time.Second
	pageMost   = 8 << 20 // bytes: some ten thousand boxes
	headerMost = 16 << 10
)

var (
	errNotWhole = errors.New("expected the whole list")
	errGap      = errors.New("an older version than the last: what lies between was not told")
	errTooMany  = errors.New("the discovery service answered 503")
)

// Client watches the list.
type Client struct {
	log       *zap.Logger
	exchange  *dispatch.Dispatcher
	hold      time.Duration
	orders    chan struct{}
	moved     chan struct{}
	transport *http.Transport

	mu    sync.Mutex
	from  source
	leave context.CancelFunc // ends the call that is under way at the source
	stay  context.CancelFunc // ends a move that is under way
}

// New makes a follower. A watch holds no longer than askWithin: by then the node must have asked.
func New(x *dispatch.Dispatcher, address string, askWithin time.Duration, log *zap.Logger) *Client {
	return &Client{
		log:      log,
		exchange: x,
		from:     source{address: address},
		leave:    func() {},
		stay:     func() {},
		hold:     min(holdMost, askWithin),
		orders:   make(chan struct{}, 1),
		moved:    make(chan struct{}, 1),
		transport: &http.Transport{
			DialContext:            faults.Dialing("list", kernel.DialingWhole((&net.Dialer{Timeout: connectIn}).DialContext)),
			DisableCompression:     true,
			MaxConnsPerHost:        connsMost,
			MaxIdleConns:           1,
			IdleConnTimeout:        idleFor,
			MaxResponseHeaderBytes: headerMost,
		},
	}
}

// LoadCached tells the module the list as it was last had, and goes on from its version: in a crowd that takes one place in the service's
// line, where the whole list and then a watch take two. check guards against a service that counts anew since.
func (f *Client) LoadCached(body []byte) error {
	if len(body) == 0 {
		return nil
	}
	version, full, boxes, err := parse(body)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	if full {
		f.mu.Lock()
		f.from.version, f.from.resumes, f.from.heard = version, true, time.Now()
		f.mu.Unlock()
	}
	f.exchange.UpdateEndpoints(routing.Cached, boxes)
	return nil
}

// Subscribe orders the list and its changes. Two orders before the first is followed are one; one that comes while calls for
// the whole list are out is for one more.
func (f *Client) Subscribe() {
	select {
	case f.orders <- struct{}{}:
	default:
	}
}

// Run follows the list until the context ends: on each order the whole list, or what changed since where calls were only
// turned away, then watches until one fails. After a move it goes on with a watch at the new source.
func (f *Client) Run(ctx context.Context) {
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
		if !stale {
			f.from.crowded, f.from.resumes, f.from.heard = at.crowded, at.resumes, at.heard
		}
		if f.mu.Unlock(); !stale && ctx.Err() == nil {
			f.log.Warn("box list lost, the old one stands", zap.Error(err))
			f.exchange.UpdateEndpoints(routing.Failed, nil)
		}
	}
}

// follow asks one source, in turn, until a call fails or the source is another.
func (f *Client) follow(ctx context.Context) (source, error) {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	f.mu.Lock()
	at := f.from
	f.leave = leave
	f.mu.Unlock()
	for {
		asked := time.Now()
		var got list
		var err error
		if !at.had {
			got, err = hedge(ctx, f, &at, f.orders)
		} else {
			got, err = f.watch(ctx, at)
		}
		if err != nil {
			if at.had {
				at.fails(err)
				select {
				case <-f.orders: // it crossed the list that it was for
				default:
				}
			}
			return at, err
		}
		if !at.had && !got.full {
			go f.check(ctx, at)
		}
		at.version, at.had, at.heard, at.resumes = got.version, true, time.Now(), true
		if !f.tell(at, got.full, got.boxes) {
			return at, nil
		}
		if quick := time.Since(asked) < pause; quick && len(got.boxes) == 0 {
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
func (f *Client) tell(at source, full bool, boxes []dispatch.Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.nth != f.from.nth {
		return false
	}
	f.note(at, full, boxes)
	return true
}

// note is called with the lock held, so that no list of an earlier source can come after one of a later.
func (f *Client) note(at source, full bool, boxes []dispatch.Endpoint) {
	goes := f.from.had
	if f.from = at; goes && !full && len(boxes) == 0 {
		return
	}
	how := routing.Incremental
	if full {
		how = routing.Full
	}
	f.exchange.UpdateEndpoints(how, boxes)
	f.log.Info("box list", zap.Int64("version", at.version), zap.Bool("whole", full), zap.Int("boxes", len(boxes)))
}

// watch waits for what changed since the last answer.
func (f *Client) watch(ctx context.Context, at source) (list, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The transport makes a call once more whose kept connection ends under it. A watch that it makes anew as its service
	// goes down may be silent up to its end, and nobody would know: it fails instead, and the module orders a list.
	conns := 0
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if conns++; conns > 1 {
			cancel()
		}
	}})
	hold := f.hold/2 + rand.N(f.hold/2+1) // drawn for each, so that watches which fall silent at once do not end at once
	got, err := f.ask(ctx, at.address, fmt.Sprintf("?from=%d&hold_ms=%d", at.version, hold.Milliseconds()), hold+afterHold)
	if err == nil && !got.full && got.version < at.version {
		err = errGap
	}
	return got, err
}

func (f *Client) ask(ctx context.Context, address, query string, within time.Duration) (list, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path+query, nil)
	if err != nil {
		return list{}, err
	}
	resp, err := f.transport.RoundTrip(r)
	if err != nil {
		return list{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, pageMost+1))
	switch {
	case err != nil:
		return list{}, err
	case resp.StatusCode == http.StatusServiceUnavailable:
		return list{}, errTooMany
	case resp.StatusCode != http.StatusOK:
		return list{}, fmt.Errorf("the discovery service answered %d", resp.StatusCode)
	case len(body) > pageMost:
		return list{}, errors.New("the list is over its bound")
	}
	var got list
	got.version, got.full, got.boxes, err = parse(body)
	return got, err
}
