package dispatch

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Request is what a client sent: the few fields that decisions need, and the bytes that go on as they came.
type Request struct {
	Class, Tenant, Key string
	Work               float64 // hinted, in milliseconds; 0 where there is no hint
	Write              bool

	Method, Target          string // the target is the raw path and query
	TraceID, IdempotencyKey string
	Body                    []byte        // whole, or what comes before the rest
	Rest                    *BodyStream   // nil: there is none
	Length                  int64         // of a body with a rest; -1: not told
	Timeout                 time.Duration // of a lookup with a rest, from its last byte on
	ClientGone              func() bool   // looks whether the client has ended its connection; nil: nobody can tell
}

// BodyStream is what of a long body is passed on as it comes, to one server only: it can't be read twice.
type BodyStream struct {
	begun, whole atomic.Bool

	mu   sync.Mutex // who carries it and who takes back what is left may read at once
	from io.Reader  // nil: closed
}

// NewBodyStream makes one of what is still to be read.
func NewBodyStream(from io.Reader) *BodyStream { return &BodyStream{from: from} }

func (r *BodyStream) Read(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.from == nil {
		return 0, io.ErrClosedPipe
	}
	r.begun.Store(true)
	n, err := r.from.Read(b)
	if errors.Is(err, io.EOF) {
		r.whole.Store(true)
	}
	return n, err
}

// Close ends reading: nothing of the client's connection is touched from then on.
func (r *BodyStream) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from = nil
}

// Started says that some of it was read, or tried to be.
func (r *BodyStream) Started() bool { return r.begun.Load() }

// Whole says that it was read to its end.
func (r *BodyStream) Whole() bool { return r.whole.Load() }

// Outcome is how a lookup ended for its client.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Failed
)

var outcomeNames = [...]string{Served: "served", Rejected: "refused", Failed: "failed"}

func (o Outcome) String() string { return outcomeNames[o] }

// Answer is a lookup's one final answer.
type Answer struct {
	Outcome     Outcome
	Body        []byte        // whole, or what comes before the rest
	Rest        io.ReadCloser // of a long one, to be read as it comes and closed by who takes the answer; nil: there is none
	Length      int64         // of a body with a rest; -1: not told
	ContentType string
	RetryAfter  time.Duration // 0: no advice
}

// PendingRequest stands for a lookup that was taken. Its fields below the first belong to the exchange's owner.
type PendingRequest struct {
	Request
	dispatcher     *Dispatcher
	receivedAt     time.Time
	clientDeadline time.Time // when the client's time is over; zero: its body still comes
	answers        chan Answer

	ended                     atomic.Bool // set by the owner, read by whoever is about to write a shot
	index, attempts, inFlight int
	released, panicked        bool
	mayHaveRun                bool // an attempt that has ended may have
	earliestMayHaveRun        time.Time
}

// Answers gives the final answer, once.
func (t *PendingRequest) Answers() <-chan Answer { return t.answers }

// Abandon says that the client is gone; shots that are out still settle.
func (t *PendingRequest) Abandon() {
	t.dispatcher.withLock("leave", t, t.clientGone)
}

// clientGone ends a lookup whose client is gone. Called with the lock held.
func (t *PendingRequest) clientGone(now routing.Time) {
	if t.ended.Load() {
		return
	}
	t.dispatcher.tally.ClientGone++
	t.dispatcher.balancer.ClientGone(now, t.index)
	t.dispatcher.end(t)
}

// Attempt is one sending of a lookup to one server.
type Attempt struct {
	*Request
	Address  string
	Endpoint uint64        // which box at this address, and since which start: another number for each
	Timeout  time.Duration // how long the node waits for it
	Origin   bool          // it goes to the origin
	SendBy   time.Time     // when its first byte must have been written; zero: any time

	pending       *PendingRequest
	endpointIndex int
	number        int
	startedAt     time.Time
	deadline      time.Time   // when the node stops waiting for an answer, as it was decided
	bypassTimer   *time.Timer // looks whether others have passed it
	reported      bool        // the module holds it to be over
	finished      bool
	bodySent      bool        // its last byte is out, or it ended before
	streaming     bool        // its answer has a rest that is not over
	counted       atomic.Bool // its last byte has been counted
}

