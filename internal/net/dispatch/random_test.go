package dispatch

import (
	"math/rand"
	"strconv"
	"testing"
	"testing/quick"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// trackedRequest is what a random run knows of one request.
type trackedRequest struct {
	*PendingRequest
	mayHaveRun, answered, abandoned bool
	seenAttempts                    int
}

// check holds a request to the rules; it returns what is broken.
func (f *trackedRequest) check() string {
	f.PendingRequest.dispatcher.mu.Lock() // an attempt may be passed meanwhile
	defer f.PendingRequest.dispatcher.mu.Unlock()
	return f.checkLocked()
}

// checkLocked is check with the dispatcher's lock held.
func (f *trackedRequest) checkLocked() string {
	a, came := receivedAnswer(f.PendingRequest)
	switch {
	case came && (f.answered || f.abandoned):
		return "an answer after the end"
	case came && a.Outcome == Rejected && f.mayHaveRun && f.Class == "once":
		return "a rejection though it may have run"
	case f.PendingRequest.attempts > f.seenAttempts && (f.answered || f.abandoned):
		return "an attempt after the end"
	case f.PendingRequest.attempts > f.seenAttempts && f.mayHaveRun && f.Class == "once":
		return "a second attempt though the first may have run"
	}
	f.answered, f.seenAttempts = f.answered || came, f.PendingRequest.attempts
	return ""
}

// Requests come, attempts end in any way and some are told of twice, clients leave, all in any order.
func TestRandomRunsKeepTheRules(t *testing.T) {
	run := func(seed int64) bool {
		r, transport := rand.New(rand.NewSource(seed)), &fakeTransport{}
		d := startDispatcher(t, transport)
		var all []*trackedRequest
		of := map[*PendingRequest]*trackedRequest{}
		settle := func() bool {
			s := transport.take(r.Intn(1000))
			if s == nil {
				return false
			}
			if broken := of[s.pending].check(); broken != "" { // up to here, before more becomes known
				t.Error(broken)
			}
			end := AttemptResult(r.Intn(int(attemptResultCount)))
			switch end.Code() {
			case routing.Rejected, routing.ConnectFailed, routing.NotSent, routing.NotFound, routing.ConnectionLimit, routing.ConnectTimeout, routing.Withheld:
			default:
				of[s.pending].mayHaveRun = true
			}
			s.Finish(end, Answer{Body: []byte("v")})
			s.Finish(AttemptResult(r.Intn(int(attemptResultCount))), Answer{})
			return true
		}
		for step := 0; step < 300; step++ {
			switch r.Intn(5) {
			case 0, 1:
				ns := []string{"read", "once"}[r.Intn(2)]
				f := &trackedRequest{}
				// The attempt may be carried before Submit returns, but nobody settles it before that.
				f.PendingRequest = submit(t, d, Request{Class: ns, Key: strconv.Itoa(r.Intn(20)), Write: r.Intn(4) == 0}, time.Minute)
				of[f.PendingRequest] = f
				all = append(all, f)
			case 2, 3:
				settle()
			case 4:
				if len(all) > 0 {
					f := all[r.Intn(len(all))]
					broken := ""
					// One step under the lock: an alarm between the check and the client's end may answer properly.
					d.withLock("client gone", f.PendingRequest, func(now routing.Time) {
						broken = f.checkLocked()
						f.clientGone(now)
						f.abandoned = true
					})
					if broken != "" {
						t.Error(broken)
						return false
					}
				}
			}
			used := map[int]bool{}
			for _, f := range all {
				if broken := f.check(); broken != "" {
					t.Errorf("seed %d, step %d: %s", seed, step, broken)
					return false
				}
			}
			d.mu.Lock()
			for _, f := range all {
				if !f.released && used[f.index] {
					t.Errorf("seed %d, step %d: two requests share index %d", seed, step, f.index)
				}
				used[f.index] = used[f.index] || !f.released
			}
			d.mu.Unlock()
		}
		for settle() {
		}
		for _, f := range all {
			if broken := f.check(); broken != "" || !f.answered && !f.abandoned {
				t.Errorf("seed %d: at the end: answered %v, left %v %s", seed, f.answered, f.abandoned, broken)
				return false
			}
		}
		return d.InFlight() == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}
