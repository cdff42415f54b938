package routing

import "math"

// addInFlight adds n to the attempts in flight at a server. n is negative when
// attempts end.
func (b *Balancer) addInFlight(s *serverState, n int) {
	s.inFlight += n
	if s.State == Ready && !s.isOrigin {
		b.inFlight += n
	}
}

// meanInFlight returns the mean number of this node's attempts in flight per ready
// cache.
func (b *Balancer) meanInFlight() float64 {
	sum, n := float64(b.inFlight), float64(len(b.ready))
	if sum == 0 || !tieIsPossible(sum, n) {
		return sum / n
	}
	// In case of a tie, the rounding of this floating-point sum decides how a cache
	// compares with the mean.
	mean := 0.0
	for _, i := range b.ready {
		mean += float64(b.servers[i].inFlight) / n
	}
	return mean
}

// tieIsPossible reports whether a cache's number of attempts in flight can equal
// congestionFactor or busyFactor times the mean, where n caches have this sum in
// flight. Such ties are common on nodes with little traffic.
func tieIsPossible(sum, n float64) bool {
	return math.Mod(congestionFactor*sum, n) == 0 || math.Mod(busyFactor*sum, n) == 0
}
