//go:build !faults

package cluster

import "context"

// trial is the rig's task, which no release has.
func (f *Fellows) trial() func(context.Context, *Grip) bool { return nil }
