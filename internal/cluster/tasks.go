package cluster

import (
	"context"

	"github.com/thistlerudder/thistlerudder/internal/config"
)

// task returns what a task does while its lease is held; nil: this build has no such task. The function returns whether the
// lease is to be acquired again.
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
