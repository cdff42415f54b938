package dispatch

// maxListedIDs bounds the ids that are remembered after they have left the list: endpoints come under new ones all day.
const maxListedIDs = 4096

// listedIDs remembers the latest endpoint ids that were listed. It is guarded by the Dispatcher's lock.
type listedIDs struct {
	ids    map[string]bool
	order  []string // by age; a ring once it is full
	oldest int      // in the ring
}

// add remembers an id, in place of the oldest one where there are too many.
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

// WasListed reports whether an endpoint is listed, or was lately. Of those that have left the list the latest
// 4,096 or so are remembered.
func (d *Dispatcher) WasListed(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, listed := d.endpoints.byID[id]
	return listed || d.listedIDs.ids[id]
}
