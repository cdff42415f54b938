// Package lease decides who in a fleet may act on a task of the whole fleet. It has three parts, none of which does any
// I/O or knows a clock of its own: State is what the voters agree on, Keeper is what their leader keeps in mind beside it,
// and Claim is the side of one who wants a lease. docs/leases.md says what is promised; docs/design-leases.md, why so.
package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Time is a reading of a clock that goes on while the machine sleeps, or a span, in whole tenths of a millisecond.
type Time int64

// Millisecond is a thousandth of a second.
const Millisecond Time = 10

const (
	version    = 1       // of entries and snapshots,
	divided    = 2       // and of those that tell of budgets: a program that knows none refuses them by name
	namesMost  = 4096    // leases held at once
	factsMost  = 16384   // effects that are remembered, all tasks together
	valueMost  = 4 << 10 // bytes of one; the log is no store for data
	nameLength = 128     // bytes of a lease's or a fact's name
)

// Holder is who holds a lease: a node's or a job's name, its process, and that process's start. The start tells apart
// two processes that got the same number.
type Holder struct {
	Name    string `json:"name"`
	Process int    `json:"process"`
	Start   int64  `json:"start"`
}

// String gives it as it stands in logs.
func (h Holder) String() string { return fmt.Sprintf("%s[%d@%d]", h.Name, h.Process, h.Start) }

// Lease is one that is held. Nothing here says until when: the end is the leader's to know, and is counted anew by the next.
type Lease struct {
	Holder Holder `json:"holder"`
	Token  uint64 `json:"token"`
}

// Effect is an effect inside the fleet, as the last act on it left it.
type Effect struct {
	Token  uint64 `json:"token"`  // of the lease under which it was done
	Number uint64 `json:"number"` // grows with each act on the fact
	Value  []byte `json:"value"`
}

// The kinds of entry.
const (
	KindFoundCluster = "found" // begins a fleet: Name is the fleet's, Number the token before the first
	KindNewTerm      = "lead"  // a leader begins: Name is the leader's
	KindGrant        = "grant" // Name to Holder
	KindRevoke       = "end"   // Name is free, if it is held with Token
	KindEffect       = "act"   // an effect on Fact, if Name is held with Token
	KindSetBudget    = "whole" // a budget by Name: declared, or another whole of it
	KindMoveQuotas   = "parts" // moves of parts; Name is who proposes
)

// Entry is what is proposed. Reign, where it isn't 0, is the reign under which it was proposed: an entry that its leader
// decided by what it kept in mind must not count once another has led.
type Entry struct {
	Version int           `json:"v"`
	Kind    string        `json:"kind"`
	Term    uint64        `json:"reign,omitempty"`
	Name    string        `json:"name"`
	Holder  Holder        `json:"holder,omitzero"`
	Token   uint64        `json:"token,omitempty"`
	Effect  string        `json:"fact,omitempty"`
	Number  uint64        `json:"number,omitempty"`
	Value   []byte        `json:"value,omitempty"`
	Budget  *BudgetConfig `json:"budget,omitempty"`
	Moves   []QuotaMove   `json:"moves,omitempty"`
}

// Refusals, as an entry or an asking may meet them.
var (
	ErrHeld           = errors.New("held by another")
	ErrLeaseExpired   = errors.New("not held with this token any more")
	ErrDuplicate      = errors.New("done already, or passed by a later one")
	ErrStaleTerm      = errors.New("another leader has come since")
	ErrLimitExceeded  = errors.New("as many as are kept at once")
	ErrMalformed      = errors.New("malformed")
	ErrNotFounded     = errors.New("the fleet is not founded")
	ErrAlreadyFounded = errors.New("the fleet is founded already")
)

// Result is what an entry came to.
type Result struct {
	Token uint64
	Term  uint64
	Err   error
}

// State is what the voters agree on. It changes by Apply alone, alike everywhere. It is not safe for concurrent use.
type State struct {
	Cluster   string
	Leader    string
	Term      uint64 // leaders so far
	LastToken uint64 // the last one given: one counter for all names, so that names need not be remembered
	Leases    map[string]Lease
	Effects   map[string]Effect

	Budgets map[string]*Budget
}

// NewState gives one of a fleet that isn't founded.
func NewState() *State {
	return &State{Leases: map[string]Lease{}, Effects: map[string]Effect{}, Budgets: map[string]*Budget{}}
}

