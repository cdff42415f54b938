package simwire

import (
	"encoding/json"
	"fmt"
	"log"
	"strings"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// instance is one balancer node. It maps the IDs on the wire to the small
// indices that routing uses, and implements routing.Host (host.go).
type instance struct {
	balancer *routing.Balancer
	settings *config.Settings
	orders   *orderWriter // writes the current part of the reply

	serverIndexes map[string]int // by ID
	serverIDs     []string       // by index
	endpoints     []routing.Endpoint

	requestIndexes map[string]int // by ID, of requests not yet released
	requests       []request      // by index
	freeRequests   []int          // indices that may be used again

	subscribing bool // a call for the endpoint list is in flight
}

// request is the state of a client's request that the wire needs.
type request struct {
	id       string
	attempts int // attempts sent
	inFlight int // attempts in flight
	ended    bool
	released bool
}

// noTenant is the routing.Request.Tenant of a request without a tenant.
const noTenant = -1

// newInstance returns an instance with the given settings. A missing or invalid
// setting takes its cautious default, and an invalid one is logged.
func newInstance(rawSettings []byte) (*instance, error) {
	var fields map[string]any
	if err := json.Unmarshal(rawSettings, &fields); err != nil {
		return nil, fmt.Errorf("unreadable settings: %w", err)
	}
	settings, err := config.ParseSettings(fields)
	if err != nil {
		log.Printf("invalid settings take their defaults: %v", err)
	}
	return &instance{
		settings:       settings,
		serverIndexes:  map[string]int{},
		requestIndexes: map[string]int{},
	}, nil
}

// startRequest reports a new request.
func (n *instance) startRequest(m *message, now routing.Time) error {
	if _, known := n.requestIndexes[m.requestID]; known || m.requestID == "" {
		return fmt.Errorf("request ID %q is missing or in use", m.requestID)
	}
	class, ok := n.settings.Classes[m.class]
	if !ok {
		return fmt.Errorf("unknown class %q", m.class)
	}
	tenant, ok := n.settings.Tenants[m.tenant]
	if !ok {
		tenant = noTenant
	}
	index := n.newRequest(strings.Clone(m.requestID))
	n.balancer.StartRequest(now, index, routing.Request{
		Class:    class,
		Tenant:   tenant,
		Key:      m.key,
		Deadline: config.MillisecondsToTime(m.deadlineMillis),
		Work:     m.workMillis,
		Write:    m.write,
	})
	return nil
}

// newRequest assigns an index to a request.
func (n *instance) newRequest(id string) (index int) {
	index = len(n.requests)
	if last := len(n.freeRequests) - 1; last >= 0 {
		index = n.freeRequests[last]
		n.freeRequests = n.freeRequests[:last]
	} else {
		n.requests = append(n.requests, request{})
	}
	n.requests[index] = request{id: id}
	n.requestIndexes[id] = index
	return index
}

// attemptDone reports the result of an attempt.
func (n *instance) attemptDone(m *message, now routing.Time) error {
	index, ok := n.requestIndexes[m.requestID]
	if !ok {
		return fmt.Errorf("unknown request %q", m.requestID)
	}
	result, ok := results[m.result]
	if !ok {
		return fmt.Errorf("unknown result %q", m.result)
	}
	r := &n.requests[index]
	if m.attempt < 0 || m.attempt >= r.attempts {
		return fmt.Errorf("request %q has no attempt %d", m.requestID, m.attempt)
	}
	r.inFlight--
	n.balancer.AttemptDone(now, index, m.attempt, result, m.ended)
	if m.ended {
		n.endRequest(index)
	}
	n.releaseRequest(index)
	return nil
}

// clientGone reports that a request has ended without a final answer from the
// balancer. An unknown request is ignored.
func (n *instance) clientGone(id string, now routing.Time) {
	if index, ok := n.requestIndexes[id]; ok {
		n.balancer.ClientGone(now, index)
		n.endRequest(index)
	}
}

// updateEndpoints reports an update of the endpoint list.
func (n *instance) updateEndpoints(m *message, now routing.Time) error {
	kind, ok := updateKinds[m.update]
	if !ok {
		return fmt.Errorf("unknown update kind %q", m.update)
	}
	n.subscribing = n.subscribing && kind == routing.Cached
	n.endpoints = n.endpoints[:0]
	for _, e := range m.endpoints {
		state, ok := states[e.state]
		if !ok {
			return fmt.Errorf("unknown state %q of endpoint %s", e.state, e.id)
		}
		n.endpoints = append(n.endpoints, routing.Endpoint{
			Server:    n.serverIndex(e.id),
			ID:        e.id,
			Model:     n.model(e.model),
			State:     state,
			StartedAt: config.MillisecondsToTime(e.startedAtMillis),
		})
	}
	n.balancer.UpdateEndpoints(now, kind, n.endpoints)
	return nil
}

// serverIndex returns the index of a server. An unknown server gets a new one.
func (n *instance) serverIndex(id string) int {
	index, ok := n.serverIndexes[id]
	if !ok {
		index = len(n.serverIDs)
		n.serverIndexes[id] = index
		n.serverIDs = append(n.serverIDs, id)
	}
	return index
}

// model returns the index of a machine model, or routing.NoOriginModel if the
// settings do not list it.
func (n *instance) model(name string) int {
	model, ok := n.settings.Models[name]
	if !ok {
		return routing.NoOriginModel
	}
	return model
}

// endRequest marks a request as ended.
func (n *instance) endRequest(index int) {
	n.requests[index].ended = true
	n.releaseRequest(index)
}

// releaseRequest frees a request's index once the request has ended and all
// its attempts are done.
func (n *instance) releaseRequest(index int) {
	r := &n.requests[index]
	if r.ended && r.inFlight == 0 && !r.released {
		r.released = true
		delete(n.requestIndexes, r.id)
		n.freeRequests = append(n.freeRequests, index)
	}
}
