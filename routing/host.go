package routing

// Time is a point in time or a duration, in tenths of a millisecond. The caller
// rounds deadlines down and the times of alarms up.
type Time int64

// Millisecond is the duration of one millisecond.
const Millisecond Time = 10

// second is the duration of one second.
const second = 1000 * Millisecond

// seconds converts a duration to seconds.
func seconds(t Time) float64 { return float64(t) / float64(second) }

// Host carries out the decisions of a Balancer. The Balancer calls its methods
// while it handles an event, so they must not call the Balancer.
//
// Requests and servers are identified by small indices that the caller assigns.
// The index of a request may be reused once the request has ended and all its
// attempts are done. The index of a server may be reused once the server is Gone
// and its attempts are done. The attempts of a request are numbered from 0 in
// the order of the calls to Send.
type Host interface {
	// Send starts an attempt of a request at a server. If no answer comes
	// within timeout, the attempt ends with TimedOut.
	Send(request, server int, timeout Time)

	// Reject ends a request that the client may safely retry. retryAfter is
	// the delay that the client is told to wait; 0 means none.
	Reject(request int, retryAfter Time)

	// Fail ends a request that may or may not have taken effect.
	Fail(request int)

	// Subscribe requests the endpoint list and its changes from the discovery
	// service; UpdateEndpoints reports the outcome. If an earlier call is still
	// in flight, Subscribe starts another one beside it, since the earlier one
	// may never be answered.
	Subscribe()

	// CloseIdleConnections closes the idle connections to a server, except for keep of
	// them. A later attempt opens a new connection if none is idle.
	CloseIdleConnections(server, keep int)

	// SetAlarm requests a call of Balancer.HandleAlarm with this handle at alarmTime
	// or soon after.
	SetAlarm(alarmTime Time, handle int)
}
