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

// Begun says that some of it was read, or tried to be.
func (r *BodyStream) Begun() bool { return r.begun.Load() }

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

// Ticket stands for a lookup that was taken. Its fields below the first belong to the exchange's owner.
type Ticket struct {
	Request
	x       *Dispatcher
	read    time.Time
	limit   time.Time // when the client's time is over; zero: its body still comes
	answers chan Answer

	over               atomic.Bool // set by the owner, read by whoever is about to write a shot
	index, shots, out  int
	forgotten, spoiled bool
	mayHaveRun         bool // an attempt that has ended may have
	firstMayHaveRun    time.Time
}

// Answers gives the final answer, once.
func (t *Ticket) Answers() <-chan Answer { return t.answers }

// Abandon says that the client is gone; shots that are out still settle.
func (t *Ticket) Abandon() {
	t.x.do("leave", t, t.left)
}

// left ends a lookup whose client is gone. Called with the lock held.
func (t *Ticket) left(now routing.Time) {
	if t.over.Load() {
		return
	}
	t.x.tally.ClientGone++
	t.x.balancer.ClientGone(now, t.index)
	t.x.end(t)
}

// Attempt is one sending of a lookup to one server.
type Attempt struct {
	*Request
	Address  string
	Endpoint uint64        // which box at this address, and since which start: another number for each
	Timeout  time.Duration // how long the node waits for it
	Origin   bool          // it goes to the origin
	SendBy   time.Time     // when its first byte must have been written; zero: any time

	ticket  *Ticket
	server  int
	number  int
	sent    time.Time
	until   time.Time   // when the node stops waiting for an answer, as it was decided
	watch   *time.Timer // looks whether others have passed it
	told    bool        // the module holds it to be over
	settled bool
	began   bool        // its last byte is out, or it ended before
	flows   bool        // its answer has a rest that is not over
	written atomic.Bool // its last byte has been counted
}

// ClientState says whether the shot's client still waits for it: Granted, RequestOver or ClientGone. Whoever writes its first byte asks
// just before; what has begun goes on. It takes no lock of the exchange, and looks at the client's connection itself, since
// net/http sees a client's end only where no bytes lie before it and some time has passed.
func (s *Attempt) ClientState() admission.Reason {
	if s.ClientGone != nil && !faults.Without(faults.ClientLook) && s.ClientGone() {
		return admission.ClientGone
	}
	if s.ticket != nil && s.ticket.over.Load() { // last: the final answer may come while the kernel is asked
		return admission.RequestOver
	}
	return admission.Granted
}

// AttemptDeadline gives when the node stops waiting for an answer. It counts from the decision, not from when the shot is carried out.
func (s *Attempt) AttemptDeadline(carried time.Time) time.Time {
	if s.until.IsZero() {
		return carried.Add(s.Timeout)
	}
	return s.until
}

// ClientDeadline gives when the client's time is over; zero where that is not known.
func (s *Attempt) ClientDeadline() time.Time {
	if s.ticket == nil {
		return time.Time{}
	}
	return s.ticket.limit
}

// Deny counts that an attempt was not written, and why.
func (s *Attempt) Deny(why admission.Reason) {
	if s.ticket != nil && why != admission.Granted {
		s.ticket.x.figures.Denied[why].Add(1)
	}
}

// Finish tells how the shot ended; only the first word counts. The first whole answer goes to the client, and so does
// the first one with a rest: true says that this is it. The rest may take long, until Over, but nothing is decided
// about it any more; the server has given its answer.
func (s *Attempt) Finish(end AttemptResult, answer Answer) (first bool) {
	t := s.ticket
	t.x.do("settle", t, func(now routing.Time) {
		if s.settled {
			return
		}
		s.settled = true
		first = end == Complete && !t.over.Load()
		if s.flows = first && answer.Rest != nil; !s.flows {
			t.out--
			defer t.x.forget(t)
		}
		rescued := end == Complete && s.told && !t.over.Load()
		if end == Complete {
			// Answered before the module is told, which holds the lookup to be over from here on.
			t.x.finish(t, answer)
		}
		if rescued {
			t.x.balancer.ClientGone(now, t.index)
		}
		if end == Withheld && !t.over.Load() {
			t.left(now)
			t.answers <- Answer{Outcome: Failed} // its handler waits still: the shot noticed first
		}
		s.tell(end)
		t.x.boxes[s.server].settled(s, end)
		t.x.giveBack(s.server)
	})
	return first
}

// Release says that the rest of an answer is through, or broke: until then the lookup's id is out.
func (s *Attempt) Release() {
	t := s.ticket
	t.x.do("over", t, func(routing.Time) {
		if s.flows {
			s.flows = false
			t.out--
			t.x.forget(t)
		}
	})
}

// Sent says that the last byte of a long body has gone out.
func (s *Attempt) Sent() {
	s.ticket.x.do("sent", s.ticket, func(routing.Time) { s.begins() })
}

// begins tells the module, once, that the shot of a long lookup counts from now on. Called with the lock held.
func (s *Attempt) begins() {
	if s.Rest != nil && !s.began && !s.told {
		s.began, s.sent = true, time.Now()
		s.ticket.x.balancer.BodySent(s.ticket.x.now(), s.ticket.index, s.number)
	}
}

// Stalled says that the answer has begun and pauses for long: it may be stuck. As with one that others have passed, a
// replayable read goes elsewhere too, and whichever answer is whole first counts.
func (s *Attempt) Stalled() {
	if s.ticket == nil {
		return
	}
	x := s.ticket.x
	x.do("stall", s.ticket, func(routing.Time) {
		if !s.settled && !s.Write && x.terms.HedgingAllowed() && x.terms.IsSafe(s.Class) && !x.alone(s) {
			s.tell(Bypassed)
		}
	})
}

// tell tells the module how the shot ended, once. Called with the lock held.
func (s *Attempt) tell(end AttemptResult) {
	if s.told {
		return
	}
	s.begins()
	s.told = true
	t := s.ticket
	if end.MayHaveRun() {
		t.ran(s.sent)
	}
	t.x.tally.Ends[end]++
	t.x.boxes[s.server].drop(s)
	t.x.balancer.AttemptDone(t.x.now(), t.index, s.number, end.Code(), end == Complete || t.over.Load())
}
