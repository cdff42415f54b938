package lease

import (
	"encoding/json"
	"fmt"
	"maps"
)

// snapshot is the stored form of State.
type snapshot struct {
	Version   int               `json:"version"`
	Cluster   string            `json:"fleet"`
	Leader    string            `json:"leader"`
	Term      uint64            `json:"reign"`
	LastToken uint64            `json:"tokens"`
	Leases    map[string]Lease  `json:"leases"`
	Effects   map[string]Effect `json:"facts"`

	Budgets map[string]*Budget `json:"budgets,omitempty"`
}

// Snapshot returns the stored form of the whole state.
func (s *State) Snapshot() ([]byte, error) {
	version := formatVersion
	if len(s.Budgets) > 0 {
		version = budgetFormatVersion
	}
	return json.Marshal(snapshot{
		Version:   version,
		Cluster:   s.Cluster,
		Leader:    s.Leader,
		Term:      s.Term,
		LastToken: s.LastToken,
		Leases:    s.Leases,
		Effects:   s.Effects,
		Budgets:   s.Budgets,
	})
}

// Restore replaces the state by a snapshot's. It changes nothing if the snapshot is malformed or of an unknown version.
func (s *State) Restore(stored []byte) error {
	var from snapshot
	if err := json.Unmarshal(stored, &from); err != nil {
		return fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	if from.Version != formatVersion && from.Version != budgetFormatVersion {
		return fmt.Errorf("snapshot version %d: this program reads versions %d and %d", from.Version, formatVersion, budgetFormatVersion)
	}
	restored := NewState()
	restored.Cluster = from.Cluster
	restored.Leader = from.Leader
	restored.Term = from.Term
	restored.LastToken = from.LastToken
	maps.Copy(restored.Leases, from.Leases)
	maps.Copy(restored.Effects, from.Effects)
	for name, budget := range from.Budgets {
		restored.Budgets[name] = budget.Clone()
	}
	*s = *restored
	return nil
}
