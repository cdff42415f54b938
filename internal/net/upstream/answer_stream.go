package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

const (
	firstBytes = 4 << 10         // of a long answer, taken before it is passed on
	waitPart   = 2               // half of a shot's time is left for an answer of no told length to turn out short
	silentMost = 5 * time.Second // a long answer that brings nothing for so long is over
)

// gather takes a body whole. A good answer that is long is left where it stands, after its first bytes: one that says
// so, one of no told length that goes on beyond the bound, or does so while its shot's time runs out.
func (s *Client) gather(resp *http.Response, good bool, until time.Time) (body []byte, long bool, err error) {
	size, told := firstBytes, resp.ContentLength >= 0
	if told {
		size = int(min(resp.ContentLength, s.bounds.MaxBuffered)) + 1 // one more, so that the last read tells of the end
	}
	by := time.Now()
	by = by.Add(until.Sub(by) / waitPart)
	body = make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		over := int64(len(body)) > s.bounds.MaxBuffered
		switch {
		case errors.Is(err, io.EOF) && !over:
			return body, false, nil
		case err != nil && !errors.Is(err, io.EOF):
			return nil, false, err
		case over && !good:
			return nil, false, errTooLong
		case good && n > 0 && (over || resp.ContentLength > s.bounds.MaxBuffered || !told && time.Now().After(by)):
			return body, true, nil
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}

// pass hands a long answer on, and waits until it is through.
func (s *Client) pass(ctx context.Context, shot *dispatch.Attempt, resp *http.Response, answer dispatch.Answer,
	end context.CancelCauseFunc) (dispatch.AttemptResult, dispatch.Answer, error) {
	f := &flow{from: resp.Body, end: end, left: s.bounds.MaxStreamed - int64(len(answer.Body)), over: make(chan struct{}),
		broke: func(err error) {
			if !errors.Is(context.Cause(ctx), errLeft) {
				s.log.Info("a long answer broke off", zap.String("server", shot.Address),
					zap.String("trace", shot.TraceID), zap.Error(err))
			}
		}}
	f.silent = time.AfterFunc(time.Hour, f.look)
	f.silent.Stop()
	answer.Rest = f
	if !shot.Finish(dispatch.Complete, answer) {
		return dispatch.Complete, dispatch.Answer{}, nil // somebody else's answer came first
	}
	<-f.over
	return dispatch.Complete, dispatch.Answer{}, nil
}

// flow is what is left of a long answer. A server that gives nothing is not waited for without end; a client that takes
// nothing holds up its own answer only, since nothing is read meanwhile.
type flow struct {
	from   io.Reader
	end    context.CancelCauseFunc
	left   int64
	silent *time.Timer
	since  atomic.Int64 // clock.Moment at which the present read began; 0: none waits
	broke  func(error)  // told when it does

	closed sync.Once
	over   chan struct{}
}

var errLeft = errors.New("the client has left")

// Read gives io.EOF only where the server has ended the answer as it should.
func (f *flow) Read(b []byte) (int, error) {
	f.since.Store(int64(clock.Now()))
	f.silent.Reset(silentMost)
	n, err := f.from.Read(b)
	f.since.Store(0)
	f.silent.Stop()
	if f.left -= int64(n); f.left < 0 {
		err = errTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) {
		f.broke(err)
	}
	return n, err
}

// look ends a flow whose read has waited for too long.
func (f *flow) look() {
	if since := f.since.Load(); since != 0 && clock.Moment(since).Since() >= silentMost {
		f.end(errHalf)
	}
}

// Close ends the server's connection where the answer is not whole. It may come while Read waits.
func (f *flow) Close() error {
	f.closed.Do(func() {
		f.end(errLeft)
		close(f.over)
	})
	return nil
}

// pauses learns how long servers pause within answers that end well: how long one has to be silent before it is likely
// stuck differs from fleet to fleet.
type pauses struct {
	mu      sync.Mutex
	longest time.Duration
}

const (
	pauseLeast  = 50 * time.Millisecond // no answer is held to be stuck sooner
	pauseFactor = 2                     // of the longest pause seen: so long is unusual,
	stuckFactor = 4                     // and this many times that is the end of it
	pauseFade   = 64                    // the longest is forgotten over some hundred answers
	pauseMost   = 250 * time.Millisecond
)

func (p *pauses) seen(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pause > p.longest {
		p.longest = min(pause, pauseMost)
	} else {
		p.longest -= (p.longest - pause) / pauseFade
	}
}

func (p *pauses) patience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(pauseLeast, pauseFactor*p.longest)
}

// watch looks after an answer from its first byte on: one that pauses for unusually long may be stuck, and is given up
// when it goes on pausing.
func (s *Client) watch(shot *dispatch.Attempt, on *carried, halt func(error)) *time.Timer {
	var t *time.Timer
	told := false
	t = time.AfterFunc(time.Hour, func() {
		patience, quiet := s.pauses.patience(), on.conn.quiet()
		switch most := stuckFactor * patience; {
		case quiet >= most:
			halt(errHalf)
		case quiet < patience:
			t.Reset(patience - quiet)
		default:
			if !told {
				told = true
				shot.Stalled()
			}
			t.Reset(most - quiet)
		}
	})
	t.Stop()
	return t
}
