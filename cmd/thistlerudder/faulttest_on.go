//go:build faults

package main

import (
	"context"
	"fmt"
	"maps"
	"math"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/faulttest"
)

// faultTestCommands returns the commands of the test rig.
func faultTestCommands() []*cobra.Command {
	c := &cobra.Command{Use: "trial", Short: "Run clusters under faults and check them"}
	c.AddCommand(newTrialCommand(&leaseTrials), newTrialCommand(&budgetTrials), newMeasureCommand(), newScaleCommand(), newSoakCommand(), newHollowNodesCommand(), newDiscoveryCommand())
	return []*cobra.Command{c}
}

// newMeasureCommand returns the command that measures the cost of a cluster without faults.
func newMeasureCommand() *cobra.Command {
	c := &cobra.Command{Use: "measure", Args: cobra.NoArgs, Short: "Measure the cost of a cluster without faults"}
	processes := c.Flags().Int("processes", 6, "number of processes; 3 are voters, and the last runs without the cluster")
	span := c.Flags().Duration("for", 20*time.Second, "duration of the measurement")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		program, err := os.Executable()
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		cost, err := faulttest.Measure(ctx, faulttest.Plan{Program: program, Nodes: max(4, *processes), Seed: 1}, *span)
		if err != nil {
			return err
		}
		cmd.Printf("%d lookups in turn; with a fleet %v, without %v; a voter's folder grows by %d KB an hour\n", cost.Lookups, cost.VoterLatency, cost.StandaloneLatency,
			cost.FolderBytesPerHour>>10)
		for _, name := range slices.Sorted(maps.Keys(cost.CoreShares)) {
			cmd.Printf("%s: %.1f%% of a core\n", name, 100*cost.CoreShares[name])
		}
		return nil
	}
	return c
}

const maxAttempts = 3 // of a run, while it is inconclusive

// trialKind is a kind of test run.
type trialKind struct {
	name, short string
	faults      func() []faulttest.FaultInfo
	safeguards  []string
	run         func(context.Context, faulttest.Plan) (faulttest.RunResult, error)
	coresPerRun int // that a run of five processes needs; with fewer, processes are delayed and runs become inconclusive
}

var (
	leaseTrials = trialKind{"leases", "Check leases under faults; exit 0 only if every run keeps the rules", faulttest.LeaseFaults, faults.Safeguards,
		faulttest.RunLeases, 2}
	budgetTrials = trialKind{"budgets", "Check budgets under faults; exit 0 only if no run exceeds a budget in any window", faulttest.BudgetFaults,
		faults.BudgetSafeguards, faulttest.RunBudgets, 3}
)

// newTrialCommand returns the command for a kind of test run.
func newTrialCommand(kind *trialKind) *cobra.Command {
	c := &cobra.Command{Use: kind.name, Args: cobra.NoArgs, Short: kind.short}
	seeds := c.Flags().String("seeds", "1-20", "FROM-TO")
	processes := c.Flags().Int("processes", 5, "number of processes; 3 are voters")
	without := c.Flags().String("without", "", "a safeguard to disable; some runs should then fail")
	only := c.Flags().String("only", "", "the only fault to inject")
	keep := c.Flags().String("keep", "", "a folder for the histories of failed runs")
	list := c.Flags().Bool("list", false, "list the faults and the safeguards")
	jobs := c.Flags().Int("jobs", 0, "number of concurrent runs; 0: depends on the number of cores")
	first := c.Flags().Bool("first", false, "stop at the first run that breaks a rule")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		knownFaults := kind.faults()
		if *list {
			for _, f := range knownFaults {
				cmd.Printf("fault %s: %s\n", f.Name, f.Description)
			}
			for _, s := range kind.safeguards {
				cmd.Printf("safeguard %s\n", s)
			}
			return nil
		}
		from, to, err := parseSeedRange(*seeds)
		if err != nil {
			return err
		}
		switch {
		case *processes < 3 || *processes > 60:
			return fmt.Errorf("processes: expected 3 to 60, not %d", *processes)
		case *without != "" && !slices.Contains(kind.safeguards, *without):
			return fmt.Errorf("without: expected one of %v, not %q", kind.safeguards, *without)
		case *only != "" && !slices.ContainsFunc(knownFaults, func(f faulttest.FaultInfo) bool { return f.Name == *only }):
			return fmt.Errorf("only: expected a fault that --list names, not %q", *only)
		}
		program, err := os.Executable()
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		return runTrials(ctx, cmd, kind, faulttest.Plan{Program: program, Nodes: *processes, DisabledSafeguard: *without, OnlyFault: *only, KeepDir: *keep},
			from, to, *jobs, *first)
	}
	return c
}

