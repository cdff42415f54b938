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

// node is one instance: it maps the wire's ids to small indices, and is the module's Host.
type node struct {
	balancer *routing.Balancer
	terms    *config.Settings
	out      *orders
	servers  map[string]int
	names    []string
	boxes    []routing.Endpoint
	index    map[string]int // tickets of lookups that are not yet forgotten
	tickets  []ticket
	free     []int
	asking   bool // a call for the list is out
}

type ticket struct {
	id          string
	shots, out  int
	over, freed bool
}

// newNode reads the settings. What is missing or of another form is left out: the module then falls back
// to its cautious default, and the complaint goes to the log.
func newNode(info []byte) (*node, error) {
	var settings map[string]any
	if err := json.Unmarshal(info, &settings); err != nil {
		return nil, fmt.Errorf("its settings can't be read: %w", err)
	}
	t, err := config.ParseSettings(settings)
	if err != nil {
		log.Printf("the settings are taken without what is at fault: %v", err)
	}
	return &node{terms: t, servers: map[string]int{}, index: map[string]int{}}, nil
}

func (n *node) ingress(f *fields, now routing.Time) error {
	if _, known := n.index[f.ticket]; known || f.ticket == "" {
		return fmt.Errorf("ticket %q is missing or came before", f.ticket)
	}
	ns, ok := n.terms.Classes[f.namespace]
	if !ok {
		return fmt.Errorf("namespace %q is unknown", f.namespace)
	}
	partner, ok := n.terms.Tenants[f.account]
	if !ok {
		partner = -1
	}
	lkp := len(n.tickets)
	if last := len(n.free) - 1; last >= 0 {
		lkp, n.free = n.free[last], n.free[:last]
	} else {
		n.tickets = append(n.tickets, ticket{})
	}
	id := strings.Clone(f.ticket)
	n.tickets[lkp] = ticket{id: id}
	n.index[id] = lkp
	n.balancer.Request(now, lkp, routing.Request{Class: ns, Tenant: partner, Key: f.key,
		Deadline: config.Ticks(f.expires), Work: f.hint, Write: f.write})
	return nil
}

func (n *node) settled(f *fields, now routing.Time) error {
	lkp, ok := n.index[f.ticket]
	if !ok {
		return fmt.Errorf("lookup %q is unknown", f.ticket)
	}
	code, ok := codes[f.code]
	if !ok {
		return fmt.Errorf("code %q is unknown", f.code)
	}
	t := &n.tickets[lkp]
	if f.number < 0 || f.number >= t.shots {
		return fmt.Errorf("lookup %q had no shot %d", f.ticket, f.number)
	}
	t.out--
	n.balancer.AttemptDone(now, lkp, f.number, code, f.ended)
	if f.ended {
		n.over(lkp)
	}
	n.forget(lkp)
	return nil
}

func (n *node) list(f *fields, now routing.Time) error {
	how, ok := listKinds[f.how]
	if !ok {
		return fmt.Errorf("list kind %q is unknown", f.how)
	}
	n.asking = n.asking && how == routing.Cached
	n.boxes = n.boxes[:0]
	for _, e := range f.boxes {
		state, ok := states[e.state]
		if !ok {
			return fmt.Errorf("state %q of %s is unknown", e.state, e.server)
		}
		i, ok := n.servers[e.server]
		if !ok {
			i = len(n.names)
			n.servers[e.server] = i
			n.names = append(n.names, e.server)
		}
		kind, ok := n.terms.Models[e.machine]
		if !ok {
			kind = -1
		}
		n.boxes = append(n.boxes, routing.Endpoint{Server: i, ID: e.server, Model: kind, State: state,
			StartedAt: config.Ticks(e.since)})
	}
	n.balancer.UpdateEndpoints(now, how, n.boxes)
	return nil
}

// over marks a lookup as ended.
func (n *node) over(lkp int) {
	n.tickets[lkp].over = true
	n.forget(lkp)
}

// forget frees a lookup's index once it has ended and all its shots have settled.
func (n *node) forget(lkp int) {
	t := &n.tickets[lkp]
	if t.over && t.out == 0 && !t.freed {
		t.freed = true
		delete(n.index, t.id)
		n.free = append(n.free, lkp)
	}
}

// Send is the module's; so are the other exported methods.
func (n *node) Send(lkp, server int, timeout routing.Time) {
	t := &n.tickets[lkp]
	t.shots++
	t.out++
	n.out.begin("transmit")
	n.out.text("ticket", t.id)
	n.out.text("server", n.names[server])
	n.out.millis("timeout-ms", timeout)
	n.out.end()
}

// Reject turns a lookup away.
func (n *node) Reject(lkp int, retryAfter routing.Time) {
	n.out.begin("overload-reply")
	n.out.text("ticket", n.tickets[lkp].id)
	n.out.millis("retry-after-ms", retryAfter)
	n.out.end()
	n.over(lkp)
}

// Fail gives a lookup up.
func (n *node) Fail(lkp int) {
	n.out.begin("lose")
	n.out.text("ticket", n.tickets[lkp].id)
	n.out.end()
	n.over(lkp)
}

// Subscribe asks for the list and its changes. The wire has one call at a time: a second would take the first one's place
// in the service's line.
func (n *node) Subscribe() {
	if n.asking {
		return
	}
	n.asking = true
	n.out.begin("observe")
	n.out.w.RawString(`,"on":true`)
	n.out.end()
}

// CloseIdle closes idle connections; the wire has no words for some of them.
func (n *node) CloseIdle(server, but int) {
	if but > 0 {
		return
	}
	n.out.begin("hang-up")
	n.out.text("server", n.names[server])
	n.out.end()
}

// SetAlarm asks for an alarm.
func (n *node) SetAlarm(at routing.Time, handle int) {
	n.out.begin("remind")
	n.out.millis("due-at-ms", at)
	n.out.number("handle", handle)
	n.out.end()
}

// orders writes one instance's orders into the reply; its part is opened by the first of them.
type orders struct {
	w     *jwriter.Writer
	node  string
	comma bool
	open  bool
}

func (o *orders) begin(what string) {
	if o.open {
		o.w.RawByte(',')
	} else {
		if o.comma {
			o.w.RawByte(',')
		}
		o.w.RawString(`{"node":`)
		o.w.String(o.node)
		o.w.RawString(`,"orders":[`)
		o.open, o.comma = true, true
	}
	o.w.RawString(`{"what":"`)
	o.w.RawString(what)
	o.w.RawByte('"')
}

func (o *orders) field(name string) {
	o.w.RawString(`,"`)
	o.w.RawString(name)
	o.w.RawString(`":`)
}

func (o *orders) text(name, value string) {
	o.field(name)
	o.w.String(value)
}

func (o *orders) number(name string, value int) {
	o.field(name)
	o.w.Int(value)
}

func (o *orders) millis(name string, t routing.Time) {
	o.field(name)
	o.w.Float64(float64(t) / 10)
}

func (o *orders) end() { o.w.RawByte('}') }

// close ends the part, and tells whether any part has been written by now.
func (o *orders) close() bool {
	if o.open {
		o.w.RawString(`]}`)
	}
	return o.comma
}
