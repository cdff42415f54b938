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
func emulateCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "emulate FILE...",
		Short: "Play described experiments in simulated time, under the module and plain policies",
		Long: "Play described experiments in simulated time. Each is played under each of its policies, with as many\n" +
			"seeds as --seeds says, from its own on. The figures are emulated: docs/emulator.md says what is left out.\n" +
			"The exit status is 1 if a run of the module breaks a rule.",
		Args: cobra.MinimumNArgs(1),
	}
	seeds := c.Flags().Int("seeds", 1, "how many seeds to play, from the description's on")
	policies := c.Flags().StringSlice("policy", nil, "these policies instead of the description's")
	pointsFile := c.Flags().String("out", "", "a file for the points of each second, as comma-separated values")
	budgetsFile := c.Flags().String("budgets", "", "a file for the use of fleets' budgets in each second, as comma-separated values")
	checkOnly := c.Flags().Bool("check", false, "read the descriptions, and play nothing")
	afterSeconds := c.Flags().Int("after", 0, "also say how far fetches rise after this second")
	spanSeconds := c.Flags().Int("span", 10, "over how many seconds, with --after")
	c.RunE = func(cmd *cobra.Command, files []string) error {
		if *seeds < 1 {
			return fmt.Errorf("seeds: expected 1 or more, not %d", *seeds)
		}
		var experiments []*simulation.Experiment
		for _, file := range files {
			described, err := simulation.Read(file)
			if err != nil {
				return err
			}
			for _, e := range described {
				if len(*policies) > 0 {
					e.Policies = *policies
				}
			}
			experiments = append(experiments, described...)
		}
		for _, policy := range *policies {
			if !slices.Contains(simulation.Policies(), policy) {
				return fmt.Errorf("policy %q: expected one of %v", policy, simulation.Policies())
			}
		}
		if *checkOnly {
			cmd.Printf("%d descriptions are sound\n", len(experiments))
			return nil
		}
		return runExperiments(cmd, experiments, *seeds, *pointsFile, *budgetsFile, *afterSeconds, *spanSeconds)
	}
	return c
}

func runExperiments(cmd *cobra.Command, experiments []*simulation.Experiment, seeds int, pointsFile, budgetsFile string, afterSeconds, spanSeconds int) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	header := "experiment\tpolicy\tseed\trequests\tin time\tworst 10 s\tp50 ms\tp99 ms\tfetches/s\tbusiest\tbroken"
	if afterSeconds > 0 {
		header += fmt.Sprintf("\tfetches after %d s", afterSeconds)
	}
	fmt.Fprintln(table, header)
	var violations []string
	var points strings.Builder
	pointsWriter := csv.NewWriter(&points)
	_ = pointsWriter.Write(simulation.Header) // into memory
	pointsWriter.Flush()
	var budgetUse strings.Builder
	budgetWriter := csv.NewWriter(&budgetUse)
	_ = budgetWriter.Write(simulation.UseHeader) // into memory
	for _, e := range experiments {
		runs := make([]*simulation.Series, len(e.Policies)*seeds)
		var wg sync.WaitGroup
		errs, slots := make([]error, len(runs)), make(chan struct{}, e.AtOnce())
		for i := range runs {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				runs[i], errs[i] = simulation.Run(e, e.Policies[i/seeds], e.Seed+uint64(i%seeds))
			})
		}
		wg.Wait()
		for i, s := range runs {
			if errs[i] != nil {
				return errs[i]
			}
			brokenRules := "-"
			if len(s.Broken) > 0 {
				brokenRules = fmt.Sprint(s.Broken)
				if s.Policy == "ranges" {
					violations = append(violations, s.Faults...)
				}
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.4f\t%.4f\t%.1f\t%.1f\t%.1f\t%.2f\t%s", s.Experiment, s.Policy, s.Seed, s.Offered,
				s.Share(), s.Worst(), s.Millis(50), s.Millis(99), s.Fetches(), s.Busiest, brokenRules)
			if afterSeconds > 0 {
				fmt.Fprintf(table, "\t%.2f", s.FetchRatio(afterSeconds, spanSeconds))
			}
			if s.Sick.Silent > 0 {
				shots, trials, longest, mean := s.AtSilent()
				fmt.Fprintf(table, "\tat a silent cache %.2f shots/s, %.2f trials/s, back with all after %.2f s, mean %.2f s", shots, trials, longest, mean)
			}
			if s.Use != nil {
				fmt.Fprint(table, "\t"+s.Use.Line(e))
				if err := s.Use.Write(budgetWriter, e); err != nil {
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
	if pointsFile != "" {
		if err := os.WriteFile(pointsFile, []byte(points.String()), 0o644); err != nil {
			return err
		}
	}
	if budgetWriter.Flush(); budgetsFile != "" {
		if err := os.WriteFile(budgetsFile, []byte(budgetUse.String()), 0o644); err != nil {
			return err
		}
	}
	if len(violations) > 0 {
		return fmt.Errorf("the module breaks rules:\n%s", strings.Join(violations, "\n"))
	}
	return nil
}
