package discovery

import (
	"errors"
	"time"
)

const (
	// resumeWindow is how long after its last answer a service that has only rejected polls is taken to count versions as
	// before. One that restarts and counts anew is silent or refuses connections for that long.
	resumeWindow = 6 * time.Second

	// resumeWait is the wait of a watch that resumes: the service answers at once, even if nothing has changed.
	resumeWait = 1 * time.Millisecond
)

// source is a discovery service and the state of its endpoint list.
type source struct {
	address       string
	generation    int   // increases with each switch; results of an earlier generation are discarded
	version       int64 // of the last list
	watching      bool  // the next call is a watch from version
	resumable     bool  // since the last list every failure was a rejection (503), so changes since version can be requested
	lastAnswer    time.Time
	lastRejection time.Time // the last 503, which also counts as an answer
}

// pollQuery returns the query of a poll: empty for the full list, or that of a watch which resumes from the last version.
// Resuming costs an overloaded service one call in place of two, the full list and then a watch.
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
