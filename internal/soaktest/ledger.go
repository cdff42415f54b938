// Package soaktest plays dozens of real node processes on loopback between stand-ins of clients, cache servers, an origin and a discovery
// service, under troubles that overlap in time, and judges each request's life by the rules. The stand-ins, the clients and the judge
// share one process and one clock, and no code with the nodes.
package soaktest

import (
	"sync"
	"time"
)

// repeatRule says how often a request's effect may happen.
type repeatRule string

const (
	safe   repeatRule = "safe"
	keyed  repeatRule = "keyed"
	unsafe repeatRule = "unsafe"
)

// attempt is one sending of a request to a server, as the server saw it.
type attempt struct {
	server     string
	connection int64
	first      time.Time     // its first byte came
	last       time.Time     // its last byte came; zero: it never did
	told       time.Duration // the deadline that it told
	notRun     time.Time     // when the server proved that it had not run; zero: never
	over       time.Time     // when it was answered whole, or its connection ended; zero: never
	ran        bool
}

// request is one request's life.
type request struct {
	id        string
	node      int
	class     class
	key       string
	fresh     bool      // the first on its connection, which has just been made
	began     time.Time // its first byte was about to be written
	sent      time.Time // its last byte was written; zero: it never was
	left      time.Time // when its client closed the connection; zero: it didn't
	answered  time.Time // its answer's last byte came
	status    int       // of the answer; 0: none
	body      string
	broken    time.Time // when its connection ended without a whole answer
	answers   int       // further whole answers included
	misbehave string    // what its client did otherwise than well
	attempts  []*attempt
}

// ledger has all requests of a run.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*request
	made     map[string]map[string]bool // bodies that servers made and ended whole, by request
	strange  []string                   // ids at servers that no client sent
	stops    []stop
	drains   []*drained
	lives    []*life
	late     []lateness
	excused  map[string]int
	seconds  map[string]time.Duration // second answers that came later than they were to, by their body
}

// stop is a span in which a node's process stood still, was told to end, or was killed.
type stop struct {
	node     int
	from, to time.Time
	kind     string
}

// drained is the news of a drain to one node's process.
type drained struct {
	server string
	node   int
	by     *life // the process that was told
	told   time.Time
	back   time.Time // when it was told that the server is ready again; zero: it wasn't
	ended  time.Time // when the process that was told ended; zero: it runs
}

// life is that of one process of a node.
type life struct {
	node     int
	from, to time.Time            // zero: it runs
	ready    map[string]time.Time // when it was first told that a server is ready
}

// may says whether the process may send to a server at a time, as far as it was told of it with a grace.
func (p *life) may(server string, at time.Time, drains []*drained, grace time.Duration) bool {
	first, told := p.ready[server]
	if p.from.After(at) || !p.to.IsZero() && p.to.Before(at) || !told || first.After(at) {
		return false
	}
	for _, d := range drains {
		if d.by == p && d.server == server && at.Sub(d.told) > grace && (d.back.IsZero() || d.back.After(at)) {
			return false
		}
	}
	return true
}

// lateness is a moment at which the judge's own process was late.
type lateness struct {
	at time.Time
	by time.Duration
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, made: map[string]map[string]bool{}, seconds: map[string]time.Duration{}}
}

// add enters a request before any of its bytes are written.
func (l *ledger) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

// change changes what is known of a request.
func (l *ledger) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// arrived enters an attempt whose head has come; nil: no client sent this id.
func (l *ledger) arrived(id string, a *attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		l.strange = append(l.strange, id)
		return false
	}
	r.attempts = append(r.attempts, a)
	return true
}

// over notes that an attempt was answered whole, or that its connection ended; the first time counts.
func (l *ledger) over(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.over.IsZero() {
		a.over = time.Now()
	}
}

// makes enters that a server made this body for a request, and ended it as it should.
func (l *ledger) makes(id, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.made[id] == nil {
		l.made[id] = map[string]bool{}
	}
	l.made[id][body] = true
}

// tick watches the judge's own lag until done is closed.
func (l *ledger) tick(done <-chan struct{}) {
	const every, notable = 2 * time.Millisecond, 8 * time.Millisecond
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(every):
		}
		now := time.Now()
		if by := now.Sub(last) - every; by > notable {
			l.change(func() { l.late = append(l.late, lateness{now, by}) })
		}
		last = now
	}
}
