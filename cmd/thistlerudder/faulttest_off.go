//go:build !faults

package main

import "github.com/spf13/cobra"

// ofTheRig gives the rig's commands, which no release has.
func ofTheRig() []*cobra.Command { return nil }
