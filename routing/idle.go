package routing

import "math"

// Servers accept a limited number of connections, which all nodes share. A
// node closes idle connections sooner the more often it fails to connect.
const (
	maxIdleTimeout      = 30000 * Millisecond // the initial one, as good as no limit
	minIdleTimeout      = 50 * Millisecond    // below it an idle connection is closed at once: it is hardly reused so soon
	idleTimeoutIncrease = 10 * Millisecond    // for each answer; ten a second make up for a failure in some seconds
	idleTimeoutDivisor  = 2                   // for each failure to connect
)

// growIdleTimeout follows an answer.
func (b *Balancer) growIdleTimeout() {
	b.idleTimeout = min(maxIdleTimeout, b.idleTimeout+idleTimeoutIncrease)
}

// closeIdleConnections closes idle connections as the result of an attempt at a
// server demands.
func (b *Balancer) closeIdleConnections(server int, result Result) {
	s := b.servers[server]
	refused := result == ConnectFailed || result == ConnectionLimit
	s.hasIdleConnection = !refused && result != ConnectTimeout
	s.lastDoneAt = b.now
	switch {
	case s.isOrigin:
		b.host.CloseIdle(server, b.originConnections(s))
	case refused: // but not after ConnectTimeout: a dead server is not short of connections
		b.shrinkIdleTimeout()
	case s.inFlight == 0 && b.idleTimeout < minIdleTimeout:
		s.hasIdleConnection = false
		b.host.CloseIdle(server, 0)
	}
}

// originConnections returns how many connections to an origin stay open: as many
// as are in use in the mean by Little's law, the square root of that for
// random variation, and one. All nodes share the origin and use it all the
// time, so an idle timeout would never pass there.
func (b *Balancer) originConnections(s *serverState) int {
	inUse := b.perSecond(s.answers) * seconds(s.meanLatency)
	return 1 + int(inUse+math.Sqrt(inUse))
}

// shrinkIdleTimeout follows a failure to connect: it closes the connections
// that have been idle for the shorter timeout.
func (b *Balancer) shrinkIdleTimeout() {
	b.idleTimeout /= idleTimeoutDivisor
	for server, s := range b.servers {
		if s != nil && s.inFlight == 0 && s.hasIdleConnection && b.now >= s.lastDoneAt+b.idleTimeout {
			s.hasIdleConnection = false
			b.host.CloseIdle(server, 0)
		}
	}
}
