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

// newScaleCommand returns the command that runs the scale test, or fits lines to its measurements.
func newScaleCommand() *cobra.Command {
	command := &cobra.Command{Use: "scale", Args: cobra.NoArgs, Short: "Run the control plane of a large cluster and measure its cost (docs/scale.md)"}
	plan := scaletest.Plan{}
	flags := command.Flags()
	flags.IntVar(&plan.HollowNodes, "nodes", 100, "hollow nodes")
	flags.IntVar(&plan.RealNodes, "real", 2, "number of real nodes, which serve lookups")
	flags.IntVar(&plan.CacheServers, "servers", 30, "cache servers on the list")
	flags.DurationVar(&plan.PhaseDuration, "for", 30*time.Second, "duration of the phase without churn, and of the phase with churn")
	flags.Uint64Var(&plan.Seed, "seed", 1, "seed of the random number generators")
	flags.Float64Var(&plan.ChurnFactor, "faster", 100, "rate of churn, as a multiple of the rate of the operators' whole fleet")
	flags.DurationVar(&plan.PartitionDuration, "cut", time.Minute, "how long a region is cut off")
	flags.IntVar(&plan.ConfigFileKB, "file", 4, "KB of each node's configuration")
	flags.BoolVar(&plan.NoLoad, "quiet", false, "no lookups and no demand for the budget, so that hollow and real nodes do the same work")
	scenarios := flags.String("what", "list,lease,budget,configuration", "comma-separated list of scenarios, some of "+strings.Join(scaletest.AllScenarios, ","))
	outputPath := flags.String("out", "", "CSV file to append the measurements to")
	measurementsPath := flags.String("fit", "", "instead of a run, fit lines to the measurements in this CSV file by least squares")
	fitVariable := flags.String("by", "nodes", "size to fit over: nodes or servers")
	predictionSize := flags.Float64("at", 19_000, "size for which the fitted lines predict values")
	phase := flags.String("phase", "", "fit only the measurements of this phase")
	command.RunE = func(cmd *cobra.Command, _ []string) (err error) {
		if *measurementsPath != "" {
			return printFit(cmd, *measurementsPath, *fitVariable, *phase, *predictionSize)
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
			return fmt.Errorf("void: %s; the %d exceeded bounds show nothing about the program", report.VoidReason, len(report.ExceededBounds))
		}
		if err == nil && len(report.ExceededBounds) > 0 {
			return fmt.Errorf("%d bounds were exceeded", len(report.ExceededBounds))
		}
		return err
	}
	return command
}

// appendMeasurements appends measurements to a CSV file, and creates it if it does not exist.
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

// printFit prints a table of the lines fitted to the metrics of a file, and of the values that they predict for a size.
func printFit(cmd *cobra.Command, path, variable, phase string, predictionSize float64) error {
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
	fmt.Fprintf(cmd.OutOrStdout(), "| phase | role | what | measured at %s | base | slope | R² | residuals | at %g |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", variable, predictionSize)
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
			line.Slope, line.R2, strings.Join(residuals, ", "), line.Predict(predictionSize))
	}
	return nil
}

// newHollowNodesCommand returns the command of a child process that runs hollow nodes for the scale test.
func newHollowNodesCommand() *cobra.Command {
	command := &cobra.Command{Use: "hollow", Args: cobra.NoArgs, Hidden: true, Short: "Run hollow nodes, controlled by commands on standard input"}
	flags := command.Flags()
	dir, name := flags.String("folder", "", "folder of the nodes' configuration files"), flags.String("name", "", "of this process")
	noLoad, seed := flags.Bool("quiet", false, "no demand for the budget"), flags.Uint64("seed", 1, "seed of the random number generators")
	command.RunE = func(*cobra.Command, []string) error {
		return runChild(func(ctx context.Context) error {
			return scaletest.RunHollowNodes(ctx, os.Stdin, os.Stdout, *dir, *name, *noLoad, *seed)
		})
	}
	return command
}

// newDiscoveryCommand returns the command of a child process that simulates the discovery service for the scale test.
func newDiscoveryCommand() *cobra.Command {
	command := &cobra.Command{Use: "directory", Args: cobra.NoArgs, Hidden: true, Short: "Simulate the discovery service, controlled by commands on standard input"}
	address := command.Flags().String("address", "", "address to listen on")
	command.RunE = func(*cobra.Command, []string) error {
		return runChild(func(ctx context.Context) error { return scaletest.RunDiscovery(ctx, os.Stdin, os.Stdout, *address) })
	}
	return command
}

// runChild runs a child process of the scale test until it ends or gets SIGINT or SIGTERM.
func runChild(run func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx)
}
