package simwire

import "github.com/thistlerudder/thistlerudder/routing"

var _ routing.Host = (*instance)(nil)

// Send implements routing.Host.
func (n *instance) Send(index, server int, timeout routing.Time) {
	r := &n.requests[index]
	r.attempts++
	r.inFlight++
	n.orders.begin("transmit")
	n.orders.text("ticket", r.id)
	n.orders.text("server", n.serverIDs[server])
	n.orders.millis("timeout-ms", timeout)
	n.orders.end()
}

// Reject implements routing.Host.
func (n *instance) Reject(index int, retryAfter routing.Time) {
	n.orders.begin("overload-reply")
	n.orders.text("ticket", n.requests[index].id)
	n.orders.millis("retry-after-ms", retryAfter)
	n.orders.end()
	n.endRequest(index)
}

// Fail implements routing.Host.
func (n *instance) Fail(index int) {
	n.orders.begin("lose")
	n.orders.text("ticket", n.requests[index].id)
	n.orders.end()
	n.endRequest(index)
}

// Subscribe implements routing.Host. The wire allows one call at a time: a
// second call would replace the first and join the end of the discovery
// service's queue.
func (n *instance) Subscribe() {
	if n.subscribing {
		return
	}
	n.subscribing = true
	n.orders.begin("observe")
	n.orders.bool("on", true)
	n.orders.end()
}

// CloseIdleConnections implements routing.Host. The wire can only close all idle
// connections to a server, so nothing is closed if some are to be kept.
func (n *instance) CloseIdleConnections(server, keep int) {
	if keep > 0 {
		return
	}
	n.orders.begin("hang-up")
	n.orders.text("server", n.serverIDs[server])
	n.orders.end()
}

// SetAlarm implements routing.Host.
func (n *instance) SetAlarm(due routing.Time, handle int) {
	n.orders.begin("remind")
	n.orders.millis("due-at-ms", due)
	n.orders.number("handle", handle)
	n.orders.end()
}
