package faulttest

// The parts of this package that internal/scaletest uses.

// BootTimeNs returns the time of the machine's boot clock in ns. It also advances during suspend.
func BootTimeNs() int64 { return bootTimeNs() }

// Relay forwards connections to an address, and can block them.
type Relay struct{ relay *relay }

// NewRelay listens on listenAddr and forwards connections to target.
func NewRelay(listenAddr, target string) (*Relay, error) {
	r, err := newRelay(listenAddr, target)
	return &Relay{r}, err
}

// SetBlocked blocks both directions and new connections while blocked is true. Blocked data is delivered after SetBlocked(false).
func (r *Relay) SetBlocked(blocked bool) {
	r.relay.toTarget.blocked.Store(blocked)
	r.relay.toDialer.blocked.Store(blocked)
}

// Close closes the listener and resets all connections.
func (r *Relay) Close() { r.relay.close() }

// Lookups sends lookups to nodes and counts those that fail.
type Lookups struct{ lookupClient }

// Run sends lookups to one node until done is closed. A failed lookup does not count if excused returns true for its start,
// which is a boot time in ns.
func (l *Lookups) Run(address string, done <-chan struct{}, excused func(startNs int64) bool) {
	l.run(address, done, excused)
}

// Counts returns the number of lookups, the number that a running node did not serve, and a description of the first of these.
func (l *Lookups) Counts() (sent, unserved int64, firstUnserved string) {
	firstUnserved, _ = l.firstUnserved.Load().(string)
	return l.sent.Load(), l.unserved.Load(), firstUnserved
}
