// Package metrics keeps totals since the start of the process. They are counted where things happen and read by
// whoever asks, without a lock, so that a node under full load can still be looked at.
package metrics

import (
	"slices"
	"sync/atomic"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// Outcomes is how lookups of one namespace have ended.
type Outcomes struct{ Served, Rejected, Failed atomic.Int64 }

// Metrics are one node's totals, and what it has in hand.
type Metrics struct {
	Written atomic.Int64 // shots whose last byte went out
	Open    atomic.Int64 // lookups taken and not answered whole
	Listed  atomic.Int64 // caches on the box list
	Avoided atomic.Int64 // those of them that get nothing at present

	// Denied counts attempts whose first byte was not written, Violations what the module ordered against the rules and the
	// exchange did not carry out. Both by reason.
	Denied, Violations [admission.Reasons]atomic.Int64

	names  []string
	counts map[string]*Outcomes
}

// New makes the figures for these namespaces: no others are ever counted, so that no client can make names.
func New(namespaces []string) *Metrics {
	f := &Metrics{names: slices.Sorted(slices.Values(namespaces)), counts: map[string]*Outcomes{}}
	for _, name := range f.names {
		f.counts[name] = &Outcomes{}
	}
	return f
}

// Of gives the counts of a namespace; nil where there is none of that name.
func (f *Metrics) Of(namespace string) *Outcomes { return f.counts[namespace] }

// Classes gives their names in order.
func (f *Metrics) Classes() []string { return f.names }
