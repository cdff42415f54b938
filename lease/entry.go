package lease

import (
	"encoding/json"
	"fmt"
)

// Versions of the stored form of entries and snapshots. A program that doesn't know budgets refuses those with budgets by
// their version.
const (
	formatVersion       = 1
	budgetFormatVersion = 2
)

// The kinds of log entry.
const (
	KindFoundCluster = "found" // founds the cluster Name; Number is the token before the first one
	KindNewTerm      = "lead"  // begins the term of the leader Name
	KindGrant        = "grant" // grants the lease Name to Holder
	KindRevoke       = "end"   // ends the lease Name, if it is held with Token
	KindEffect       = "act"   // sets Effect, if the lease Name is held with Token
	KindSetBudget    = "whole" // declares the budget Name, or changes its limit
	KindMoveQuotas   = "parts" // changes quotas; Name is the proposer
)

// Entry is an entry of the replicated log. Term, where it isn't 0, is the term in which the entry was proposed: it is
// refused in any later term, because the leader based it on memory that is gone.
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

// Encode returns the entry's stored form, with the version of its kind.
func (e Entry) Encode() ([]byte, error) {
	e.Version = versionOfKind(e.Kind)
	return json.Marshal(e)
}

// Decode parses the stored form of an entry. Apply checks its version and contents.
func Decode(data []byte) (e Entry, err error) {
	if err := json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return e, nil
}

// versionOfKind returns the version that entries of a kind are written with.
func versionOfKind(kind string) int {
	if kind == KindSetBudget || kind == KindMoveQuotas {
		return budgetFormatVersion
	}
	return formatVersion
}
