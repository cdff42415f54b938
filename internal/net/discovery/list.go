package discovery

import (
	"encoding/json"
	"fmt"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
)

// page is an answer of the discovery service.
type page struct {
	Version *int64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

type entry struct {
	ID      string  `json:"id"`
	Address string  `json:"addr"`
	Machine string  `json:"kind"`
	State   string  `json:"state"`
	Started float64 `json:"started_ms"`
}

var states = map[string]routing.State{"Ready": routing.Ready, "Terminating": routing.Draining, "Gone": routing.Gone}

// parse reads a page whole or not at all: half a list would look like servers gone.
func parse(body []byte) (version int64, full bool, boxes []dispatch.Endpoint, err error) {
	var p page
	if err := json.Unmarshal(body, &p); err != nil {
		return 0, false, nil, err
	}
	if p.Version == nil {
		return 0, false, nil, fmt.Errorf("version: expected a whole number")
	}
	for _, e := range p.Servers {
		state, known := states[e.State]
		if !known || e.ID == "" || (e.Address == "" && state != routing.Gone) {
			return 0, false, nil, fmt.Errorf("server %q: expected an id, an address and a known state, not %q",
				e.ID, e.State)
		}
		boxes = append(boxes, dispatch.Endpoint{ID: e.ID, Address: e.Address, Model: e.Machine, State: state,
			StartedMs: e.Started})
	}
	return *p.Version, p.Full, boxes, nil
}
