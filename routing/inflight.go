package routing

import "math"

// addInFlight counts n attempts that begin (or, if negative, end) at a server.
func (b *Balancer) addInFlight(s *serverState, n int) {
	s.inFlight += n
	if s.State == Ready && !s.isOrigin {
		b.inFlight += n
	}
}

// meanInFlight returns the mean number of this node's attempts in flight at a
// ready cache.
func (b *Balancer) meanInFlight() float64 {
	sum, n := float64(b.inFlight), float64(len(b.ready))
	if sum == 0 || math.Mod(congestionFactor*sum, n) != 0 && math.Mod(busyFactor*sum, n) != 0 {
		return sum / n
	}
	// A cache may equal a multiple of the mean. Such ties are common on nodes
	// with little traffic, and the rounding of this sum decides them.
	mean := 0.0
	for _, i := range b.ready {
		mean += float64(b.servers[i].inFlight) / n
	}
	return mean
}
