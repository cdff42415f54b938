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

// maxStreamSilence is how long a server may send nothing before a streamed answer is aborted.
const maxStreamSilence = 5 * time.Second

// errStreamClosed is the cancellation cause of an exchange whose answerStream was closed by its reader.
var errStreamClosed = errors.New("the client has left")

// streamAnswer delivers a long answer and waits until its reader closes it. The timers are stopped, because the answer
// started in time; how long the rest takes is up to the server and the client.
func (x *exchange) streamAnswer(resp *http.Response, answer dispatch.Answer) (dispatch.AttemptResult, dispatch.Answer, error) {
	x.stopWaiting()
	if x.ctx.Err() != nil {
		return x.resultOfCancel(), dispatch.Answer{}, context.Cause(x.ctx)
	}
	stream := &answerStream{
		source:    resp.Body,
		remaining: x.client.limits.MaxStreamedBody - int64(len(answer.Body)),
		cancel:    x.cancel,
		onError:   x.logStreamError,
		closed:    make(chan struct{}),
	}
	stream.silence = time.AfterFunc(time.Hour, stream.checkSilence)
	stream.silence.Stop()
	answer.BodyStream = stream
	if !x.attempt.Finish(dispatch.Complete, answer) {
		return dispatch.Complete, dispatch.Answer{}, nil // another attempt has given the final answer
	}
	<-stream.closed
	return dispatch.Complete, dispatch.Answer{}, nil
}

// logStreamError logs that a streamed answer failed before its end.
func (x *exchange) logStreamError(err error) {
	if errors.Is(context.Cause(x.ctx), errStreamClosed) {
		return // the client left, which is no error of the server
	}
	x.client.log.Info("a long answer broke off", zap.String("server", x.attempt.Address),
		zap.String("trace", x.attempt.TraceID), zap.Error(err))
}

// answerStream is the part of a long answer that is forwarded to the client while it is received. If the server sends
// nothing for maxStreamSilence during a Read, the exchange is canceled. A slow client delays only its own answer, because
// nothing is read from the server meanwhile. Read must not be called concurrently; Close may be called at any time.
type answerStream struct {
	source    io.Reader
	remaining int64 // bytes allowed before the answer is too long
	cancel    context.CancelCauseFunc
	onError   func(error) // called when Read fails, except with io.EOF
	silence   *time.Timer
	readStart atomic.Int64 // clock.Moment at which the current Read started; 0: no Read is in progress

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
	s.remaining -= int64(n)
	if s.remaining < 0 {
		err = errTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) {
		s.onError(err)
	}
	return n, err
}

// checkSilence cancels the exchange if the current Read has lasted maxStreamSilence.
func (s *answerStream) checkSilence() {
	start := s.readStart.Load()
	if start != 0 && clock.Moment(start).Since() >= maxStreamSilence {
		s.cancel(errStalled)
	}
}

// Close implements io.Closer. It closes the connection to the server unless the answer is complete.
func (s *answerStream) Close() error {
	s.closeOnce.Do(func() {
		s.cancel(errStreamClosed)
		close(s.closed)
	})
	return nil
}
