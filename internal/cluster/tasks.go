package cluster

import (
	"context"

	"github.com/thistlerudder/thistlerudder/internal/config"
)

// task returns the function that runs a task while its lease is held, or nil if this build has no such task. The function
// returns whether the lease is to be acquired again.
func (m *Member) task(name string) func(context.Context, *HeldLease) (reacquire bool) {
	switch name {
	case config.TaskRollUp:
		return m.rollUp
	case config.TaskProbe:
		return m.runProbes
	case config.TaskFaultTest:
		return m.faultTestTask()
	}
	return nil
}
