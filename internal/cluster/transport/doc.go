// Package transport connects the nodes of a cluster. A node accepts two protocols on one address: the consensus library's Raft
// protocol between voters, and JSON-RPC. The first line of a connection says which of the two follows.
//
// Dialer opens connections, Listener accepts them up to a limit, and StreamLayer connects the consensus library's network
// transport to both.
package transport
