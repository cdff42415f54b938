// Package cluster makes a node a member of its cluster. The voters among the nodes replicate the state of package lease by a
// consensus library; their leader serves lease requests, quota requests and probe schedules; and each node acquires leases, of
// its own name and of the tasks that run on one node at a time. No request of a client waits for any of it.
//
// Member is this node's membership: it starts the others and runs the tasks (task_*.go) and the node's quotas (node_quotas.go,
// borrow.go). Voter is this node's voter, if it has one: its start and end (voter.go, voter_restart.go), terms and proposals
// (leadership.go), the replicated state (state_machine.go) and quorum rounds (quorum.go). The RPC calls are served by
// rpcService (service.go, lease_service.go, quota_service.go, probe_service.go, membership.go, status.go) and have their
// arguments and replies in messages.go and errors.go. Client (client*.go) makes these calls, for members and for operators'
// commands; HeldLease is a lease held by it.
//
// Package transport has the connections between nodes, package voterstore the files of a voter's folder.
package cluster
