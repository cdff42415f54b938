// Package lease grants leases to the nodes and jobs of a cluster, so that one holder at a time acts on a task.
//
// State is the replicated state machine that the voters agree on. Manager is the memory that the leader keeps beside it:
// expiries, queues of waiters and pending requests. Claimant is the client side of one lease. ProbeScheduler is the
// leader's schedule of health checks of ejected servers. None of them does I/O or reads a clock: time is an argument, and
// effects go through the interfaces Host and ClaimantHost.
//
// docs/leases.md lists the guarantees, docs/design-leases.md the reasons.
package lease
