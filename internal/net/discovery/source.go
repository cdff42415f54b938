package discovery

// This file holds what is known of a discovery service, and with what a call for the list begins.

import (
	"errors"
	"fmt"
	"time"
)

// source is where the list comes from, and how far it was had from there.
type source struct {
	address string
	nth     int // one more with each move: what an earlier source says no longer counts
	version int64
	had     bool      // a watch goes on from that version
	heard   time.Time // when it last answered, were it to turn a call away
	crowded time.Time // when it last turned a call away
	resumes bool      // it has only turned calls away since it was heard, so that what changed counts from that version on
}

// query is that of a call for the list. A service that only turned calls away is asked for what changed since: that begins the
// watch too, so a node takes one place in its line and not one for the list and the next for the watch.
func (s *source) query() string {
	if s.resumes && time.Since(s.heard) < resumeIn {
		return fmt.Sprintf("?from=%d&hold_ms=%d", s.version, holdLeast.Milliseconds())
	}
	return ""
}

// fails notes how a call ended.
func (s *source) fails(err error) {
	crowded := errors.Is(err, errTooMany)
	s.resumes = s.resumes && crowded
	if crowded {
		s.crowded = time.Now()
		s.heard = s.crowded
	}
}
