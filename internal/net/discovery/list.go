package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
)

// endpointList is the content of one response from the discovery service.
type endpointList struct {
	version   int64
	full      bool // contains all endpoints; otherwise only those changed since the version in the query
	endpoints []dispatch.Endpoint
}

// response is the JSON body of a response from the discovery service.
type response struct {
	Version *int64          `json:"version"`
	Full    bool            `json:"full"`
	Servers []responseEntry `json:"servers"`
}

type responseEntry struct {
	ID        string  `json:"id"`
	Address   string  `json:"addr"`
	Model     string  `json:"kind"`
	State     string  `json:"state"`
	StartedMs float64 `json:"started_ms"`
}

var errNoVersion = errors.New("endpoint list: expected a version that is a whole number")

var statesByName = map[string]routing.State{"Ready": routing.Ready, "Terminating": routing.Draining, "Gone": routing.Gone}

// parseList parses a response body. One invalid entry makes the whole list invalid, because an endpoint missing from a full list counts as gone.
func parseList(body []byte) (endpointList, error) {
	var r response
	if err := json.Unmarshal(body, &r); err != nil {
		return endpointList{}, err
	}
	if r.Version == nil {
		return endpointList{}, errNoVersion
	}
	list := endpointList{version: *r.Version, full: r.Full}
	for _, entry := range r.Servers {
		endpoint, err := entry.endpoint()
		if err != nil {
			return endpointList{}, err
		}
		list.endpoints = append(list.endpoints, endpoint)
	}
	return list, nil
}

func (e responseEntry) endpoint() (dispatch.Endpoint, error) {
	state, known := statesByName[e.State]
	if !known || e.ID == "" || (e.Address == "" && state != routing.Gone) {
		return dispatch.Endpoint{}, fmt.Errorf("server %q: expected an id, an address and a known state, got state %q", e.ID, e.State)
	}
	return dispatch.Endpoint{ID: e.ID, Address: e.Address, Model: e.Model, State: state, StartedMs: e.StartedMs}, nil
}
