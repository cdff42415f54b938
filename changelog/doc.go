// Package changelog replicates a log of changes from a leader through relays to every node of a fleet. The leader and each relay
// serve requests of their children from a Log. Each relay and node runs a Follower, which polls one of several parents.
//
// A Log holds a state, which is the latest value of each key, and a ring, which is a bounded buffer of the latest changes up to
// the log's position. The floor is the position before the oldest change in the ring. A child whose position is at or above the
// floor receives the changes after its position. A child below the floor receives the buckets of the state that differ from its
// own.
//
// The package does no I/O and reads no clock; callers pass the time in. No program uses it yet. docs/design-changes.md describes
// the protocol.
package changelog
