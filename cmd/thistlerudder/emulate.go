package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/thistlerudder/thistlerudder/internal/simulation"
)

// emulate plays described experiments in simulated time.
func emulate() *cobra.Command {
	c := &cobra.Command{
		Use:   "emulate FILE...",
		Short: "Play described experiments in simulated time, under the module and plain policies",
		Long: "Play described experiments in simulated time. Each is played under each of its policies, with as many\n" +
			"seeds as --seeds says, from its own on. The figures are emulated: docs/emulator.md says what is left out.\n" +
			"The exit status is 1 if a run of the module breaks a rule.",
		Args: cobra.MinimumNArgs(1),
	}
	seeds := c.Flags().Int("seeds", 1, "how many seeds to play, from the description's on")
	only := c.Flags().StringSlice("policy", nil, "these policies instead of the description's")
	out := c.Flags().String("out", "", "a file for the points of each second, as comma-separated values")
	parts := c.Flags().String("budgets", "", "a file for the use of fleets' budgets in each second, as comma-separated values")
	checkOnly := c.Flags().Bool("check", false, "read the descriptions, and play nothing")
	after := c.Flags().Int("after", 0, "also say how far fetches rise after this second")
	span := c.Flags().Int("span", 10, "over how many seconds, with --after")
	c.RunE = func(cmd *cobra.Command, files []string) error {
		if *seeds < 1 {
			return fmt.Errorf("seeds: expected 1 or more, not %d", *seeds)
		}
		var all []*simulation.Experiment
		for _, file := range files {
			read, err := simulation.Read(file)
			if err != nil {
				return err
			}
			for _, e := range read {
				if len(*only) > 0 {
					e.Policies = *only
				}
			}
			all = append(all, read...)
		}
		for _, p := range *only {
			if !slices.Contains(simulation.Policies(), p) {
				return fmt.Errorf("policy %q: expected one of %v", p, simulation.Policies())
			}
		}
		if *checkOnly {
			cmd.Printf("%d descriptions are sound\n", len(all))
			return nil
		}
		return play(cmd, all, *seeds, *out, *parts, *after, *span)
	}
	return c
}

func play(cmd *cobra.Command, all []*simulation.Experiment, seeds int, out, parts string, after, span int) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	head := "experiment\tpolicy\tseed\trequests\tin time\tworst 10 s\tp50 ms\tp99 ms\tfetches/s\tbusiest\tbroken"
	if after > 0 {
		head += fmt.Sprintf("\tfetches after %d s", after)
	}
	fmt.Fprintln(table, head)
	var broken []string
	var points strings.Builder
	w := csv.NewWriter(&points)
	_ = w.Write(simulation.Header) // into memory
	w.Flush()
	var use strings.Builder
	uses := csv.NewWriter(&use)
	_ = uses.Write(simulation.UseHeader) // into memory
	for _, e := range all {
		runs := make([]*simulation.Series, len(e.Policies)*seeds)
		var played sync.WaitGroup
		errs, places := make([]error, len(runs)), make(chan struct{}, e.AtOnce())
		for i := range runs {
			played.Go(func() {
				places <- struct{}{}
				defer func() { <-places }()
				runs[i], errs[i] = simulation.Run(e, e.Policies[i/seeds], e.Seed+uint64(i%seeds))
			})
		}
		played.Wait()
		for i, s := range runs {
			if errs[i] != nil {
				return errs[i]
			}
			what := "-"
			if len(s.Broken) > 0 {
				what = fmt.Sprint(s.Broken)
				if s.Policy == "ranges" {
					broken = append(broken, s.Faults...)
				}
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.4f\t%.4f\t%.1f\t%.1f\t%.1f\t%.2f\t%s", s.Experiment, s.Policy, s.Seed, s.Offered,
				s.Share(), s.Worst(), s.Millis(50), s.Millis(99), s.Fetches(), s.Busiest, what)
			if after > 0 {
				fmt.Fprintf(table, "\t%.2f", s.FetchRatio(after, span))
			}
			if s.Sick.Silent > 0 {
				shots, trials, longest, mean := s.AtSilent()
				fmt.Fprintf(table, "\tat a silent cache %.2f shots/s, %.2f trials/s, back with all after %.2f s, mean %.2f s", shots, trials, longest, mean)
			}
			if s.Use != nil {
				fmt.Fprint(table, "\t"+s.Use.Line(e))
				if err := s.Use.Write(uses, e); err != nil {
					return err
				}
			}
			fmt.Fprintln(table)
			if err := s.Write(&points); err != nil {
				return err
			}
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if out != "" {
		if err := os.WriteFile(out, []byte(points.String()), 0o644); err != nil {
			return err
		}
	}
	if uses.Flush(); parts != "" {
		if err := os.WriteFile(parts, []byte(use.String()), 0o644); err != nil {
			return err
		}
	}
	if len(broken) > 0 {
		return fmt.Errorf("the module breaks rules:\n%s", strings.Join(broken, "\n"))
	}
	return nil
}
