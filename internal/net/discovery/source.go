package discovery

import (
	"errors"
	"time"
)

const (
	// resumeWindow is how long after the last answer of a service its version counter is assumed to be unchanged if every
	// failure since was a rejection. A service that restarts and resets the counter is silent or refuses connections for at
	// least that long.
	resumeWindow = 6 * time.Second

	// resumeWait is the wait of a poll that resumes. It is short so that the service answers at once, even without changes.
	resumeWait = 1 * time.Millisecond
)

// source is a discovery service and the state of its endpoint list.
type source struct {
	address       string
	generation    int   // incremented by each switch; results of an earlier generation are discarded
	version       int64 // version of the last list
	watching      bool  // the next call is a watch from version
	resumable     bool  // since the last list every failure was a rejection (503), so changes since version can be requested
	lastAnswer    time.Time
	lastRejection time.Time // the last 503, which also counts as an answer
}

// pollQuery returns the query of a poll: an empty one for the full list, or the query of a watch from the last version if the
// poll can resume. Resuming costs an overloaded service one call instead of two (the full list, then a watch).
func (s *source) pollQuery() string {
	if s.resumable && time.Since(s.lastAnswer) < resumeWindow {
		return watchQuery(s.version, resumeWait)
	}
	return ""
}

// recordFailure updates the state after a failed call.
func (s *source) recordFailure(err error) {
	if !errors.Is(err, errOverloaded) {
		s.resumable = false
		return
	}
	now := time.Now()
	s.lastRejection = now
	s.lastAnswer = now
}
