package dispatch

import (
	"math/rand"
	"strconv"
	"testing"
	"testing/quick"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// trackedRequest is a request with the state that the test expects of it.
type trackedRequest struct {
	*PendingRequest
	mayHaveRun, answered, abandoned bool
	seenAttempts                    int
}

// check returns which rule the request breaks, or an empty string.
func (r *trackedRequest) check() string {
	r.PendingRequest.dispatcher.mu.Lock() // the dispatcher may start an attempt concurrently
	defer r.PendingRequest.dispatcher.mu.Unlock()
	return r.checkLocked()
}

// checkLocked is check with the dispatcher's lock held.
func (r *trackedRequest) checkLocked() string {
	answer, received := receivedAnswer(r.PendingRequest)
	switch {
	case received && (r.answered || r.abandoned):
		return "answered after its end"
	case received && answer.Outcome == Rejected && r.mayHaveRun && r.Class == "once":
		return "rejected though an attempt may have run"
	case r.PendingRequest.attempts > r.seenAttempts && (r.answered || r.abandoned):
		return "an attempt after its end"
	case r.PendingRequest.attempts > r.seenAttempts && r.mayHaveRun && r.Class == "once":
		return "a second attempt though the first may have run"
	}
	r.answered, r.seenAttempts = r.answered || received, r.PendingRequest.attempts
	return ""
}

// Requests are submitted, attempts finish with any result, each of them twice, and clients leave, in random order. Each
// request must end once, get no attempt after its end, and no retry or rejection if that could cause a second effect.
func TestRandomEventsKeepRequestRules(t *testing.T) {
	run := func(seed int64) bool {
		random, transport := rand.New(rand.NewSource(seed)), &fakeTransport{}
		d := startDispatcher(t, transport)
		var requests []*trackedRequest
		byPending := map[*PendingRequest]*trackedRequest{}
		finishAny := func() bool {
			attempt := transport.take(random.Intn(1000))
			if attempt == nil {
				return false
			}
			// Checked before Finish, as its result may change which orders are allowed.
			if violation := byPending[attempt.pending].check(); violation != "" {
				t.Error(violation)
			}
			result := AttemptResult(random.Intn(int(attemptResultCount)))
			switch result.Code() {
			case routing.Rejected, routing.ConnectFailed, routing.NotSent, routing.NotFound, routing.ConnectionLimit, routing.ConnectTimeout, routing.EndedBeforeWrite:
			default:
				byPending[attempt.pending].mayHaveRun = true
			}
			attempt.Finish(result, Answer{Body: []byte("v")})
			attempt.Finish(AttemptResult(random.Intn(int(attemptResultCount))), Answer{})
			return true
		}
		for step := 0; step < 300; step++ {
			switch random.Intn(5) {
			case 0, 1:
				class := []string{"read", "once"}[random.Intn(2)]
				tracked := &trackedRequest{}
				// The attempt may be sent before Submit returns, but it is finished only after that.
				tracked.PendingRequest = submit(t, d, Request{Class: class, Key: strconv.Itoa(random.Intn(20)), Write: random.Intn(4) == 0}, time.Minute)
				byPending[tracked.PendingRequest] = tracked
				requests = append(requests, tracked)
			case 2, 3:
				finishAny()
			case 4:
				if len(requests) > 0 {
					tracked := requests[random.Intn(len(requests))]
					violation := ""
					// Both under one lock, as an alarm between the check and the cancellation may answer the request legitimately.
					d.withLock("client gone", tracked.PendingRequest, func(now routing.Time) {
						violation = tracked.checkLocked()
						tracked.clientGone(now)
						tracked.abandoned = true
					})
					if violation != "" {
						t.Error(violation)
						return false
					}
				}
			}
			usedIndices := map[int]bool{}
			for _, tracked := range requests {
				if violation := tracked.check(); violation != "" {
					t.Errorf("seed %d, step %d: %s", seed, step, violation)
					return false
				}
			}
			d.mu.Lock()
			for _, tracked := range requests {
				if !tracked.released && usedIndices[tracked.index] {
					t.Errorf("seed %d, step %d: two requests share index %d", seed, step, tracked.index)
				}
				usedIndices[tracked.index] = usedIndices[tracked.index] || !tracked.released
			}
			d.mu.Unlock()
		}
		for finishAny() {
		}
		for _, tracked := range requests {
			if violation := tracked.check(); violation != "" || !tracked.answered && !tracked.abandoned {
				t.Errorf("seed %d: at the end: answered %v, abandoned %v %s", seed, tracked.answered, tracked.abandoned, violation)
				return false
			}
		}
		return d.InFlight() == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}
