// Package routing decides what one balancer node does with each request: which
// endpoint gets it, whether it is retried, and when it is rejected.
//
// A Balancer is a state machine without goroutines, clocks or I/O. The caller
// reports each event by calling a method with the time of the event, and the
// Balancer acts by calling its Host before that method returns. Equal seeds
// and equal events give equal decisions.
//
// A server is either a cache, which serves a range of the keys, or an origin,
// which has all values. A request belongs to a class, which sets its latency
// target and whether it may be repeated, and to a tenant, which has a share of
// the capacity. Each try of a request at a server is an attempt. The other nodes
// make the same decisions for their own requests. Config.Nodes and the cluster's
// quotas (SetQuota) bound the total load of all nodes.
//
// The usual path of a request:
//
//	StartRequest   initRequest, admit      shedding.go
//	               advance                 request.go: wait, send or end
//	                 mayAttempt            retry.go: whether one more attempt is allowed
//	                 pickServer            selection.go
//	                   pickCache             a cache for the key
//	                     skipReason          why a cache is skipped
//	                   pickOrigin          origin.go
//	                 sendAttempt           Host.Send
//	                 rejectOrFail          retry.go: Host.Reject or Host.Fail
//	AttemptDone    learnFromResult         result.go: updates the state of the
//	                                         server
//	               advance                 as above, for the next attempt
//
// Each rule has a file named after it, which also holds its constants:
// concurrency limits, slow start, outlier ejection, quotas, coalesced fetches,
// idle connections and polling for the endpoint list. docs/design.md gives
// the reasons for the rules.
package routing
