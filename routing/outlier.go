package routing

// A server with consecutive failures is ejected: it gets no attempts for the
// ejection time, which doubles with each further ejection. After that time one
// safe request probes it. The ejection ends when a probe, or an attempt that was
// sent before the ejection, ends with Served, NotFound, Rejected or
// ConnectionLimit, or when the endpoint restarts. If such an older attempt ends
// while a probe is in flight, another probe may be sent.
const (
	failuresToEject = 2                  // consecutive failures; one connection that is refused, times out or breaks before the write counts as this many
	minEjectionTime = 250 * Millisecond  // of the first ejection: a few connect timeouts long
	maxEjectionTime = 3000 * Millisecond // even with a probe that times out, requests are rejected for less than 4 s
)

// IsEjected reports whether a server is ejected as an outlier. An ejected server
// gets one probe at a time, unless an attempt from before the ejection ends during
// a probe.
func (b *Balancer) IsEjected(server int) bool { return b.servers[server].isEjected() }

func (s *serverState) isEjected() bool { return s.ejectionTime > 0 }

// mayProbe reports whether a request may probe an ejected server.
func (b *Balancer) mayProbe(r *requestState, s *serverState) bool {
	return b.now >= s.ejectedUntil && !s.probing && b.classes[r.Class].Idempotence == Safe
}

// ReportProbeResult reports the outcome of another node's probe of a server, and the
// time of that node's next probe. After a healthy outcome this node may probe
// immediately. After an unhealthy one it does not probe before next, but waits for
// maxEjectionTime at most.
func (b *Balancer) ReportProbeResult(now Time, server int, healthy bool, next Time) {
	s := b.servers[server]
	if healthy {
		s.ejectedUntil = min(s.ejectedUntil, now)
	} else if s.isEjected() {
		s.ejectedUntil = max(s.ejectedUntil, min(next, now+maxEjectionTime))
	}
}

// updateEjection updates the ejection of a server by the result of an attempt,
// which may be a probe.
func (b *Balancer) updateEjection(s *serverState, result Result) {
	s.probing = false
	switch result {
	case Served, NotFound, Rejected, ConnectionLimit:
		s.consecutiveFailures = 0
		s.ejectionTime = 0
	case ConnectFailed, ConnectTimeout, ConnectionBroken:
		b.recordFailures(s, failuresToEject)
	case TimedOut, ServerError:
		b.recordFailures(s, 1)
	}
}

// recordFailures adds n consecutive failures, and ejects the server once there are
// failuresToEject.
func (b *Balancer) recordFailures(s *serverState, n int) {
	s.consecutiveFailures += n
	if s.consecutiveFailures >= failuresToEject && b.now >= s.ejectedUntil {
		s.ejectionTime = min(max(minEjectionTime, 2*s.ejectionTime), maxEjectionTime)
		s.ejectedUntil = b.now + s.ejectionTime
	}
}
