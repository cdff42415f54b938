package metrics

import (
	"maps"
	"sync"
)

// NamedCounts counts events by name. The names must come from a fixed set of the program's own, never from a client's text, since each of them is kept.
// Its zero value has no counts. Its methods are safe for concurrent use.
type NamedCounts struct {
	mu     sync.Mutex
	byName map[string]int64
}

// Add counts an event.
func (c *NamedCounts) Add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = map[string]int64{}
	}
	c.byName[name]++
}

// Snapshot returns a copy of the counts. Names that were never counted are left out.
func (c *NamedCounts) Snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byName)
}
