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
	c := &cobra.Command{Use: "scale", Args: cobra.NoArgs, Short: "Play the control work of a large fleet, and say what it costs: docs/scale.md"}
	p := scaletest.Plan{}
	f := c.Flags()
	f.IntVar(&p.Nodes, "nodes", 100, "hollow nodes")
	f.IntVar(&p.Real, "real", 2, "real nodes beside them, which serve lookups")
	f.IntVar(&p.Servers, "servers", 30, "cache servers on the list")
	f.DurationVar(&p.Span, "for", 30*time.Second, "of peace, and of churn")
	f.Uint64Var(&p.Seed, "seed", 1, "of chance")
	f.Float64Var(&p.Faster, "faster", 100, "how much faster than the operators' whole fleet's churn is")
	f.DurationVar(&p.CutFor, "cut", time.Minute, "for which a region is cut off")
	f.IntVar(&p.FileKB, "file", 4, "KB of each node's configuration")
	f.BoolVar(&p.Quiet, "quiet", false, "no lookups and no demand: hollow and real nodes then do the same")
	what := f.String("what", "list,lease,budget,configuration", "some of "+strings.Join(scaletest.All, ","))
	out := f.String("out", "", "a file to add the points to, CSV")
	fit := f.String("fit", "", "play nothing: fit the points of this file by least squares")
	by := f.String("by", "nodes", "what the fit goes over: nodes or servers")
	at := f.Float64("at", 19_000, "the size that the fit is to tell of")
	phase := f.String("phase", "", "of the fit, only what was measured in this one")
	c.RunE = func(cmd *cobra.Command, _ []string) (err error) {
		if *fit != "" {
			return fitted(cmd, *fit, *by, *phase, *at)
		}
		if p.What, err = scaletest.Parse(*what); err != nil {
			return err
		}
		if p.Program, err = os.Executable(); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
		defer stop()
		r, err := scaletest.Play(ctx, p, func(format string, args ...any) { fmt.Fprintf(cmd.OutOrStdout(), format+"\n", args...) })
		if *out != "" && len(r.Points) > 0 {
			err = errors.Join(err, added(*out, r.Points))
		}
		for _, b := range r.Broken {
			cmd.PrintErrln(b)
		}
		if err == nil && r.Void != "" {
			return fmt.Errorf("void: %s, so the %d things that broke their bound show nothing", r.Void, len(r.Broken))
		}
		if err == nil && len(r.Broken) > 0 {
			return fmt.Errorf("%d things broke their bound", len(r.Broken))
		}
		return err
	}
	return c
}

// added writes points behind those of a file.
func added(path string, points []scaletest.Point) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	at, err := f.Stat()
	if err == nil {
		err = scaletest.Write(f, points, at.Size() == 0)
	}
	return errors.Join(err, f.Close())
}

// fitted prints a line through each figure of a file, and what it tells of a size.
func fitted(cmd *cobra.Command, path, by, phase string, at float64) error {
	if by != "nodes" && by != "servers" {
		return fmt.Errorf("by: expected nodes or servers, not %q", by)
	}
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	points, err := scaletest.ReadPoints(f)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "| phase | role | what | measured at %s | base | slope | R² | residuals | at %g |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", by, at)
	for _, l := range scaletest.Lines(points, by == "servers") {
		if phase != "" && l.Phase != phase {
			continue
		}
		var measured, residuals []string
		for i := range l.At {
			measured = append(measured, fmt.Sprintf("%g: %.4g", l.At[i], l.Values[i]))
			residuals = append(residuals, fmt.Sprintf("%.2g", l.Residuals[i]))
		}
		fmt.Fprintf(cmd.OutOrStdout(), "| %s | %s | %s | %s | %.4g | %.4g | %.3f | %s | %.4g |\n", l.Phase, l.Role, l.What, strings.Join(measured, ", "), l.Base,
			l.Slope, l.R2, strings.Join(residuals, ", "), l.Value(at))
	}
	return nil
}

// hollowNodes runs them for a run at scale.
func hollowNodes() *cobra.Command {
	c := &cobra.Command{Use: "hollow", Args: cobra.NoArgs, Hidden: true, Short: "Run hollow nodes by orders from standard input"}
	f := c.Flags()
	folder, name := f.String("folder", "", "where their files are"), f.String("name", "", "of this process")
	quiet, seed := f.Bool("quiet", false, "without demand"), f.Uint64("seed", 1, "of chance")
	c.RunE = func(*cobra.Command, []string) error {
		return child(func(ctx context.Context) error {
			return scaletest.Host(ctx, os.Stdin, os.Stdout, *folder, *name, *quiet, *seed)
		})
	}
	return c
}

// directory runs the stand-in of the discovery service for a run at scale.
func directory() *cobra.Command {
	c := &cobra.Command{Use: "directory", Args: cobra.NoArgs, Hidden: true, Short: "Stand in for discovery by orders from standard input"}
	address := c.Flags().String("address", "", "where to listen")
	c.RunE = func(*cobra.Command, []string) error {
		return child(func(ctx context.Context) error { return scaletest.Serve(ctx, os.Stdin, os.Stdout, *address) })
	}
	return c
}

// child runs a process of a run's own, which ends with the run.
func child(run func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx)
}
