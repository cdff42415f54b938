//go:build !faults

package cluster

import "context"

// faultTestTask returns nil: only builds with the tag faults have the task of the fault test.
func (m *Member) faultTestTask() func(context.Context, *HeldLease) bool { return nil }
