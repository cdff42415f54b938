// Package metrics counts a node's totals since the start of its process. They are atomics, counted where things happen
// and read without a lock, so that a node under full load can still be looked at.
package metrics

import (
	"slices"
	"sync/atomic"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// Outcomes counts how the requests of one class have ended.
type Outcomes struct{ Served, Rejected, Failed atomic.Int64 }

// Metrics holds one node's totals and gauges. The zero value is not ready for use, see New.
type Metrics struct {
	Written atomic.Int64 // attempts whose last byte was written
	Open    atomic.Int64 // gauge: requests that have come and whose answer is not complete
	Listed  atomic.Int64 // gauge: cache servers on the endpoint list
	Avoided atomic.Int64 // gauge: those of them that get no requests at present

	// Denied counts attempts whose first byte was not written, by reason.
	Denied [admission.NumReasons]atomic.Int64
	// Violations counts orders of package routing that a rule forbids, and that were not carried out, by reason.
	Violations [admission.NumReasons]atomic.Int64

	classes  []string // in order
	outcomes map[string]*Outcomes
}

// New returns Metrics for these classes. No other class is ever counted, so clients can't add any.
func New(classes []string) *Metrics {
	m := &Metrics{classes: slices.Sorted(slices.Values(classes)), outcomes: map[string]*Outcomes{}}
	for _, class := range m.classes {
		m.outcomes[class] = &Outcomes{}
	}
	return m
}

// Of returns the counts of a class; nil where there is no such class.
func (m *Metrics) Of(class string) *Outcomes { return m.outcomes[class] }

// Classes returns the names of the classes in order. The caller must not change them.
func (m *Metrics) Classes() []string { return m.classes }
