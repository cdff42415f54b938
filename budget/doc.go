// Package budget divides cluster-wide limits among the nodes of a cluster. A limit is called a budget; it consists of whole
// units. The units that a node may use are its quota. Quotas change as demand shifts between nodes and as nodes join and
// leave.
//
// The quotas in force are part of the replicated lease.State. State.Apply refuses an entry that would allocate more units
// than a budget has. Allocator runs on the leader: it keeps the demand of each node in memory and proposes log entries that
// move units between nodes. QuotaClient runs on each node: it measures demand, reports it to the leader, applies the node's
// quotas and gives units back.
//
// The package does no I/O and reads no clock; callers pass the time in. docs/budgets.md states the guarantees,
// docs/design-budgets.md the reasons.
package budget
