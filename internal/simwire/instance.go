package simwire

import (
	"encoding/json"
	"fmt"
	"log"
	"strings"

	"github.com/mailru/easyjson/jwriter"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// instance is one instance: it maps the wire's ids to small indices, and is the module's Host.
type instance struct {
	balancer       *routing.Balancer
	settings       *config.Settings
	orders         *orderWriter
	serverIndexes  map[string]int
	serverIDs      []string
	endpoints      []routing.Endpoint
	requestIndexes map[string]int // tickets of lookups that are not yet forgotten
	requests       []request
	freeRequests   []int
	subscribing    bool // a call for the list is out
}

type request struct {
	id                 string
	attempts, inFlight int
	ended, released    bool
}

// newInstance reads the settings. What is missing or of another form is left out: the module then falls back
// to its cautious default, and the complaint goes to the log.
func newInstance(info []byte) (*instance, error) {
	var settings map[string]any
	if err := json.Unmarshal(info, &settings); err != nil {
		return nil, fmt.Errorf("its settings can't be read: %w", err)
	}
	t, err := config.ParseSettings(settings)
	if err != nil {
		log.Printf("the settings are taken without what is at fault: %v", err)
	}
	return &instance{settings: t, serverIndexes: map[string]int{}, requestIndexes: map[string]int{}}, nil
}

func (n *instance) startRequest(f *message, now routing.Time) error {
	if _, known := n.requestIndexes[f.requestID]; known || f.requestID == "" {
		return fmt.Errorf("ticket %q is missing or came before", f.requestID)
	}
	ns, ok := n.settings.Classes[f.class]
	if !ok {
		return fmt.Errorf("namespace %q is unknown", f.class)
	}
	partner, ok := n.settings.Tenants[f.tenant]
	if !ok {
		partner = -1
	}
	lkp := len(n.requests)
	if last := len(n.freeRequests) - 1; last >= 0 {
		lkp, n.freeRequests = n.freeRequests[last], n.freeRequests[:last]
	} else {
		n.requests = append(n.requests, request{})
	}
	id := strings.Clone(f.requestID)
	n.requests[lkp] = request{id: id}
	n.requestIndexes[id] = lkp
	n.balancer.Request(now, lkp, routing.Request{Class: ns, Tenant: partner, Key: f.key,
		Deadline: config.Ticks(f.deadlineMillis), Work: f.workMillis, Write: f.write})
	return nil
}

func (n *instance) attemptDone(f *message, now routing.Time) error {
	lkp, ok := n.requestIndexes[f.requestID]
	if !ok {
		return fmt.Errorf("lookup %q is unknown", f.requestID)
	}
	code, ok := results[f.result]
	if !ok {
		return fmt.Errorf("code %q is unknown", f.result)
	}
	t := &n.requests[lkp]
	if f.attempt < 0 || f.attempt >= t.attempts {
		return fmt.Errorf("lookup %q had no shot %d", f.requestID, f.attempt)
	}
	t.inFlight--
	n.balancer.AttemptDone(now, lkp, f.attempt, code, f.ended)
	if f.ended {
		n.endRequest(lkp)
	}
	n.releaseRequest(lkp)
	return nil
}

func (n *instance) updateEndpoints(f *message, now routing.Time) error {
	how, ok := updateKinds[f.update]
	if !ok {
		return fmt.Errorf("list kind %q is unknown", f.update)
	}
	n.subscribing = n.subscribing && how == routing.Cached
	n.endpoints = n.endpoints[:0]
	for _, e := range f.endpoints {
		state, ok := states[e.state]
		if !ok {
			return fmt.Errorf("state %q of %s is unknown", e.state, e.id)
		}
		i, ok := n.serverIndexes[e.id]
		if !ok {
			i = len(n.serverIDs)
			n.serverIndexes[e.id] = i
			n.serverIDs = append(n.serverIDs, e.id)
		}
		kind, ok := n.settings.Models[e.model]
		if !ok {
			kind = -1
		}
		n.endpoints = append(n.endpoints, routing.Endpoint{Server: i, ID: e.id, Model: kind, State: state,
			StartedAt: config.Ticks(e.startedAtMillis)})
	}
	n.balancer.UpdateEndpoints(now, how, n.endpoints)
	return nil
}

// endRequest marks a lookup as ended.
func (n *instance) endRequest(lkp int) {
	n.requests[lkp].ended = true
	n.releaseRequest(lkp)
}

// releaseRequest frees a lookup's index once it has ended and all its shots have settled.
func (n *instance) releaseRequest(lkp int) {
	t := &n.requests[lkp]
	if t.ended && t.inFlight == 0 && !t.released {
		t.released = true
		delete(n.requestIndexes, t.id)
		n.freeRequests = append(n.freeRequests, lkp)
	}
}

// Send is the module's; so are the other exported methods.
func (n *instance) Send(lkp, server int, timeout routing.Time) {
	t := &n.requests[lkp]
	t.attempts++
	t.inFlight++
	n.orders.begin("transmit")
	n.orders.text("ticket", t.id)
	n.orders.text("server", n.serverIDs[server])
	n.orders.millis("timeout-ms", timeout)
	n.orders.end()
}

// Reject turns a lookup away.
func (n *instance) Reject(lkp int, retryAfter routing.Time) {
	n.orders.begin("overload-reply")
	n.orders.text("ticket", n.requests[lkp].id)
	n.orders.millis("retry-after-ms", retryAfter)
	n.orders.end()
	n.endRequest(lkp)
}

// Fail gives a lookup up.
func (n *instance) Fail(lkp int) {
	n.orders.begin("lose")
	n.orders.text("ticket", n.requests[lkp].id)
	n.orders.end()
	n.endRequest(lkp)
}

// Subscribe asks for the list and its changes. The wire has one call at a time: a second would take the first one's place
// in the service's line.
func (n *instance) Subscribe() {
	if n.subscribing {
		return
	}
	n.subscribing = true
	n.orders.begin("observe")
	n.orders.w.RawString(`,"on":true`)
	n.orders.end()
}

// CloseIdle closes idle connections; the wire has no words for some of them.
func (n *instance) CloseIdle(server, but int) {
	if but > 0 {
		return
	}
	n.orders.begin("hang-up")
	n.orders.text("server", n.serverIDs[server])
	n.orders.end()
}

// SetAlarm asks for an alarm.
func (n *instance) SetAlarm(at routing.Time, handle int) {
	n.orders.begin("remind")
	n.orders.millis("due-at-ms", at)
	n.orders.number("handle", handle)
	n.orders.end()
}

// orderWriter writes one instance's orders into the reply; its part is opened by the first of them.
type orderWriter struct {
	w           *jwriter.Writer
	instance    string
	partWritten bool
	partOpen    bool
}

func (o *orderWriter) begin(what string) {
	if o.partOpen {
		o.w.RawByte(',')
	} else {
		if o.partWritten {
			o.w.RawByte(',')
		}
		o.w.RawString(`{"node":`)
		o.w.String(o.instance)
		o.w.RawString(`,"orders":[`)
		o.partOpen, o.partWritten = true, true
	}
	o.w.RawString(`{"what":"`)
	o.w.RawString(what)
	o.w.RawByte('"')
}

func (o *orderWriter) field(name string) {
	o.w.RawString(`,"`)
	o.w.RawString(name)
	o.w.RawString(`":`)
}

func (o *orderWriter) text(name, value string) {
	o.field(name)
	o.w.String(value)
}

func (o *orderWriter) number(name string, value int) {
	o.field(name)
	o.w.Int(value)
}

func (o *orderWriter) millis(name string, t routing.Time) {
	o.field(name)
	o.w.Float64(float64(t) / 10)
}

func (o *orderWriter) end() { o.w.RawByte('}') }

// close ends the part, and tells whether any part has been written by now.
func (o *orderWriter) close() bool {
	if o.partOpen {
		o.w.RawString(`]}`)
	}
	return o.partWritten
}
