// Package lease grants leases to the nodes and jobs of a cluster, so that at most one holder works on a task at a time.
//
// State is the replicated state machine of the voters. Manager holds the leader's state that is not replicated:
// the times at which leases expire, the queues of claimants that wait for a lease, and pending requests. Claimant is the client
// side of one lease. ProbeScheduler runs on the leader and schedules the health checks of ejected servers. No type of this package does I/O or reads a clock: callers pass the time as an argument,
// and side effects go through the interfaces Host and ClaimantHost.
//
// docs/leases.md lists the guarantees, docs/design-leases.md the reasons for the design.
package lease