// parseSeedRange parses a range of seeds, FROM-TO, or a single seed.
func parseSeedRange(s string) (from, to uint64, err error) {
	first, last, found := strings.Cut(s, "-")
	if !found {
		last = first
	}
	from, err1 := strconv.ParseUint(first, 10, 64)
	to, err2 := strconv.ParseUint(last, 10, 64)
	if err1 != nil || err2 != nil || to < from {
		return 0, 0, fmt.Errorf("seeds: expected FROM-TO, such as 1-20, not %q", s)
	}
	return from, to, nil
}

// trialSummary adds up the results of all runs.
type trialSummary struct {
	runs, voidRuns                               int
	actions                                      int
	fencingViolations, overlaps, excusedOverlaps int
	lookups, unservedLookups                     int64
	faultCounts                                  map[string]int
	failoverTimes                                []time.Duration
	failoverTimesByFault                         map[string][]time.Duration
	windows                                      int
	peakShares                                   map[string]float64 // by budget; the highest of all runs
	utilization                                  map[string]float64 // by budget; the sum of all runs
	failures                                     []string           // a message for each failed run
}

func newTrialSummary() *trialSummary {
	return &trialSummary{faultCounts: map[string]int{}, failoverTimesByFault: map[string][]time.Duration{}, peakShares: map[string]float64{},
		utilization: map[string]float64{}}
}

// add adds the figures of a run. It doesn't look at the run's outcome.
func (s *trialSummary) add(r *faulttest.RunResult) {
	s.runs++
	s.actions += r.Actions
	s.fencingViolations += r.FencingViolations
	s.overlaps += r.Overlaps
	s.excusedOverlaps += r.ExcusedOverlaps
	s.lookups += r.Lookups
	s.unservedLookups += r.UnservedLookups
	for fault, n := range r.InjectedFaults {
		s.faultCounts[fault] += n
	}
	s.windows += r.Windows
	for budget, share := range r.PeakShares {
		s.peakShares[budget] = max(s.peakShares[budget], share)
		s.utilization[budget] += r.Utilization[budget]
	}
	for fault, times := range r.FailoverTimes {
		s.failoverTimesByFault[fault] = append(s.failoverTimesByFault[fault], times...)
		s.failoverTimes = append(s.failoverTimes, times...)
	}
}

// print prints the figures of all runs.
func (s *trialSummary) print(cmd *cobra.Command) {
	for _, fault := range slices.Sorted(maps.Keys(s.failoverTimesByFault)) {
		times := s.failoverTimesByFault[fault]
		slices.Sort(times)
		cmd.Printf("handed on after %s: %d times, p50 %v, p99 %v\n", fault, len(times), percentile(times, 50), percentile(times, 99))
	}
	slices.Sort(s.failoverTimes)
	var faults []string
	for _, fault := range slices.Sorted(maps.Keys(s.faultCounts)) {
		faults = append(faults, fmt.Sprintf("%s %d", fault, s.faultCounts[fault]))
	}
	cmd.Printf("runs %d, void %d, failed %d, acts %d, faults: %s; lookups %d, unserved by a running node %d; ", s.runs, s.voidRuns, len(s.failures), s.actions,
		strings.Join(faults, ", "), s.lookups, s.unservedLookups)
	if len(s.peakShares) == 0 {
		cmd.Printf("overlaps at a door %d, overlaps outside %d (excused %d), worst handing on %v\n", s.fencingViolations, s.overlaps,
			s.excusedOverlaps, percentile(s.failoverTimes, 100))
		return
	}
	shares := ""
	for _, budget := range slices.Sorted(maps.Keys(s.peakShares)) {
		shares += fmt.Sprintf(", %s %.2f (%.2f of it used in the mean)", budget, s.peakShares[budget], s.utilization[budget]/float64(s.runs))
	}
	cmd.Printf("windows judged %d, the fullest as a share of its bound%s\n", s.windows, strings.Replace(shares, ",", ":", 1))
}

