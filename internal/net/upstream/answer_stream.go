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

// maxStreamSilence ends a streamed answer whose server sends nothing for so long.
const maxStreamSilence = 5 * time.Second

// errStreamClosed is the cause of an exchange whose answer's stream was closed by its reader.
var errStreamClosed = errors.New("the client has left")

// streamAnswer delivers a long answer, and waits until its reader has closed it. The timers stop, as the answer has come
// in time: how long it takes is up to the server and the client.
func (x *exchange) streamAnswer(resp *http.Response, answer dispatch.Answer) (dispatch.AttemptResult, dispatch.Answer, error) {
	x.stopWaiting()
	if x.ctx.Err() != nil {
		return x.resultOfCancel(), dispatch.Answer{}, context.Cause(x.ctx)
	}
	stream := &answerStream{
		source:    resp.Body,
		remaining: x.client.limits.MaxStreamed - int64(len(answer.Body)),
		cancel:    x.cancel,
		onError:   x.logStreamError,
		closed:    make(chan struct{}),
	}
	stream.silence = time.AfterFunc(time.Hour, stream.checkSilence)
	stream.silence.Stop()
	answer.Rest = stream
	if !x.attempt.Finish(dispatch.Complete, answer) {
		return dispatch.Complete, dispatch.Answer{}, nil // the request has another final answer
	}
	<-stream.closed
	return dispatch.Complete, dispatch.Answer{}, nil
}

// logStreamError logs that a server broke off a streamed answer.
func (x *exchange) logStreamError(err error) {
	if errors.Is(context.Cause(x.ctx), errStreamClosed) {
		return // the reader's doing
	}
	x.client.log.Info("a long answer broke off", zap.String("server", x.attempt.Address),
		zap.String("trace", x.attempt.TraceID), zap.Error(err))
}

// answerStream is the part of a long answer that is forwarded as it comes. A server that sends nothing is given up after
// maxStreamSilence. A client that takes nothing only holds up its own answer, as nothing is read meanwhile. Read must
// not be called concurrently; Close may be called at any time.
type answerStream struct {
	source    io.Reader
	remaining int64 // bytes until the answer is too long
	cancel    context.CancelCauseFunc
	onError   func(error) // called when a Read fails, not for io.EOF
	silence   *time.Timer
	readStart atomic.Int64 // clock.Moment at which the present Read began; 0: none waits

	closeOnce sync.Once
	closed    chan struct{}
}

// Read implements io.Reader. It returns io.EOF only where the server has ended the answer as it should.
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

// checkSilence cancels the exchange if a Read has waited for too long.
func (s *answerStream) checkSilence() {
	start := s.readStart.Load()
	if start != 0 && clock.Moment(start).Since() >= maxStreamSilence {
		s.cancel(errStalled)
	}
}

// Close implements io.Closer. It closes the server's connection unless the answer is complete.
func (s *answerStream) Close() error {
	s.closeOnce.Do(func() {
		s.cancel(errStreamClosed)
		close(s.closed)
	})
	return nil
}
