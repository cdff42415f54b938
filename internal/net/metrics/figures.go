// Package metrics keeps totals since the start of the process. They are counted where things happen and read by
// whoever asks, without a lock, so that a node under full load can still be looked at.
package metrics

import (
	"slices"
	"sync/atomic"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// Ends is how lookups of one namespace have ended.
type Ends struct{ Resolved, Deferred, Abandoned atomic.Int64 }

// Figures are one node's totals, and what it has in hand.
type Figures struct {
	Written atomic.Int64 // shots whose last byte went out
	Open    atomic.Int64 // lookups taken and not answered whole
	Listed  atomic.Int64 // caches on the box list
	Avoided atomic.Int64 // those of them that get nothing at present

	// Denied counts attempts whose first byte was not written, Violations what the module ordered against the rules and the
	// exchange did not carry out. Both by reason.
	Denied, Violations [admission.Reasons]atomic.Int64

	names  []string
	counts map[string]*Ends
}

// New makes the figures for these namespaces: no others are ever counted, so that no client can make names.
func New(namespaces []string) *Figures {
	f := &Figures{names: slices.Sorted(slices.Values(namespaces)), counts: map[string]*Ends{}}
	for _, name := range f.names {
		f.counts[name] = &Ends{}
	}
	return f
}

// Of gives the counts of a namespace; nil where there is none of that name.
func (f *Figures) Of(namespace string) *Ends { return f.counts[namespace] }

// Namespaces gives their names in order.
func (f *Figures) Namespaces() []string { return f.names }