// ClientState says whether the shot's client still waits for it: Granted, RequestOver or ClientGone. Whoever writes its first byte asks
// just before; what has begun goes on. It takes no lock of the exchange, and looks at the client's connection itself, since
// net/http sees a client's end only where no bytes lie before it and some time has passed.
func (s *Attempt) ClientState() admission.Reason {
	if s.ClientGone != nil && !faults.Without(faults.ClientLook) && s.ClientGone() {
		return admission.ClientGone
	}
	if s.pending != nil && s.pending.ended.Load() { // last: the final answer may come while the kernel is asked
		return admission.RequestOver
	}
	return admission.Granted
}

// AttemptDeadline gives when the node stops waiting for an answer. It counts from the decision, not from when the shot is carried out.
func (s *Attempt) AttemptDeadline(carried time.Time) time.Time {
	if s.deadline.IsZero() {
		return carried.Add(s.Timeout)
	}
	return s.deadline
}

// ClientDeadline gives when the client's time is over; zero where that is not known.
func (s *Attempt) ClientDeadline() time.Time {
	if s.pending == nil {
		return time.Time{}
	}
	return s.pending.clientDeadline
}

// Deny counts that an attempt was not written, and why.
func (s *Attempt) Deny(why admission.Reason) {
	if s.pending != nil && why != admission.Granted {
		s.pending.dispatcher.metrics.Denied[why].Add(1)
	}
}

// Finish tells how the shot ended; only the first word counts. The first whole answer goes to the client, and so does
// the first one with a rest: true says that this is it. The rest may take long, until Over, but nothing is decided
// about it any more; the server has given its answer.
func (s *Attempt) Finish(end AttemptResult, answer Answer) (first bool) {
	t := s.pending
	t.dispatcher.withLock("settle", t, func(now routing.Time) {
		if s.finished {
			return
		}
		s.finished = true
		first = end == Complete && !t.ended.Load()
		if s.streaming = first && answer.Rest != nil; !s.streaming {
			t.inFlight--
			defer t.dispatcher.forget(t)
		}
		rescued := end == Complete && s.reported && !t.ended.Load()
		if end == Complete {
			// Answered before the module is told, which holds the lookup to be over from here on.
			t.dispatcher.finish(t, answer)
		}
		if rescued {
			t.dispatcher.balancer.ClientGone(now, t.index)
		}
		if end == Withheld && !t.ended.Load() {
			t.clientGone(now)
			t.answers <- Answer{Outcome: Failed} // its handler waits still: the shot noticed first
		}
		s.report(end)
		t.dispatcher.boxes[s.endpointIndex].settled(s, end)
		t.dispatcher.giveBack(s.endpointIndex)
	})
	return first
}

// Release says that the rest of an answer is through, or broke: until then the lookup's id is out.
func (s *Attempt) Release() {
	t := s.pending
	t.dispatcher.withLock("over", t, func(routing.Time) {
		if s.streaming {
			s.streaming = false
			t.inFlight--
			t.dispatcher.forget(t)
		}
	})
}

// BodySent says that the last byte of a long body has gone out.
func (s *Attempt) BodySent() {
	s.pending.dispatcher.withLock("sent", s.pending, func(routing.Time) { s.reportBodySent() })
}

// reportBodySent tells the module, once, that the shot of a long lookup counts from now on. Called with the lock held.
func (s *Attempt) reportBodySent() {
	if s.Rest != nil && !s.bodySent && !s.reported {
		s.bodySent, s.startedAt = true, time.Now()
		s.pending.dispatcher.balancer.BodySent(s.pending.dispatcher.now(), s.pending.index, s.number)
	}
}

// Stalled says that the answer has begun and pauses for long: it may be stuck. As with one that others have passed, a
// replayable read goes elsewhere too, and whichever answer is whole first counts.
func (s *Attempt) Stalled() {
	if s.pending == nil {
		return
	}
	x := s.pending.dispatcher
	x.withLock("stall", s.pending, func(routing.Time) {
		if !s.finished && !s.Write && x.settings.HedgingAllowed() && x.settings.IsSafe(s.Class) && !x.concurrencyBounded(s) {
			s.report(Bypassed)
		}
	})
}

// report tells the module how the shot ended, once. Called with the lock held.
func (s *Attempt) report(end AttemptResult) {
	if s.reported {
		return
	}
	s.reportBodySent()
	s.reported = true
	t := s.pending
	if end.MayHaveRun() {
		t.noteMayHaveRun(s.startedAt)
	}
	t.dispatcher.tally.Ends[end]++
	t.dispatcher.boxes[s.endpointIndex].drop(s)
	t.dispatcher.balancer.AttemptDone(t.dispatcher.now(), t.index, s.number, end.Code(), end == Complete || t.ended.Load())
}
