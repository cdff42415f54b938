// Package transport connects the nodes of a cluster. One address takes two kinds of connection, told apart by the first
// line: the consensus library's own protocol between voters, and JSON-RPC.
//
// Dialer opens connections, Listener accepts them within a limit, and StreamLayer is what the consensus library's transport
// runs on.
package transport
