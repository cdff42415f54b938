// Package cluster makes a node a member of its cluster. Some of the nodes are voters, which replicate the state of package lease
// with a consensus library. Their leader handles lease requests and quota requests, and schedules probes. Each node acquires the
// lease of its own name, and the leases of the tasks that run on one node at a time. Requests of clients never wait for the
// cluster.
//
// Member is this node's membership. It starts the voter and the client, and runs the tasks (task_*.go) and the node's quotas
// (node_quotas.go, borrow.go). Voter is this node's voter, if it has one: its start and end (voter.go, voter_restart.go), terms
// and proposals (leadership.go), the replicated state (state_machine.go) and quorum rounds (quorum.go). rpcService serves the
// RPC calls (service.go, lease_service.go, quota_service.go, probe_service.go, membership.go, status.go). Their arguments and
// replies are in messages.go and errors.go. Client (client*.go) makes these calls, for members and for operators' commands.
// HeldLease is a lease that a client holds.
//
// Package transport provides the connections between nodes, and package voterstore the files of a voter's folder.
package cluster