// Apply takes the next entry of the log. What it refuses changes nothing.
func (s *State) Apply(e Entry) Result {
	switch {
	case e.Version != versionOf(e.Kind):
		return Result{Err: fmt.Errorf("%w: version %d of a %.50q entry, this program reads %d", ErrMalformed, e.Version, e.Kind, versionOf(e.Kind))}
	case !validName(e.Name):
		return Result{Err: fmt.Errorf("%w: name %.150q", ErrMalformed, e.Name)}
	case e.Kind == KindFoundCluster && s.Cluster != "":
		return Result{Err: ErrAlreadyFounded}
	case e.Kind != KindFoundCluster && s.Cluster == "":
		return Result{Err: ErrNotFounded}
	case e.Term != 0 && e.Term != s.Term:
		return Result{Err: ErrStaleTerm}
	}
	held, is := s.Leases[e.Name]
	switch e.Kind {
	case KindFoundCluster:
		s.Cluster, s.LastToken = e.Name, e.Number
	case KindNewTerm:
		s.Leader = e.Name
		s.Term++
		return Result{Term: s.Term}
	case KindGrant:
		switch {
		case is && held.Holder == e.Holder:
			return Result{Token: held.Token} // its answer was lost
		case is:
			return Result{Token: held.Token, Err: ErrHeld}
		case len(s.Leases) >= namesMost:
			return Result{Err: ErrLimitExceeded}
		}
		s.LastToken++
		s.Leases[e.Name] = Lease{e.Holder, s.LastToken}
		return Result{Token: s.LastToken}
	case KindRevoke:
		if !is || held.Token != e.Token {
			return Result{Err: ErrLeaseExpired}
		}
		delete(s.Leases, e.Name)
		s.drop(e.Name)
	case KindEffect:
		return s.act(e, held, is)
	case KindSetBudget:
		return s.whole(e)
	case KindMoveQuotas:
		return s.move(e.Moves)
	default:
		return Result{Err: fmt.Errorf("%w: unknown kind %.50q", ErrMalformed, e.Kind)}
	}
	return Result{}
}

// act is the door inside the fleet: nothing passes it but under the lease's latest token, and nothing twice.
func (s *State) act(e Entry, held Lease, is bool) Result {
	was, known := s.Effects[e.Effect]
	switch {
	case !is || held.Token != e.Token:
		return Result{Err: ErrLeaseExpired}
	case !validName(e.Effect) || e.Effect != e.Name && !strings.HasPrefix(e.Effect, e.Name+"/"):
		return Result{Err: fmt.Errorf("%w: fact %.150q is not %q or below it", ErrMalformed, e.Effect, e.Name)}
	case len(e.Value) > valueMost:
		return Result{Err: fmt.Errorf("%w: a value of %d bytes, %d at most", ErrMalformed, len(e.Value), valueMost)}
	case known && e.Number <= was.Number:
		return Result{Token: was.Token, Err: ErrDuplicate}
	case !known && len(s.Effects) >= factsMost:
		return Result{Err: ErrLimitExceeded}
	}
	s.Effects[e.Effect] = Effect{e.Token, e.Number, slices.Clone(e.Value)}
	return Result{Token: e.Token}
}

// validName says whether a name can be one: short, and of characters that stand in logs and paths as they are.
func validName(name string) bool {
	return name != "" && len(name) <= nameLength && strings.IndexFunc(name, func(r rune) bool {
		return !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("-_./:@", r))
	}) < 0
}

// ValidName says whether a name can be a lease's.
func ValidName(name string) bool { return validName(name) }

// Encode gives an entry as it stands in the log.
func (e Entry) Encode() ([]byte, error) {
	e.Version = versionOf(e.Kind)
	return json.Marshal(e)
}

// versionOf gives the version of a kind of entry: those who vote must read all that is in the log.
func versionOf(kind string) int {
	if kind == KindSetBudget || kind == KindMoveQuotas {
		return divided
	}
	return version
}

// Decode reads one.
func Decode(b []byte) (e Entry, err error) {
	if err := json.Unmarshal(b, &e); err != nil {
		return e, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return e, nil
}

type snapshot struct {
	Version int               `json:"version"`
	Fleet   string            `json:"fleet"`
	Leader  string            `json:"leader"`
	Reign   uint64            `json:"reign"`
	Tokens  uint64            `json:"tokens"`
	Leases  map[string]Lease  `json:"leases"`
	Facts   map[string]Effect `json:"facts"`

	Budgets map[string]*Budget `json:"budgets,omitempty"`
}

// Snapshot gives all of it.
func (s *State) Snapshot() ([]byte, error) {
	of := version
	if len(s.Budgets) > 0 {
		of = divided
	}
	return json.Marshal(snapshot{of, s.Cluster, s.Leader, s.Term, s.LastToken, s.Leases, s.Effects, s.Budgets})
}

// Restore takes a snapshot's place. A faulty one changes nothing; one of an unknown version is refused by name.
func (s *State) Restore(b []byte) error {
	var from snapshot
	if err := json.Unmarshal(b, &from); err != nil {
		return fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	if from.Version != version && from.Version != divided {
		return fmt.Errorf("snapshot version %d: this program reads versions %d and %d", from.Version, version, divided)
	}
	fresh := NewState()
	maps.Copy(fresh.Leases, from.Leases)
	maps.Copy(fresh.Effects, from.Facts)
	for name, b := range from.Budgets {
		fresh.Budgets[name] = b.Clone()
	}
	fresh.Cluster, fresh.Leader, fresh.Term, fresh.LastToken = from.Fleet, from.Leader, from.Reign, from.Tokens
	*s = *fresh
	return nil
}
