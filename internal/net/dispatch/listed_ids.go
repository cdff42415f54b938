package dispatch

// maxListedIDs bounds the stored ids, which include those of endpoints that have left the list. Endpoints with new ids
// are added all the time, so not all of them can be stored.
const maxListedIDs = 4096

// listedIDs stores the endpoint ids that were listed most recently. It is guarded by the Dispatcher's lock.
type listedIDs struct {
	ids    map[string]bool
	order  []string // oldest first until it is full, then a ring buffer
	oldest int      // index of the oldest id in the ring buffer
}

// add stores an id. It replaces the oldest one once there are maxListedIDs.
func (l *listedIDs) add(id string) {
	if l.ids[id] {
		return
	}
	if len(l.order) < maxListedIDs {
		l.order = append(l.order, id)
	} else {
		delete(l.ids, l.order[l.oldest])
		l.order[l.oldest] = id
		l.oldest = (l.oldest + 1) % maxListedIDs
	}
	if l.ids == nil {
		l.ids = map[string]bool{}
	}
	l.ids[id] = true
}

// WasListed reports whether an endpoint is listed, or was recently. Of the endpoints that have left the list, about the
// latest 4,096 are known.
func (d *Dispatcher) WasListed(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, listed := d.endpoints.byID[id]
	return listed || d.listedIDs.ids[id]
}
