// Package metrics holds a node's counters since the start of its process, and its gauges. Most are atomics, which the code that handles
// requests updates directly. They are read without a lock, so that a node under full load can still be observed.
package metrics

import (
	"slices"
	"sync/atomic"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// Outcomes counts the requests of one class by their final outcome.
type Outcomes struct{ Served, Rejected, Failed atomic.Int64 }

// Metrics holds one node's counters and gauges. Use New to create it: the zero value has no classes.
type Metrics struct {
	AttemptsWritten atomic.Int64 // attempts whose last byte was written
	OpenRequests    atomic.Int64 // gauge: requests received whose response is not complete
	ListedServers   atomic.Int64 // gauge: cache servers on the endpoint list
	ServersOutOfUse atomic.Int64 // gauge: listed cache servers that currently get no requests

	// WithheldAttempts counts attempts whose first byte was not written, by reason.
	WithheldAttempts [admission.NumReasons]atomic.Int64
	// Violations counts decisions of package routing that violated a rule and were therefore not carried out, by reason.
	Violations [admission.NumReasons]atomic.Int64

	classes  []string // sorted
	outcomes map[string]*Outcomes

	interrupted NamedCounts // answers that broke off at the client, by the result of their attempt

	AttemptEnds NamedCounts // attempts that have ended, by result
	Refusals    NamedCounts // requests that were answered without the balancer's decision, by reason
	ConnCloses  NamedCounts // client connections that this node has closed, by reason
}

// New returns Metrics for the given classes. Requests of any other class are not counted, so clients can't add classes.
func New(classes []string) *Metrics {
	m := &Metrics{classes: slices.Sorted(slices.Values(classes)), outcomes: map[string]*Outcomes{}}
	for _, class := range m.classes {
		m.outcomes[class] = &Outcomes{}
	}
	return m
}

// ForClass returns the counts of a class, or nil for a class that New wasn't given.
func (m *Metrics) ForClass(class string) *Outcomes { return m.outcomes[class] }

// Classes returns the sorted names of the classes. The caller must not change them.
func (m *Metrics) Classes() []string { return m.classes }

// CountInterrupted counts an answer that the client had begun to receive and that did not come to its end, by the name of the result of its
// attempt.
func (m *Metrics) CountInterrupted(result string) { m.interrupted.Add(result) }

// Interrupted returns the counts of CountInterrupted. Results that have not occurred are left out.
func (m *Metrics) Interrupted() map[string]int64 { return m.interrupted.Snapshot() }
