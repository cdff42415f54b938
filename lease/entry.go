package lease

import (
	"encoding/json"
	"fmt"
)

// Versions of the stored form of entries and snapshots. Entries and snapshots with budgets have their own version, so that
// a program without support for budgets refuses them.
const (
	formatVersion       = 1
	budgetFormatVersion = 2
)

// Kinds of log entry.
const (
	KindFoundCluster = "found" // founds the cluster Name; the first fencing token is Number+1
	KindNewTerm      = "lead"  // begins the term of the leader Name
	KindGrant        = "grant" // grants the lease Name to Holder
	KindRevoke       = "end"   // ends the lease Name if it is held with Token
	KindEffect       = "act"   // sets Effect if the lease Name is held with Token
	KindSetBudget    = "whole" // declares the budget Name or changes its limit
	KindMoveQuotas   = "parts" // changes quotas; Name is the proposer
)

// Entry is an entry of the replicated log. A nonzero Term is the term in which the leader proposed the entry. Such an entry
// is refused in any later term, because it is based on leader state that is not replicated.
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
	Moves   []QuotaChange `json:"moves,omitempty"`
}

// Encode returns the stored form of the entry, with the format version of its kind.
func (e Entry) Encode() ([]byte, error) {
	e.Version = versionOfKind(e.Kind)
	return json.Marshal(e)
}

// DecodeEntry parses the stored form of an entry. It does not validate the entry: State.Apply checks its version and contents.
func DecodeEntry(data []byte) (e Entry, err error) {
	if err := json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return e, nil
}

// versionOfKind returns the format version of entries of a kind.
func versionOfKind(kind string) int {
	if kind == KindSetBudget || kind == KindMoveQuotas {
		return budgetFormatVersion
	}
	return formatVersion
}
