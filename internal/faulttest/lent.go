package faulttest

// What runs at scale borrow from this package.

// Boot reads the machine's clock that goes on in suspension, in nanoseconds.
func Boot() int64 { return boot() }

// Relay is a way to an address that can be cut.
type Relay struct{ link *link }

// NewRelay opens one.
func NewRelay(at, target string) (*Relay, error) {
	l, err := newLink(at, target)
	return &Relay{l}, err
}

// Cut holds back all that goes over it, both ways, and opens no connection, until it is told otherwise.
func (r *Relay) Cut(is bool) {
	r.link.forth.held.Store(is)
	r.link.back.held.Store(is)
}

// Close ends it.
func (r *Relay) Close() { r.link.close() }

// Lookups asks nodes for something, again and again, and judges the answers.
type Lookups struct{ client }

// Ask asks one node until done is closed. A lookup may go unserved if it is excused, by the time it began.
func (l *Lookups) Ask(address string, done <-chan struct{}, excused func(from int64) bool) {
	l.run(address, done, excused)
}

// Verdict tells how many lookups there were, how many a running node left unserved, and why the first.
func (l *Lookups) Verdict() (asked, unserved int64, why string) {
	why, _ = l.why.Load().(string)
	return l.asked.Load(), l.failed.Load(), why
}