// rerunCommand returns the command line that repeats the run of a seed.
func rerunCommand(kind *trialKind, plan *faulttest.Plan, seed uint64) string {
	command := fmt.Sprintf("thistlerudder trial %s --seeds %d --processes %d", kind.name, seed, plan.Nodes)
	for flag, v := range map[string]string{"without": plan.DisabledSafeguard, "only": plan.OnlyFault} {
		if v != "" {
			command += " --" + flag + " " + v
		}
	}
	return command
}

// runTrials runs the test once for each seed in [from, to], up to jobs runs at a time, and prints a summary. With first, it stops at
// the first failed run.
func runTrials(ctx context.Context, cmd *cobra.Command, kind *trialKind, plan faulttest.Plan, from, to uint64, jobs int, first bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if jobs <= 0 {
		jobs = max(1, availableCores()*5/(kind.coresPerRun*plan.Nodes))
	}
	_, err := unix.IoctlGetTermios(int(os.Stderr.Fd()), unix.TCGETS)
	terminal := err == nil
	var mu sync.Mutex
	s := newTrialSummary()
	slots := make(chan int, jobs)
	for i := range jobs {
		slots <- i
	}
	var running sync.WaitGroup
	for seed := from; seed <= to && ctx.Err() == nil; seed++ {
		slot := <-slots
		running.Go(func() {
			defer func() { slots <- slot }()
			p := plan
			p.Seed, p.Slot = seed, slot
			var r faulttest.RunResult
			var err error
			for range maxAttempts {
				if r, err = kind.run(ctx, p); err != nil || r.VoidReason == "" {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if ctx.Err() != nil {
				return
			}
			s.add(&r)
			failure := ""
			switch {
			case err != nil:
				failure = err.Error()
			case len(r.Violations) > 0:
				failure = strings.Join(r.Violations, "; ")
			case r.VoidReason != "":
				s.voidRuns++
				cmd.PrintErrf("seed %d: void: %s\n", seed, r.VoidReason)
			}
			if failure != "" {
				s.failures = append(s.failures, fmt.Sprintf("seed %d: %s\n  again: %s; history: %s", seed, failure, rerunCommand(kind, &plan, seed), r.HistoryDir))
				if first {
					cancel()
				}
			}
			if terminal {
				cmd.PrintErrf("\r%d of %d runs, %d failed, %d void ", s.runs, to-from+1, len(s.failures), s.voidRuns)
			}
		})
	}
	running.Wait()
	if terminal {
		cmd.PrintErrln()
	}
	for _, f := range s.failures {
		cmd.PrintErrln(f)
	}
	s.print(cmd)
	switch {
	case len(s.failures) > 0:
		return fmt.Errorf("%d runs broke a rule", len(s.failures))
	case ctx.Err() != nil:
		return fmt.Errorf("canceled before all runs were finished")
	case s.voidRuns > 0:
		return fmt.Errorf("%d runs are inconclusive: too few cores", s.voidRuns)
	}
	return nil
}

// percentile returns a percentile of sorted durations, rounded to milliseconds, or 0 if there are none.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, int(math.Ceil(float64(len(sorted))*p/100))-1)].Round(time.Millisecond)
}

// availableCores returns the number of cores that this process may run on.
func availableCores() int {
	var set unix.CPUSet
	if unix.SchedGetaffinity(0, &set) != nil {
		return 1
	}
	return set.Count()
}
