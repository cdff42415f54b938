package routing

import "math"

// Servers accept a limited number of connections, which all nodes share. The
// more often a node fails to connect, the sooner it closes idle connections.
const (
	maxIdleTimeout      = 30000 * Millisecond // the initial timeout, in effect no limit
	minIdleTimeout      = 50 * Millisecond    // below it idle connections are closed immediately, since they are rarely reused so soon
	idleTimeoutIncrease = 10 * Millisecond    // added for each answer; at ten answers a second the timeout recovers from a failure within some seconds
	idleTimeoutDivisor  = 2                   // applied for each failure to connect
)

// growIdleTimeout raises the idle timeout after an answer.
func (b *Balancer) growIdleTimeout() {
	b.idleTimeout = min(maxIdleTimeout, b.idleTimeout+idleTimeoutIncrease)
}

// closeIdleConnections closes idle connections after an attempt at a server. At an
// origin it keeps originConnections of them. If the server refused to connect, it
// shrinks the idle timeout. If the last attempt at a cache has ended and the idle
// timeout is below minIdleTimeout, it closes the connections to that cache.
func (b *Balancer) closeIdleConnections(server int, result Result) {
	s := b.servers[server]
	refused := result == ConnectFailed || result == ConnectionLimit
	s.hasIdleConnection = !refused && result != ConnectTimeout
	s.lastDoneAt = b.now
	switch {
	case s.isOrigin:
		b.host.CloseIdleConnections(server, b.originConnections(s))
	case refused: // not after ConnectTimeout: a dead server is not at its connection limit
		b.shrinkIdleTimeout()
	case s.inFlight == 0 && b.idleTimeout < minIdleTimeout:
		s.hasIdleConnection = false
		b.host.CloseIdleConnections(server, 0)
	}
}

// originConnections returns how many connections to an origin stay open: the mean
// number in use by Little's law, its square root for random variation, and one
// more. An idle timeout would never expire at the origin, since all nodes share it
// and use it constantly.
func (b *Balancer) originConnections(s *serverState) int {
	inUse := b.perSecond(s.answers) * seconds(s.meanLatency)
	return 1 + int(inUse+math.Sqrt(inUse))
}

// shrinkIdleTimeout lowers the idle timeout after a failure to connect, and closes
// the connections that have been idle for the new timeout.
func (b *Balancer) shrinkIdleTimeout() {
	b.idleTimeout /= idleTimeoutDivisor
	for server, s := range b.servers {
		if s != nil && s.inFlight == 0 && s.hasIdleConnection && b.now >= s.lastDoneAt+b.idleTimeout {
			s.hasIdleConnection = false
			b.host.CloseIdleConnections(server, 0)
		}
	}
}
