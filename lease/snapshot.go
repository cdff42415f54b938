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

// Snapshot returns the stored form of the state.
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

// Restore replaces the state by that of a snapshot. If the snapshot is malformed or has an unknown version, it returns an
// error and leaves the state unchanged.
func (s *State) Restore(data []byte) error {
	var decoded snapshot
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	if decoded.Version != formatVersion && decoded.Version != budgetFormatVersion {
		return fmt.Errorf("snapshot version %d: this program reads versions %d and %d", decoded.Version, formatVersion, budgetFormatVersion)
	}
	restored := NewState()
	restored.Cluster = decoded.Cluster
	restored.Leader = decoded.Leader
	restored.Term = decoded.Term
	restored.LastToken = decoded.LastToken
	maps.Copy(restored.Leases, decoded.Leases)
	maps.Copy(restored.Effects, decoded.Effects)
	for name, budget := range decoded.Budgets {
		restored.Budgets[name] = budget.Clone()
	}
	*s = *restored
	return nil
}
