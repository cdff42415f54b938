package lease

import (
	"fmt"
	"slices"
	"strings"
)

// Limits on the replicated state.
const (
	maxLeases     = 4096
	maxEffects    = 16384
	maxValueBytes = 4 << 10 // of one effect: the log is no store for data
	maxNameBytes  = 128     // of a lease, an effect or a budget
)

// Holder identifies the process that holds a lease: the name of its node or job, its process id, and a start time that
// tells two processes with the same id apart.
type Holder struct {
	Name    string `json:"name"`
	Process int    `json:"process"`
	Start   int64  `json:"start"`
}

// String returns the form used in logs.
func (h Holder) String() string { return fmt.Sprintf("%s[%d@%d]", h.Name, h.Process, h.Start) }

// Lease is a lease that is held. Its expiry is not replicated: each leader counts it anew.
type Lease struct {
	Holder Holder `json:"holder"`
	Token  uint64 `json:"token"` // fencing token
}

// Effect is a replicated value that only the holder of a lease may set.
type Effect struct {
	Token  uint64 `json:"token"`  // fencing token under which it was last set
	Number uint64 `json:"number"` // grows with each change
	Value  []byte `json:"value"`
}

// Result is the outcome of applying an entry.
type Result struct {
	Token uint64 // of the lease or effect, or the revision of a budget
	Term  uint64 // for KindNewTerm
	Err   error
}

// State is the state machine that the voters replicate. Only Apply and Restore change it, alike on every voter. It is not
// safe for concurrent use.
type State struct {
	Cluster   string // name, empty until the cluster is founded
	Leader    string
	Term      uint64 // number of leaders so far
	LastToken uint64 // one counter for all names, so that released names need not be remembered
	Leases    map[string]Lease
	Effects   map[string]Effect

	Budgets map[string]*Budget
}

// NewState returns the state of a cluster that isn't founded.
func NewState() *State {
	return &State{
		Leases:  map[string]Lease{},
		Effects: map[string]Effect{},
		Budgets: map[string]*Budget{},
	}
}

// Apply applies the next entry of the log. An entry that is refused changes nothing; Result.Err says why.
func (s *State) Apply(e Entry) Result {
	if err := s.check(e); err != nil {
		return Result{Err: err}
	}
	switch e.Kind {
	case KindFoundCluster:
		s.Cluster = e.Name
		s.LastToken = e.Number
		return Result{}
	case KindNewTerm:
		s.Leader = e.Name
		s.Term++
		return Result{Term: s.Term}
	case KindGrant:
		return s.grant(e)
	case KindRevoke:
		return s.revoke(e)
	case KindEffect:
		return s.applyEffect(e)
	case KindSetBudget:
		return s.setBudget(e)
	case KindMoveQuotas:
		return s.moveQuotas(e.Moves)
	}
	return Result{Err: fmt.Errorf("%w: unknown kind %.50q", ErrMalformed, e.Kind)}
}

// check makes the checks that are common to all kinds of entry.
func (s *State) check(e Entry) error {
	switch {
	case e.Version != versionOfKind(e.Kind):
		return fmt.Errorf("%w: version %d of a %.50q entry, this program reads %d", ErrMalformed, e.Version, e.Kind, versionOfKind(e.Kind))
	case !ValidName(e.Name):
		return fmt.Errorf("%w: name %.150q", ErrMalformed, e.Name)
	case e.Kind == KindFoundCluster && s.Cluster != "":
		return ErrAlreadyFounded
	case e.Kind != KindFoundCluster && s.Cluster == "":
		return ErrNotFounded
	case e.Term != 0 && e.Term != s.Term:
		return ErrStaleTerm
	}
	return nil
}

// grant gives a free lease to a holder. It is idempotent: a holder whose response was lost gets the same token again.
func (s *State) grant(e Entry) Result {
	lease, held := s.Leases[e.Name]
	switch {
	case held && lease.Holder == e.Holder:
		return Result{Token: lease.Token}
	case held:
		return Result{Token: lease.Token, Err: ErrHeld}
	case len(s.Leases) >= maxLeases:
		return Result{Err: ErrLimitExceeded}
	}
	s.LastToken++
	s.Leases[e.Name] = Lease{Holder: e.Holder, Token: s.LastToken}
	return Result{Token: s.LastToken}
}

// revoke ends a lease, and with it the quotas that depend on it.
func (s *State) revoke(e Entry) Result {
	if lease, held := s.Leases[e.Name]; !held || lease.Token != e.Token {
		return Result{Err: ErrLeaseExpired}
	}
	delete(s.Leases, e.Name)
	s.revokeQuotas(e.Name)
	return Result{}
}

// applyEffect sets an effect. Its checks fence off every holder but the latest, and make each change apply once.
func (s *State) applyEffect(e Entry) Result {
	lease, held := s.Leases[e.Name]
	previous, known := s.Effects[e.Effect]
	switch {
	case !held || lease.Token != e.Token:
		return Result{Err: ErrLeaseExpired}
	case !ValidName(e.Effect) || e.Effect != e.Name && !strings.HasPrefix(e.Effect, e.Name+"/"):
		return Result{Err: fmt.Errorf("%w: effect %.150q is not %q or below it", ErrMalformed, e.Effect, e.Name)}
	case len(e.Value) > maxValueBytes:
		return Result{Err: fmt.Errorf("%w: a value of %d bytes, %d at most", ErrMalformed, len(e.Value), maxValueBytes)}
	case known && e.Number <= previous.Number:
		return Result{Token: previous.Token, Err: ErrDuplicate}
	case !known && len(s.Effects) >= maxEffects:
		return Result{Err: ErrLimitExceeded}
	}
	s.Effects[e.Effect] = Effect{Token: e.Token, Number: e.Number, Value: slices.Clone(e.Value)}
	return Result{Token: e.Token}
}

// ValidName reports whether a string may name a lease, an effect or a budget: it is short, and all its characters may stand
// in logs and paths unquoted.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(name, func(r rune) bool { return !validNameRune(r) }) < 0
}

func validNameRune(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return true
	}
	return strings.ContainsRune("-_./:@", r)
}
