package soaktest

import (
	"sync"
	"time"
)

// idempotence tells whether a request may be repeated without a further effect.
type idempotence string

const (
	safe            idempotence = "safe"   // a repeated request has no further effect
	idempotentByKey idempotence = "keyed"  // servers drop requests that repeat an idempotency key within the dedup window
	unsafe          idempotence = "unsafe" // each attempt may take effect
)

// attempt is one attempt of a request, as recorded by the server that received it.
type attempt struct {
	serverID         string
	connectionID     int64
	firstByteAt      time.Time     // when the server received the first byte
	lastByteAt       time.Time     // when the server received the last byte; zero: never
	declaredDeadline time.Duration // the remaining time that the node declared to the server
	provedNotRunAt   time.Time     // when the server answered in a way that proves that the attempt did not run; zero: never
	endedAt          time.Time     // when the server ended its answer, or the connection ended; zero: never
	ran              bool          // the server did the work
	soundLong        bool          // the server answers slowly, and with more than longAnswerBytes
	mayBecomeLong    bool          // the server answers without an end, see endlessAnswer.mayBecomeLong
}

// request is one request of a client, with all that was recorded of it.
type request struct {
	id                   string
	nodeIndex            int
	class                class
	key                  string
	firstOnNewConnection bool      // the connection carried no request before and is younger than newConnectionAge
	startedAt            time.Time // just before the first byte was written
	sentAt               time.Time // when the last byte was written; zero: never
	clientClosedAt       time.Time // when the client closed the connection before the answer; zero: never
	answerBeganAt        time.Time // when the answer's head had arrived; zero: never
	answeredAt           time.Time // when the last byte of the answer arrived; zero: never
	status               int       // status code of the answer, negative if its body is incomplete; 0: no answer
	answerBody           string
	incompleteBytes      int       // bytes of the body of an incomplete answer
	noEndSeen            bool      // an answer began, and its client gave up waiting for its end
	connectionBrokenAt   time.Time // when the connection ended, or the client gave up, without a complete answer; zero: never
	answerCount          int       // complete answers received, including unexpected further ones
	misbehavior          string    // how the client departed from normal use of the connection; empty: not at all
	comesAgain           bool      // its client has left and sent it again under the same id
	attempts             []*attempt
}

// recorder holds what the clients, the stand-ins of servers and of the discovery service, and the controls of the nodes record during
// a run.
type recorder struct {
	mu                sync.Mutex
	requests          map[string]*request
	completeBodies    map[string]map[string]bool // answer bodies that servers produced completely, by request ID
	unknownIDs        []string                   // request IDs received by servers that no client sent
	interruptions     []interruption
	drainNotices      []*drainNotice
	processes         []*processRecord
	delaySamples      []delaySample
	outcomeCounts     map[string]int           // set by the checker to checkSummary.outcomes: requests by outcome, attempts, and excused violations by reason
	lateSecondAnswers map[string]time.Duration // by answer body: delay from the first to the second answer, if above maxSecondAnswerDelay
}

// interruption is a period in which a process of a node was stopped by SIGSTOP, was being killed or restarted, or was handing over to the
// next one.
type interruption struct {
	nodeIndex          int
	startedAt, endedAt time.Time
	kind               string // "stalled", "handed over", "restarted" or "killed"
}

// drainNotice records that one process of a node was notified that a server drains or is gone.
type drainNotice struct {
	serverID       string
	nodeIndex      int
	process        *processRecord // the process that was notified
	receivedAt     time.Time
	withdrawnAt    time.Time // when the process was notified that the server is ready again; zero: never
	processEndedAt time.Time // when the process ended; zero: it is running
}

// processRecord records the lifetime of one process of a node, and when it was first notified that a server is ready.
type processRecord struct {
	nodeIndex          int
	startedAt, endedAt time.Time            // endedAt is zero while the process is running
	firstReadyAt       map[string]time.Time // when the process was first notified that a server is ready, by server ID
}

// maySend reports whether the process may send an attempt to a server at time t: the process is running, was notified that the
// server is ready, and has no drain notice for the server that is older than the grace and not withdrawn by t.
func (p *processRecord) maySend(serverID string, t time.Time, notices []*drainNotice, grace time.Duration) bool {
	readyAt, known := p.firstReadyAt[serverID]
	if p.startedAt.After(t) || !p.endedAt.IsZero() && p.endedAt.Before(t) || !known || readyAt.After(t) {
		return false
	}
	for _, d := range notices {
		if d.process == p && d.serverID == serverID && t.Sub(d.receivedAt) > grace && (d.withdrawnAt.IsZero() || d.withdrawnAt.After(t)) {
			return false
		}
	}
	return true
}

// delaySample is a scheduling delay of this process, observed when the delay ended.
type delaySample struct {
	observedAt time.Time
	delay      time.Duration
}

func newRecorder() *recorder {
	return &recorder{requests: map[string]*request{}, completeBodies: map[string]map[string]bool{}, lateSecondAnswers: map[string]time.Duration{}}
}

// addRequest records a request. The client calls it before it writes any byte of the request.
func (rec *recorder) addRequest(r *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests[r.id] = r
}

// update calls f with the lock held.
func (rec *recorder) update(f func()) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	f()
}

// addAttempt records an attempt whose header a server has received. It reports whether a client sent a request with this ID;
// if not, it records the ID as unknown.
func (rec *recorder) addAttempt(id string, a *attempt) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.requests[id]
	if r == nil {
		rec.unknownIDs = append(rec.unknownIDs, id)
		return false
	}
	r.attempts = append(r.attempts, a)
	return true
}

// endAttempt records that the server ended its answer or that the connection ended, whichever is first.
func (rec *recorder) endAttempt(a *attempt) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if a.endedAt.IsZero() {
		a.endedAt = time.Now()
	}
}

// addCompleteBody records an answer body that a server produced for a request and completed properly.
func (rec *recorder) addCompleteBody(id, body string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.completeBodies[id] == nil {
		rec.completeBodies[id] = map[string]bool{}
	}
	rec.completeBodies[id][body] = true
}

// sampleSchedulingDelays measures how late timers of this process fire, and records delays above a threshold, until done is closed.
func (rec *recorder) sampleSchedulingDelays(done <-chan struct{}) {
	const interval, threshold = 2 * time.Millisecond, 8 * time.Millisecond
	for previous := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		now := time.Now()
		if delay := now.Sub(previous) - interval; delay > threshold {
			rec.update(func() { rec.delaySamples = append(rec.delaySamples, delaySample{now, delay}) })
		}
		previous = now
	}
}
