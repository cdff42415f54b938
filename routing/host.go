package routing

// Time is a clock reading or a duration in tenths of a millisecond. The caller
// rounds deadlines down and alarms up.
type Time int64

// Millisecond is the duration of one millisecond.
const Millisecond Time = 10

// second is the duration of one second.
const second = 1000 * Millisecond

// seconds converts a duration.
func seconds(t Time) float64 { return float64(t) / float64(second) }

// Host is what a Balancer can do. Its methods run inside an event and must not
// report another one to the Balancer.
//
// Requests and servers are small indices that the caller assigns. The index of
// a request may be used again once the request has ended and all its attempts
// are done, that of a server once the server is Gone and its attempts are
// done. The attempts of a request are numbered from 0 in the order of Send.
type Host interface {
	// Send starts an attempt of a request at a server. If no answer comes
	// within timeout, the attempt ends with TimedOut.
	Send(request, server int, timeout Time)

	// Reject ends a request that may be retried without harm. retryAfter is
	// the advice for the client; 0 means none.
	Reject(request int, retryAfter Time)

	// Fail ends a request and promises nothing about its effect.
	Fail(request int)

	// Subscribe asks the discovery service for the endpoint list and its
	// changes; UpdateEndpoints reports the outcome. A call while another is in
	// flight asks for one more beside it, since the first may never be
	// answered.
	Subscribe()

	// CloseIdle closes the idle connections to a server, except for keep of
	// them. A later attempt opens a connection if it finds none.
	CloseIdle(server, keep int)

	// SetAlarm asks for a call of Alarm with this handle at that time or soon
	// after.
	SetAlarm(alarmTime Time, handle int)
}
