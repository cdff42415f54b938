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

// Fact is an effect inside the fleet, as the last act on it left it.
type Fact struct {
	Token  uint64 `json:"token"`  // of the lease under which it was done
	Number uint64 `json:"number"` // grows with each act on the fact
	Value  []byte `json:"value"`
}

// The kinds of entry.
const (
	Found = "found" // begins a fleet: Name is the fleet's, Number the token before the first
	Lead  = "lead"  // a leader begins: Name is the leader's
	Grant = "grant" // Name to Holder
	End   = "end"   // Name is free, if it is held with Token
	Act   = "act"   // an effect on Fact, if Name is held with Token
	Whole = "whole" // a budget by Name: declared, or another whole of it
	Parts = "parts" // moves of parts; Name is who proposes
)

// Entry is what is proposed. Reign, where it isn't 0, is the reign under which it was proposed: an entry that its leader
// decided by what it kept in mind must not count once another has led.
type Entry struct {
	Version int    `json:"v"`
	Kind    string `json:"kind"`
	Reign   uint64 `json:"reign,omitempty"`
	Name    string `json:"name"`
	Holder  Holder `json:"holder,omitzero"`
	Token   uint64 `json:"token,omitempty"`
	Fact    string `json:"fact,omitempty"`
	Number  uint64 `json:"number,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Budget  *Terms `json:"budget,omitempty"`
	Moves   []Move `json:"moves,omitempty"`
}

// Refusals, as an entry or an asking may meet them.
var (
	ErrHeld     = errors.New("held by another")
	ErrLapsed   = errors.New("not held with this token any more")
	ErrRepeated = errors.New("done already, or passed by a later one")
	ErrReign    = errors.New("another leader has come since")
	ErrFull     = errors.New("as many as are kept at once")
	ErrForm     = errors.New("malformed")
	ErrUnbegun  = errors.New("the fleet is not founded")
	ErrBegun    = errors.New("the fleet is founded already")
)

// Result is what an entry came to.
type Result struct {
	Token uint64
	Reign uint64
	Err   error
}

// State is what the voters agree on. It changes by Apply alone, alike everywhere. It is not safe for concurrent use.
type State struct {
	Fleet  string
	Leader string
	Reign  uint64 // leaders so far
	Tokens uint64 // the last one given: one counter for all names, so that names need not be remembered
	Leases map[string]Lease
	Facts  map[string]Fact

	Budgets map[string]*Budget
}

// NewState gives one of a fleet that isn't founded.
func NewState() *State {
	return &State{Leases: map[string]Lease{}, Facts: map[string]Fact{}, Budgets: map[string]*Budget{}}
}

// Apply takes the next entry of the log. What it refuses changes nothing.
func (s *State) Apply(e Entry) Result {
	switch {
	case e.Version != versionOf(e.Kind):
		return Result{Err: fmt.Errorf("%w: version %d of a %.50q entry, this program reads %d", ErrForm, e.Version, e.Kind, versionOf(e.Kind))}
	case !sound(e.Name):
		return Result{Err: fmt.Errorf("%w: name %.150q", ErrForm, e.Name)}
	case e.Kind == Found && s.Fleet != "":
		return Result{Err: ErrBegun}
	case e.Kind != Found && s.Fleet == "":
		return Result{Err: ErrUnbegun}
	case e.Reign != 0 && e.Reign != s.Reign:
		return Result{Err: ErrReign}
	}
	held, is := s.Leases[e.Name]
	switch e.Kind {
	case Found:
		s.Fleet, s.Tokens = e.Name, e.Number
	case Lead:
		s.Leader = e.Name
		s.Reign++
		return Result{Reign: s.Reign}
	case Grant:
		switch {
		case is && held.Holder == e.Holder:
			return Result{Token: held.Token} // its answer was lost
		case is:
			return Result{Token: held.Token, Err: ErrHeld}
		case len(s.Leases) >= namesMost:
			return Result{Err: ErrFull}
		}
		s.Tokens++
		s.Leases[e.Name] = Lease{e.Holder, s.Tokens}
		return Result{Token: s.Tokens}
	case End:
		if !is || held.Token != e.Token {
			return Result{Err: ErrLapsed}
		}
		delete(s.Leases, e.Name)
		s.drop(e.Name)
	case Act:
		return s.act(e, held, is)
	case Whole:
		return s.whole(e)
	case Parts:
		return s.move(e.Moves)
	default:
		return Result{Err: fmt.Errorf("%w: unknown kind %.50q", ErrForm, e.Kind)}
	}
	return Result{}
}

// act is the door inside the fleet: nothing passes it but under the lease's latest token, and nothing twice.
func (s *State) act(e Entry, held Lease, is bool) Result {
	was, known := s.Facts[e.Fact]
	switch {
	case !is || held.Token != e.Token:
		return Result{Err: ErrLapsed}
	case !sound(e.Fact) || e.Fact != e.Name && !strings.HasPrefix(e.Fact, e.Name+"/"):
		return Result{Err: fmt.Errorf("%w: fact %.150q is not %q or below it", ErrForm, e.Fact, e.Name)}
	case len(e.Value) > valueMost:
		return Result{Err: fmt.Errorf("%w: a value of %d bytes, %d at most", ErrForm, len(e.Value), valueMost)}
	case known && e.Number <= was.Number:
		return Result{Token: was.Token, Err: ErrRepeated}
	case !known && len(s.Facts) >= factsMost:
		return Result{Err: ErrFull}
	}
	s.Facts[e.Fact] = Fact{e.Token, e.Number, slices.Clone(e.Value)}
	return Result{Token: e.Token}
}

// sound says whether a name can be one: short, and of characters that stand in logs and paths as they are.
func sound(name string) bool {
	return name != "" && len(name) <= nameLength && strings.IndexFunc(name, func(r rune) bool {
		return !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("-_./:@", r))
	}) < 0
}

// Sound says whether a name can be a lease's.
func Sound(name string) bool { return sound(name) }

// Encode gives an entry as it stands in the log.
func (e Entry) Encode() ([]byte, error) {
	e.Version = versionOf(e.Kind)
	return json.Marshal(e)
}

// versionOf gives the version of a kind of entry: those who vote must read all that is in the log.
func versionOf(kind string) int {
	if kind == Whole || kind == Parts {
		return divided
	}
	return version
}

// Decode reads one.
func Decode(b []byte) (e Entry, err error) {
	if err := json.Unmarshal(b, &e); err != nil {
		return e, fmt.Errorf("%w: %w", ErrForm, err)
	}
	return e, nil
}

type snapshot struct {
	Version int              `json:"version"`
	Fleet   string           `json:"fleet"`
	Leader  string           `json:"leader"`
	Reign   uint64           `json:"reign"`
	Tokens  uint64           `json:"tokens"`
	Leases  map[string]Lease `json:"leases"`
	Facts   map[string]Fact  `json:"facts"`

	Budgets map[string]*Budget `json:"budgets,omitempty"`
}

// Snapshot gives all of it.
func (s *State) Snapshot() ([]byte, error) {
	of := version
	if len(s.Budgets) > 0 {
		of = divided
	}
	return json.Marshal(snapshot{of, s.Fleet, s.Leader, s.Reign, s.Tokens, s.Leases, s.Facts, s.Budgets})
}

// Restore takes a snapshot's place. A faulty one changes nothing; one of an unknown version is refused by name.
func (s *State) Restore(b []byte) error {
	var from snapshot
	if err := json.Unmarshal(b, &from); err != nil {
		return fmt.Errorf("snapshot: %w: %w", ErrForm, err)
	}
	if from.Version != version && from.Version != divided {
		return fmt.Errorf("snapshot version %d: this program reads versions %d and %d", from.Version, version, divided)
	}
	fresh := NewState()
	maps.Copy(fresh.Leases, from.Leases)
	maps.Copy(fresh.Facts, from.Facts)
	for name, b := range from.Budgets {
		fresh.Budgets[name] = b.Clone()
	}
	fresh.Fleet, fresh.Leader, fresh.Reign, fresh.Tokens = from.Fleet, from.Leader, from.Reign, from.Tokens
	*s = *fresh
	return nil
}
