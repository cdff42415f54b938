// Package routing decides what one balancer node does with each request: which
// endpoint gets it, whether it is retried, and when it is rejected.
//
// A Balancer is a state machine without goroutines, clocks or I/O. The caller
// reports each event by calling a method with the time of the event, and the
// Balancer acts by calling its Host before that method returns. Equal seeds
// and equal events give equal decisions.
//
// A server is either a cache, which has a range of the keys, or an origin, which
// has all values. A request belongs to a class, which says how soon it needs an
// answer and whether it may be repeated, and to a tenant, which has a share of
// the capacity. Each try of a request at a server is an attempt. Other nodes
// decide alike for their own requests; Config.Nodes and the cluster's quotas
// (SetQuota) bound the sum of all.
//
// The usual way of a request:
//
//	Request        startRequest, admit     shedding.go
//	               advance                 request.go: wait, send or give up
//	                 mayAttempt            retry.go: is one more attempt allowed?
//	                 pickServer            selection.go
//	                   pickCache             a cache for the key,
//	                     skipReason          and what speaks against each
//	                   pickOrigin          origin.go
//	                 sendAttempt           Host.Send
//	                 rejectOrFail          retry.go: Host.Reject or Host.Fail
//	AttemptDone    learnFromResult         result.go: what the result says of
//	                                         the server
//	               advance                 the same for a retry
//
// Each rule has a file named after it, which holds its constants as well:
// concurrency limits, slow start, outlier ejection, quotas, coalesced fetches,
// idle connections and polling for the endpoint list. docs/design.md says
// where the rules come from.
package routing
