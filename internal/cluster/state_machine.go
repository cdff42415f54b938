package cluster

import (
	"errors"
	"io"
	"runtime"

	"github.com/hashicorp/raft"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

// stateMachine implements raft.FSM: through it the consensus library updates a voter's replicated state.
type stateMachine struct{ *Voter }

// Apply applies an entry and returns its lease.Result.
func (m stateMachine) Apply(l *raft.Log) any {
	e, err := lease.DecodeEntry(l.Data)
	m.mu.Lock()
	defer m.mu.Unlock()
	if faults.Disabled(faults.FencingCheck) && e.Kind == lease.KindEffect {
		e.Token = m.state.Leases[e.Name].Token
	}
	result := lease.Result{Err: err}
	if err == nil {
		result = m.state.Apply(e)
	}
	if e.Kind == lease.KindRevoke || e.Kind == lease.KindSetBudget {
		m.allocator.StateChanged(now())
	}
	m.appliedEntries++
	close(m.changed)
	m.changed = make(chan struct{})
	return result
}

// Snapshot returns a snapshot of the state.
func (m stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	encoded, err := m.state.Snapshot()
	return stateSnapshot(encoded), err
}

// Restore replaces the state by that of a snapshot. The library ends the process if Restore returns an error, so after the
// library has started, Restore ends the voter and the library's goroutine instead.
func (m stateMachine) Restore(snapshot io.ReadCloser) error {
	defer snapshot.Close()
	encoded, err := io.ReadAll(snapshot)
	if err == nil {
		m.mu.Lock()
		err = m.state.Restore(encoded)
		m.mu.Unlock()
	}
	if err != nil && m.libraryStarted.Load() {
		m.shutdownOnce.fail(err)
		runtime.Goexit()
	}
	return err
}

// stateSnapshot is an encoded snapshot. It implements raft.FSMSnapshot.
type stateSnapshot []byte

// Persist writes the snapshot.
func (s stateSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing; it is part of raft.FSMSnapshot.
func (s stateSnapshot) Release() {}
