//go:build !faults

package main

import "github.com/spf13/cobra"

// faultTestCommands returns the commands of the test rig. A build without the tag faults has none.
func faultTestCommands() []*cobra.Command { return nil }
