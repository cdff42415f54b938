//go:build !faults

package main

import "github.com/spf13/cobra"

// faultTests gives the rig's commands, which no release has.
func faultTests() []*cobra.Command { return nil }
