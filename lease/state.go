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
	maxValueBytes = 4 << 10 // per effect, because the replicated log is not meant for bulk data
	maxNameBytes  = 128     // per name of a lease, an effect or a budget
)

// Holder identifies the process that holds a lease: the name of its node or job, its process id and its start time. The
// start time distinguishes processes that reuse a process id.
type Holder struct {
	Name    string `json:"name"`
	Process int    `json:"process"`
	Start   int64  `json:"start"`
}

// String returns the holder in the form used in logs.
func (h Holder) String() string { return fmt.Sprintf("%s[%d@%d]", h.Name, h.Process, h.Start) }

// Lease is a lease that is held. Its expiry is not replicated: a new leader restarts it at the full duration.
type Lease struct {
	Holder Holder `json:"holder"`
	Token  uint64 `json:"token"` // fencing token
}

// Effect is a replicated value that only the current holder of a lease may set.
type Effect struct {
	Token  uint64 `json:"token"`  // fencing token of the holder that last set it
	Number uint64 `json:"number"` // sequence number; each change must have a higher one
	Value  []byte `json:"value"`
}

// Result is the outcome of applying an entry.
type Result struct {
	Token uint64 // fencing token of the lease or effect; for KindSetBudget, the budget's revision
	Term  uint64 // for KindNewTerm, the new term
	Err   error
}

// State is the state machine that the voters replicate. Only Apply and Restore change it, and they are deterministic, so that
// all voters have the same state. It is not safe for concurrent use.
type State struct {
	Cluster   string // name of the cluster; empty until it is founded
	Leader    string
	Term      uint64 // number of leaders so far
	LastToken uint64 // last token issued; all names share one counter, so released names need not be kept
	Leases    map[string]Lease
	Effects   map[string]Effect

	Budgets map[string]*Budget
}

// NewState returns the state of a cluster that is not founded yet.
func NewState() *State {
	return &State{
		Leases:  map[string]Lease{},
		Effects: map[string]Effect{},
		Budgets: map[string]*Budget{},
	}
}

// Apply applies the next entry of the log. A refused entry leaves the state unchanged, and Result.Err is the reason.
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

// check validates what is common to all kinds of entry.
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

// grant grants a free lease. It is idempotent: a holder that retries after a lost response gets the same token.
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

// revoke ends a lease and the quotas that belong to it.
func (s *State) revoke(e Entry) Result {
	if lease, held := s.Leases[e.Name]; !held || lease.Token != e.Token {
		return Result{Err: ErrLeaseExpired}
	}
	delete(s.Leases, e.Name)
	s.revokeQuotas(e.Name)
	return Result{}
}

// applyEffect sets an effect. The token check fences off earlier holders; the sequence number makes each change apply at
// most once.
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

// ValidName reports whether a string is a valid name of a lease, an effect or a budget: 1 to maxNameBytes bytes, and only
// characters that need no quoting in logs and paths.
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
