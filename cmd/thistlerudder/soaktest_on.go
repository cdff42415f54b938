//go:build faults

package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/soaktest"
)

// newSoakCommand returns the command soak. It runs dozens of nodes while faults overlap, once per seed, and checks each request.
func newSoakCommand() *cobra.Command {
	soakCmd := &cobra.Command{Use: "soak", Args: cobra.NoArgs, Short: "Run nodes under overlapping faults; exit 0 only if no run violates a rule"}
	seeds := soakCmd.Flags().String("seeds", "1-5", "FROM-TO")
	nodes := soakCmd.Flags().Int("nodes", 30, "number of nodes")
	duration := soakCmd.Flags().Duration("for", 20*time.Second, "duration of each run")
	disabledSafeguard := soakCmd.Flags().String("without", "", "a safeguard to disable; the runs should then fail")
	programPath := soakCmd.Flags().String("program", "", "path of the program to run as nodes; this program if empty")
	uploadShare := soakCmd.Flags().Float64("uploads", 0, "share of requests, from 0 to 1, with a streamed body, in addition to those by chance")
	endlessShare := soakCmd.Flags().Float64("endless", 0, "share of answers, from 0 to 1, that never end, in addition to those by a fault")
	originHangShare := soakCmd.Flags().Float64("origin-hangs", 0, "share of attempts, from 0 to 1, that the origin does not answer, in addition to its faults")
	crowd := soakCmd.Flags().Int("crowd", 0, "idle clients of each node, which have 256 descriptors")
	slowPeers := soakCmd.Flags().Bool("slow-peers", false, "servers answer and read slowly; clients upload at once, come again with their ids and flood with requests that are refused")
	keepLogs := soakCmd.Flags().Bool("keep", false, "keep the nodes' logs of runs that violate a rule")
	soakCmd.RunE = func(cmd *cobra.Command, _ []string) error {
		from, to, err := parseSeedRange(*seeds)
		if err != nil {
			return err
		}
		if *nodes < 2 || *nodes > 100 {
			return fmt.Errorf("nodes: expected 2 to 100, not %d", *nodes)
		}
		if *crowd < 0 || *crowd > 300 {
			return fmt.Errorf("crowd: expected 0 to 300, not %d", *crowd)
		}
		if *uploadShare < 0 || *uploadShare > 1 || *originHangShare < 0 || *originHangShare > 1 {
			return fmt.Errorf("uploads, origin-hangs: expected 0 to 1, not %g and %g", *uploadShare, *originHangShare)
		}
		if *endlessShare < 0 || *endlessShare > 1 {
			return fmt.Errorf("endless: expected 0 to 1, not %g", *endlessShare)
		}
		if *disabledSafeguard != "" && !slices.Contains(faults.SoakSafeguards, *disabledSafeguard) {
			return fmt.Errorf("without: expected one of %v, not %q", faults.SoakSafeguards, *disabledSafeguard)
		}
		program, err := os.Executable()
		if err != nil {
			return err
		}
		if *programPath != "" {
			program = *programPath
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		failed := 0
		for seed := from; seed <= to; seed++ {
			result, err := soaktest.Run(ctx, soaktest.Plan{Program: program, Nodes: *nodes, Duration: *duration, Seed: seed, DisabledSafeguard: *disabledSafeguard, KeepLogs: *keepLogs,
				UploadShare: *uploadShare, OriginHangShare: *originHangShare, EndlessShare: *endlessShare, CrowdPerNode: *crowd, SlowPeers: *slowPeers})
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			cmd.Printf("seed %d: %s", seed, result.Summary())
			if len(result.Violations) > 0 {
				failed++
			}
		}
		if failed > 0 {
			return fmt.Errorf("%d runs violated a rule", failed)
		}
		return nil
	}
	return soakCmd
}
