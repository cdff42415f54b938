//go:build !faults

package cluster

import "context"

// trial is the rig's task, which no release has.
func (f *Member) trial() func(context.Context, *HeldLease) bool { return nil }
