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

// emulateCommand returns the command that runs experiments in simulated time.
func emulateCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "emulate FILE...",
		Short: "Run experiments in simulated time, under the router's policy (ranges) and baseline policies",
		Long: "Run the experiments that the files describe, in simulated time. Each experiment runs under each of its policies, once\n" +
			"for each of --seeds consecutive seeds that start at its own. The results are emulated: docs/emulator.md lists what is\n" +
			"not simulated. The exit status is 1 if a run of the policy ranges breaks a rule.",
		Args: cobra.MinimumNArgs(1),
	}
	seeds := c.Flags().Int("seeds", 1, "number of consecutive seeds, starting at the experiment's own")
	policies := c.Flags().StringSlice("policy", nil, "policies to run instead of the experiment's own")
	pointsFile := c.Flags().String("out", "", "file to write the points of each second to, as comma-separated values")
	budgetsFile := c.Flags().String("budgets", "", "file to write the use of the fleets' budgets in each second to, as comma-separated values")
	checkOnly := c.Flags().Bool("check", false, "only check the descriptions, and run nothing")
	afterSeconds := c.Flags().Int("after", 0, "also print the fetches of the busiest --span seconds after this second, relative to the mean before it")
	spanSeconds := c.Flags().Int("span", 10, "length in seconds of the intervals that --after compares")
	c.RunE = func(cmd *cobra.Command, files []string) error {
		if *seeds < 1 {
			return fmt.Errorf("seeds: expected 1 or more, not %d", *seeds)
		}
		var experiments []*simulation.Experiment
		for _, file := range files {
			fileExperiments, err := simulation.ReadFile(file)
			if err != nil {
				return err
			}
			for _, e := range fileExperiments {
				if len(*policies) > 0 {
					e.Policies = *policies
				}
			}
			experiments = append(experiments, fileExperiments...)
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

// runPoliciesAndSeeds runs an experiment under each of its policies with each of the consecutive seeds that start at its own. It runs
// as many at a time as e.MaxConcurrentRuns allows, which bounds the memory that they use. The results are ordered by policy, then by seed.
func runPoliciesAndSeeds(e *simulation.Experiment, seeds int) ([]*simulation.Result, []error) {
	runs := make([]*simulation.Result, len(e.Policies)*seeds)
	var wg sync.WaitGroup
	errs, slots := make([]error, len(runs)), make(chan struct{}, e.MaxConcurrentRuns())
	for i := range runs {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			runs[i], errs[i] = simulation.Run(e, e.Policies[i/seeds], e.Seed+uint64(i%seeds))
		})
	}
	wg.Wait()
	return runs, errs
}

// runExperiments runs each experiment under its policies and seeds, and prints a table with one line for each run. It writes
// the results of each second (points) to pointsFile, and the use of budgets in each second to budgetsFile; if a path is empty, it
// does not write that file. If afterSeconds is above 0, the table has a column that compares fetches after and before that second, over
// intervals of spanSeconds. If runs of the policy ranges break rules, the error describes the violations. Runs of other policies may
// break rules.
func runExperiments(cmd *cobra.Command, experiments []*simulation.Experiment, seeds int, pointsFile, budgetsFile string,
	afterSeconds, spanSeconds int,
) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	header := "experiment\tpolicy\tseed\trequests\tin time\tworst 10 s\tp50 ms\tp99 ms\tfetches/s\tbusiest\tbroken"
	if afterSeconds > 0 {
		header += fmt.Sprintf("\tfetches after %d s", afterSeconds)
	}
	fmt.Fprintln(table, header)
	var violations []string
	var points strings.Builder
	pointsWriter := csv.NewWriter(&points)
	_ = pointsWriter.Write(simulation.PointsHeader) // a write to memory doesn't fail
	pointsWriter.Flush()
	var budgetUse strings.Builder
	budgetWriter := csv.NewWriter(&budgetUse)
	_ = budgetWriter.Write(simulation.BudgetUsageHeader) // a write to memory doesn't fail
	for _, e := range experiments {
		runs, errs := runPoliciesAndSeeds(e, seeds)
		for i, s := range runs {
			if errs[i] != nil {
				return errs[i]
			}
			brokenRules := "-"
			if len(s.ViolationCounts) > 0 {
				brokenRules = fmt.Sprint(s.ViolationCounts)
				if s.Policy == "ranges" {
					violations = append(violations, s.Violations...)
				}
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.4f\t%.4f\t%.1f\t%.1f\t%.1f\t%.2f\t%s", s.Experiment, s.Policy, s.Seed, s.OfferedRequests,
				s.InTimeShare(), s.WorstInTimeShare(), s.LatencyMilliseconds(50), s.LatencyMilliseconds(99), s.FetchesPerSecond(), s.BusiestCacheRatio, brokenRules)
			if afterSeconds > 0 {
				fmt.Fprintf(table, "\t%.2f", s.PeakFetchRatio(afterSeconds, spanSeconds))
			}
			if s.SilenceStats.SilentSeconds > 0 {
				attemptRate, probeRate, maxDelay, meanDelay := s.SilenceSummary()
				fmt.Fprintf(table, "\tat a silent cache %.2f shots/s, %.2f trials/s, back with all after %.2f s, mean %.2f s",
					attemptRate, probeRate, maxDelay, meanDelay)
			}
			if s.BudgetUsage != nil {
				fmt.Fprint(table, "\t"+s.BudgetUsage.Summary(e))
				if err := s.BudgetUsage.WriteCSV(budgetWriter, e); err != nil {
					return err
				}
			}
			fmt.Fprintln(table)
			if err := s.WritePoints(&points); err != nil {
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
		return fmt.Errorf("runs of the policy ranges break rules:\n%s", strings.Join(violations, "\n"))
	}
	return nil
}
