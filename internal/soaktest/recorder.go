// Package soaktest plays dozens of real node processes on loopback between stand-ins of clients, cache servers, an origin and a discovery
// service, under troubles that overlap in time, and judges each request's life by the rules. The stand-ins, the clients and the judge
// share one process and one clock, and no code with the nodes.
package soaktest

import (
	"sync"
	"time"
)

// repeatRule says how often a request's effect may happen.
type idempotence string

const (
	safe            idempotence = "safe"
	idempotentByKey idempotence = "keyed"
	unsafe          idempotence = "unsafe"
)

// attempt is one sending of a request to a server, as the server saw it.
type attempt struct {
	serverID         string
	connectionID     int64
	firstByteAt      time.Time     // its first byte came
	lastByteAt       time.Time     // its last byte came; zero: it never did
	declaredDeadline time.Duration // the deadline that it told
	provedNotRunAt   time.Time     // when the server proved that it had not run; zero: never
	endedAt          time.Time     // when it was answered whole, or its connection ended; zero: never
	ran              bool
}

// request is one request's life.
type request struct {
	id                   string
	nodeIndex            int
	class                class
	key                  string
	firstOnNewConnection bool      // the first on its connection, which has just been made
	startedAt            time.Time // its first byte was about to be written
	sentAt               time.Time // its last byte was written; zero: it never was
	clientClosedAt       time.Time // when its client closed the connection; zero: it didn't
	answeredAt           time.Time // its answer's last byte came
	status               int       // of the answer; 0: none
	answerBody           string
	connectionBrokenAt   time.Time // when its connection ended without a whole answer
	answerCount          int       // further whole answers included
	misbehavior          string    // what its client did otherwise than well
	attempts             []*attempt
}

// ledger has all requests of a run.
type recorder struct {
	mu                sync.Mutex
	requests          map[string]*request
	completeBodies    map[string]map[string]bool // bodies that servers made and ended whole, by request
	unknownIDs        []string                   // ids at servers that no client sent
	interruptions     []interruption
	drainNotices      []*drainNotice
	processes         []*processRecord
	delaySamples      []delaySample
	excuseCounts      map[string]int
	lateSecondAnswers map[string]time.Duration // second answers that came later than they were to, by their body
}

// stop is a span in which a node's process stood still, was told to end, or was killed.
type interruption struct {
	nodeIndex          int
	startedAt, endedAt time.Time
	kind               string
}

// drained is the news of a drain to one node's process.
type drainNotice struct {
	serverID       string
	nodeIndex      int
	process        *processRecord // the process that was told
	receivedAt     time.Time
	withdrawnAt    time.Time // when it was told that the server is ready again; zero: it wasn't
	processEndedAt time.Time // when the process that was told ended; zero: it runs
}

// life is that of one process of a node.
type processRecord struct {
	nodeIndex          int
	startedAt, endedAt time.Time            // zero: it runs
	firstReadyAt       map[string]time.Time // when it was first told that a server is ready
}

// may says whether the process may send to a server at a time, as far as it was told of it with a grace.
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

// lateness is a moment at which the judge's own process was late.
type delaySample struct {
	observedAt time.Time
	delay      time.Duration
}

func newRecorder() *recorder {
	return &recorder{requests: map[string]*request{}, completeBodies: map[string]map[string]bool{}, lateSecondAnswers: map[string]time.Duration{}}
}

// add enters a request before any of its bytes are written.
func (rec *recorder) addRequest(r *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests[r.id] = r
}

// change changes what is known of a request.
func (rec *recorder) update(f func()) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	f()
}

// arrived enters an attempt whose head has come; nil: no client sent this id.
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

// over notes that an attempt was answered whole, or that its connection ended; the first time counts.
func (rec *recorder) endAttempt(a *attempt) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if a.endedAt.IsZero() {
		a.endedAt = time.Now()
	}
}

// makes enters that a server made this body for a request, and ended it as it should.
func (rec *recorder) addCompleteBody(id, body string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.completeBodies[id] == nil {
		rec.completeBodies[id] = map[string]bool{}
	}
	rec.completeBodies[id][body] = true
}

// tick watches the judge's own lag until done is closed.
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
