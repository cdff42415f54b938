package upstream

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

const (
	minLumps        = 3 // an answer with so many parts, and pauses between them, is written in lumps
	lumpPauseMargin = 4 // the next pause may be longer by a quarter than the longest before

	// maxOverduePatience is how long after its deadline an answer may be as silent as other answers have been.
	maxOverduePatience = 75 * time.Millisecond
)

// maxStreamSilence is how long a server may send nothing before a streamed answer is aborted.
const maxStreamSilence = 5 * time.Second

// Cancellation causes of an exchange whose answer is streamed.
var (
	errStreamClosed  = errors.New("the client has left")
	errUnfinished    = errors.New("the answer began in time and did not end")
	errStreamTooLong = errors.New("the answer was streamed for too long")
)

// streamAnswer delivers an answer of which a part was received, waits until its reader closes it, and returns how it
// ended. The exchange's timeout stays in force: until the answer is known to be long it has to end by streamDeadline, and
// after that within MaxStreamDuration.
func (x *exchange) streamAnswer(received receivedAnswer) (dispatch.AttemptResult, error) {
	answer := received.Answer
	long := x.isLong(int64(len(answer.Body)), answer.Length)
	stream := &answerStream{
		exchange: x,
		source:   received.rest,
		long:     long,
		closed:   make(chan struct{}),
	}
	stream.received.Store(int64(len(answer.Body)))
	stream.silence = time.AfterFunc(time.Hour, stream.checkSilence)
	stream.silence.Stop()
	if !x.startStreaming(stream, long) {
		return x.resultOfCancel(), context.Cause(x.ctx)
	}
	answer.BodyStream = stream
	pauses := x.conn.longestAnswerPause()
	if !x.attempt.Deliver(answer, long) {
		return dispatch.Canceled, nil // another attempt has given the final answer
	}
	<-stream.closed
	result, err := stream.result()
	if result == dispatch.Complete {
		x.client.stalls.observe(pauses)
	}
	return result, err
}

// isLong reports whether an answer is long, so that its time is that of its first bytes. length is its declared length,
// or -1 if it is unknown.
func (x *exchange) isLong(received, length int64) bool {
	return max(received, length) > x.client.limits.MaxBufferedBody
}

// answerStream is the part of an answer that is forwarded to the client while it is received. If the server sends
// nothing for maxStreamSilence during a Read, the exchange is canceled. A slow client delays only its own answer, because
// nothing is read from the server meanwhile. Read must not be called concurrently; Close may be called at any time.
type answerStream struct {
	exchange  *exchange
	source    io.Reader
	received  atomic.Int64 // bytes of the body, including those before the stream
	long      bool         // the answer is known to be long
	silence   *time.Timer
	readStart atomic.Int64 // clock.Moment at which the current Read started; 0: no Read is in progress

	mu        sync.Mutex
	end       error // returned by the Read that ended the stream; nil: none did
	closeOnce sync.Once
	closed    chan struct{}
}

// Read implements io.Reader. It returns io.EOF only if the server completed the answer.
func (s *answerStream) Read(b []byte) (int, error) {
	s.readStart.Store(int64(clock.Now()))
	s.silence.Reset(maxStreamSilence)
	n, err := s.source.Read(b)
	s.readStart.Store(0)
	s.silence.Stop()
	received := s.received.Add(int64(n))
	if received > s.exchange.client.limits.MaxStreamedBody {
		err = errTooLong
	}
	if !s.long && s.exchange.isLong(received, unknownLength) {
		s.long = true
		s.exchange.reportLong()
	}
	if err != nil {
		s.setEnd(err)
	}
	return n, err
}

// waiting reports whether a Read waits for the server. Otherwise the client is slow to take what was read.
func (s *answerStream) waiting() bool { return s.readStart.Load() != 0 }

// growing reports whether the answer goes on without a stall and at minAnswerPace, so that it is about to become long. A
// silence is no stall if it is about as long as the answer's own pauses, of which there were several, or shortly after the
// deadline as those of other answers. overdue is the time since the deadline.
func (s *answerStream) growing(overdue time.Duration) bool {
	x := s.exchange
	longestPause, lumps := x.conn.answerPauses()
	maxSilence := minStallThreshold
	if overdue < maxOverduePatience {
		maxSilence = x.client.stalls.threshold()
	}
	if lumps >= minLumps {
		maxSilence = max(maxSilence, longestPause+longestPause/lumpPauseMargin)
	}
	if x.conn.answerSilence() >= maxSilence {
		return false
	}
	elapsed := clock.Moment(x.answerStart.Load()).Since()
	return float64(s.received.Load()) >= minAnswerPace*elapsed.Seconds()
}

// checkSilence cancels the exchange if the current Read has lasted maxStreamSilence.
func (s *answerStream) checkSilence() {
	start := s.readStart.Load()
	if start != 0 && clock.Moment(start).Since() >= maxStreamSilence {
		s.exchange.cancel(errStalled)
	}
}

func (s *answerStream) setEnd(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end == nil {
		s.end = err
	}
}

// result returns how the closed stream ended, and the error that ended it. A stream that was closed before its end has
// lost its client.
func (s *answerStream) result() (dispatch.AttemptResult, error) {
	s.mu.Lock()
	end := s.end
	s.mu.Unlock()
	x := s.exchange
	cause := context.Cause(x.ctx)
	switch {
	case errors.Is(end, io.EOF):
		return dispatch.Complete, nil
	case errors.Is(end, errTooLong):
		return dispatch.Malformed, end
	case cause != nil && !errors.Is(cause, errStreamClosed):
		return x.resultOfCancel(), cause
	case end == nil || errors.Is(end, context.Canceled) || errors.Is(end, errStreamClosed):
		return dispatch.ClientLeft, errStreamClosed
	case x.conn.localFailure.Load():
		return dispatch.Canceled, end
	case isConnectionError(end):
		return dispatch.Truncated, end
	default:
		return dispatch.Malformed, end
	}
}

// Close implements io.Closer. It closes the connection to the server unless the answer is complete.
func (s *answerStream) Close() error {
	s.closeOnce.Do(func() {
		s.exchange.cancel(errStreamClosed)
		close(s.closed)
	})
	return nil
}
