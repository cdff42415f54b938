// Package changelog replicates a log of changes from a leader through relays to every node of a fleet. Log is what the leader or
// a relay keeps and serves from; Follower is the side of a relay or node that polls a parent.
//
// A Log holds a state, the latest value of each key, and a ring of the latest changes up to its position. A child whose
// position is within its parent's ring gets the changes after it; one further behind gets the state, as far as it differs.
//
// The package does no I/O and reads no clock; callers pass the time in. No program uses it yet: it is the model that
// docs/design-changes.md describes.
package changelog
