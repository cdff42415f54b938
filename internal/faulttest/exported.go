package faulttest

// What runs at scale borrow from this package.

// Boot reads the machine's clock that goes on in suspension, in nanoseconds.
func Boot() int64 { return bootTimeNs() }

// Relay is a way to an address that can be cut.
type Relay struct{ relay *relay }

// NewRelay opens one.
func NewRelay(listenAddr, target string) (*Relay, error) {
	r, err := newRelay(listenAddr, target)
	return &Relay{r}, err
}

// Cut holds back all that goes over it, both ways, and opens no connection, until it is told otherwise.
func (r *Relay) Cut(cut bool) {
	r.relay.toTarget.blocked.Store(cut)
	r.relay.toDialer.blocked.Store(cut)
}

// Close ends it.
func (r *Relay) Close() { r.relay.close() }

// Lookups asks nodes for something, again and again, and judges the answers.
type Lookups struct{ lookupClient }

// Ask asks one node until done is closed. A lookup may go unserved if it is excused, by the time it began.
func (l *Lookups) Ask(address string, done <-chan struct{}, excused func(startNs int64) bool) {
	l.run(address, done, excused)
}

// Verdict tells how many lookups there were, how many a running node left unserved, and why the first.
func (l *Lookups) Verdict() (sent, unserved int64, firstUnserved string) {
	firstUnserved, _ = l.firstUnserved.Load().(string)
	return l.sent.Load(), l.unserved.Load(), firstUnserved
}
