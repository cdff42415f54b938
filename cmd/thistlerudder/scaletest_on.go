//go:build faults

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/thistlerudder/thistlerudder/internal/scaletest"
)

// trialScale plays the control work of a large fleet.
func trialScale() *cobra.Command {
	command := &cobra.Command{Use: "scale", Args: cobra.NoArgs, Short: "Play the control work of a large fleet, and say what it costs: docs/scale.md"}
	plan := scaletest.Plan{}
	flags := command.Flags()
	flags.IntVar(&plan.HollowNodes, "nodes", 100, "hollow nodes")
	flags.IntVar(&plan.RealNodes, "real", 2, "real nodes beside them, which serve lookups")
	flags.IntVar(&plan.CacheServers, "servers", 30, "cache servers on the list")
	flags.DurationVar(&plan.PhaseDuration, "for", 30*time.Second, "of peace, and of churn")
	flags.Uint64Var(&plan.Seed, "seed", 1, "of chance")
	flags.Float64Var(&plan.ChurnFactor, "faster", 100, "how much faster than the operators' whole fleet's churn is")
	flags.DurationVar(&plan.PartitionDuration, "cut", time.Minute, "for which a region is cut off")
	flags.IntVar(&plan.ConfigFileKB, "file", 4, "KB of each node's configuration")
	flags.BoolVar(&plan.NoLoad, "quiet", false, "no lookups and no demand: hollow and real nodes then do the same")
	scenarios := flags.String("what", "list,lease,budget,configuration", "some of "+strings.Join(scaletest.AllScenarios, ","))
	outputPath := flags.String("out", "", "a file to add the points to, CSV")
	measurementsPath := flags.String("fit", "", "play nothing: fit the points of this file by least squares")
	fitVariable := flags.String("by", "nodes", "what the fit goes over: nodes or servers")
	predictedSize := flags.Float64("at", 19_000, "the size that the fit is to tell of")
	phase := flags.String("phase", "", "of the fit, only what was measured in this one")
	command.RunE = func(cmd *cobra.Command, _ []string) (err error) {
		if *measurementsPath != "" {
			return printFit(cmd, *measurementsPath, *fitVariable, *phase, *predictedSize)
		}
		if plan.Scenarios, err = scaletest.ParseScenarios(*scenarios); err != nil {
			return err
		}
		if plan.Program, err = os.Executable(); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
		defer stop()
		report, err := scaletest.Run(ctx, plan, func(format string, args ...any) { fmt.Fprintf(cmd.OutOrStdout(), format+"\n", args...) })
		if *outputPath != "" && len(report.Measurements) > 0 {
			err = errors.Join(err, appendMeasurements(*outputPath, report.Measurements))
		}
		for _, bound := range report.ExceededBounds {
			cmd.PrintErrln(bound)
		}
		if err == nil && report.VoidReason != "" {
			return fmt.Errorf("void: %s, so the %d things that broke their bound show nothing", report.VoidReason, len(report.ExceededBounds))
		}
		if err == nil && len(report.ExceededBounds) > 0 {
			return fmt.Errorf("%d things broke their bound", len(report.ExceededBounds))
		}
		return err
	}
	return command
}

// added writes points behind those of a file.
func appendMeasurements(path string, measurements []scaletest.Measurement) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err == nil {
		err = scaletest.WriteMeasurements(f, measurements, info.Size() == 0)
	}
	return errors.Join(err, f.Close())
}

// fitted prints a line through each figure of a file, and what it tells of a size.
func printFit(cmd *cobra.Command, path, variable, phase string, predictedSize float64) error {
	if variable != "nodes" && variable != "servers" {
		return fmt.Errorf("by: expected nodes or servers, not %q", variable)
	}
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	measurements, err := scaletest.ReadMeasurements(f)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "| phase | role | what | measured at %s | base | slope | R² | residuals | at %g |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", variable, predictedSize)
	for _, line := range scaletest.FitLines(measurements, variable == "servers") {
		if phase != "" && line.Phase != phase {
			continue
		}
		var values, residuals []string
		for i := range line.Sizes {
			values = append(values, fmt.Sprintf("%g: %.4g", line.Sizes[i], line.Values[i]))
			residuals = append(residuals, fmt.Sprintf("%.2g", line.Residuals[i]))
		}
		fmt.Fprintf(cmd.OutOrStdout(), "| %s | %s | %s | %s | %.4g | %.4g | %.3f | %s | %.4g |\n", line.Phase, line.Role, line.Metric, strings.Join(values, ", "), line.Intercept,
			line.Slope, line.R2, strings.Join(residuals, ", "), line.Predict(predictedSize))
	}
	return nil
}

// hollowNodes runs them for a run at scale.
func hollowNodes() *cobra.Command {
	command := &cobra.Command{Use: "hollow", Args: cobra.NoArgs, Hidden: true, Short: "Run hollow nodes by orders from standard input"}
	flags := command.Flags()
	dir, name := flags.String("folder", "", "where their files are"), flags.String("name", "", "of this process")
	noLoad, seed := flags.Bool("quiet", false, "without demand"), flags.Uint64("seed", 1, "of chance")
	command.RunE = func(*cobra.Command, []string) error {
		return runChild(func(ctx context.Context) error {
			return scaletest.RunHollowNodes(ctx, os.Stdin, os.Stdout, *dir, *name, *noLoad, *seed)
		})
	}
	return command
}

// directory runs the stand-in of the discovery service for a run at scale.
func directory() *cobra.Command {
	command := &cobra.Command{Use: "directory", Args: cobra.NoArgs, Hidden: true, Short: "Stand in for discovery by orders from standard input"}
	address := command.Flags().String("address", "", "where to listen")
	command.RunE = func(*cobra.Command, []string) error {
		return runChild(func(ctx context.Context) error { return scaletest.RunDiscovery(ctx, os.Stdin, os.Stdout, *address) })
	}
	return command
}

// child runs a process of a run's own, which ends with the run.
func runChild(run func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx)
}
