//go:build !faults

package cluster

import "context"

// faultTestTask is the rig's task, which no release has.
func (f *Member) faultTestTask() func(context.Context, *HeldLease) bool { return nil }
