//go:build !faults

package cluster

import "context"

// faultTestTask returns nil: only the fault test's build has its task.
func (m *Member) faultTestTask() func(context.Context, *HeldLease) bool { return nil }
