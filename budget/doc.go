// Package budget divides the limits that a whole cluster shares among its nodes, in whole units, and divides them anew as
// demand moves and as nodes come and go.
//
// The quotas in force are part of the replicated lease.State; State.Apply refuses an entry that would allocate more than
// a budget has. Allocator runs beside the leader: it keeps each node's demand in memory and proposes the moves.
// QuotaClient runs on each node: it measures demand, reports it, applies the node's quotas and gives units back.
//
// The package does no I/O and reads no clock; callers pass the time in. docs/budgets.md states the guarantees,
// docs/design-budgets.md the reasons.
package budget
