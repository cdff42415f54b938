//go:build !faults

package main

import "github.com/spf13/cobra"

// faultTests returns the commands of the test rig. A build without the tag faults has none.
func faultTests() []*cobra.Command { return nil }
