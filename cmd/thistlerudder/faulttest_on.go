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

// faultTests gives the rig's commands.
func faultTests() []*cobra.Command {
	c := &cobra.Command{Use: "trial", Short: "Play processes under faults, and judge them"}
	c.AddCommand(trialOf(&leaseTrial), trialOf(&budgetTrial), trialMeasure(), trialScale(), trialSoak(), hollowNodes(), directory())
	return []*cobra.Command{c}
}

// trialMeasure tells what a fleet in peace costs.
func trialMeasure() *cobra.Command {
	c := &cobra.Command{Use: "measure", Args: cobra.NoArgs, Short: "Say what a fleet in peace costs its nodes"}
	processes := c.Flags().Int("processes", 6, "how many, 3 of them voters, the last without a fleet")
	span := c.Flags().Duration("for", 20*time.Second, "how long")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		program, err := os.Executable()
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		m, err := faulttest.Measure(ctx, faulttest.Plan{Program: program, Processes: max(4, *processes), Seed: 1}, *span)
		if err != nil {
			return err
		}
		cmd.Printf("%d lookups in turn; with a fleet %v, without %v; a voter's folder grows by %d KB an hour\n", m.Lookups, m.With, m.Without,
			m.GrowthAnHour>>10)
		for _, name := range slices.Sorted(maps.Keys(m.CPU)) {
			cmd.Printf("%s: %.1f%% of a core\n", name, 100*m.CPU[name])
		}
		return nil
	}
	return c
}

const triesMost = 3 // for a run that was void

// played is a kind of trial.
type played struct {
	name, short string
	kinds       func() [][2]string
	safeguards  []string
	play        func(context.Context, faulttest.Plan) (faulttest.Run, error)
	coresEach   int // for a run of five processes; more at once make them late
}

var (
	leaseTrial = played{"leases", "Play leases under faults; exit 0 only if every run kept the rules", faulttest.FaultKinds, faults.Safeguards,
		faulttest.Play, 2}
	budgetTrial = played{"budgets", "Play budgets under faults; exit 0 only if no window of any run passed a whole", faulttest.BudgetKinds,
		faults.BudgetSafeguards, faulttest.PlayBudgets, 3}
)

func trialOf(of *played) *cobra.Command {
	c := &cobra.Command{Use: of.name, Args: cobra.NoArgs, Short: of.short}
	seeds := c.Flags().String("seeds", "1-20", "FROM-TO")
	processes := c.Flags().Int("processes", 5, "how many, 3 of them voters")
	without := c.Flags().String("without", "", "a safeguard to take out: the runs should then fail")
	only := c.Flags().String("only", "", "one kind of fault")
	keep := c.Flags().String("keep", "", "a folder for the histories of runs that failed")
	list := c.Flags().Bool("list", false, "name the faults and the safeguards")
	jobs := c.Flags().Int("jobs", 0, "runs at once; 0: by the cores")
	first := c.Flags().Bool("first", false, "end at the first run that breaks a rule")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		kinds := of.kinds()
		if *list {
			for _, k := range kinds {
				cmd.Printf("fault %s: %s\n", k[0], k[1])
			}
			for _, s := range of.safeguards {
				cmd.Printf("safeguard %s\n", s)
			}
			return nil
		}
		from, to, err := seedsOf(*seeds)
		if err != nil {
			return err
		}
		switch {
		case *processes < 3 || *processes > 60:
			return fmt.Errorf("processes: expected 3 to 60, not %d", *processes)
		case *without != "" && !slices.Contains(of.safeguards, *without):
			return fmt.Errorf("without: expected one of %v, not %q", of.safeguards, *without)
		case *only != "" && !slices.ContainsFunc(kinds, func(k [2]string) bool { return k[0] == *only }):
			return fmt.Errorf("only: expected a fault as --list names them, not %q", *only)
		}
		program, err := os.Executable()
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		return trial(ctx, cmd, of, faulttest.Plan{Program: program, Processes: *processes, Without: *without, Only: *only, Keep: *keep},
			from, to, *jobs, *first)
	}
	return c
}

func seedsOf(s string) (from, to uint64, err error) {
	a, b, two := strings.Cut(s, "-")
	if !two {
		b = a
	}
	from, err1 := strconv.ParseUint(a, 10, 64)
	to, err2 := strconv.ParseUint(b, 10, 64)
	if err1 != nil || err2 != nil || to < from {
		return 0, 0, fmt.Errorf("seeds: expected FROM-TO as 1-20, not %q", s)
	}
	return from, to, nil
}

func trial(ctx context.Context, cmd *cobra.Command, of *played, plan faulttest.Plan, from, to uint64, jobs int, first bool) error {
	ctx, enough := context.WithCancel(ctx)
	defer enough()
	if jobs <= 0 {
		jobs = max(1, unixCores()*5/(of.coresEach*plan.Processes))
	}
	_, err := unix.IoctlGetTermios(int(os.Stderr.Fd()), unix.TCGETS)
	terminal := err == nil
	var mu sync.Mutex
	var failed []string
	var handings []time.Duration
	runs, void, acts, door, outside, excused := 0, 0, 0, 0, 0, 0
	asked, unserved := int64(0), int64(0)
	struck := map[string]int{}
	by := map[string][]time.Duration{}
	windows, worst, used := 0, map[string]float64{}, map[string]float64{}
	places := make(chan int, jobs)
	for i := range jobs {
		places <- i
	}
	var all sync.WaitGroup
	for seed := from; seed <= to && ctx.Err() == nil; seed++ {
		slot := <-places
		all.Go(func() {
			defer func() { places <- slot }()
			p := plan
			p.Seed, p.Slot = seed, slot
			var r faulttest.Run
			var err error
			for range triesMost {
				if r, err = of.play(ctx, p); err != nil || r.Void == "" {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if ctx.Err() != nil {
				return
			}
			runs++
			acts, door, outside, excused = acts+r.Acts, door+r.Door, outside+r.Outside, excused+r.Excused
			asked, unserved = asked+r.Asked, unserved+r.Unserved
			for k, n := range r.Faults {
				struck[k] += n
			}
			windows += r.Windows
			for k, share := range r.Worst {
				worst[k] = max(worst[k], share)
				used[k] += r.Used[k]
			}
			for k, ds := range r.Handings {
				by[k] = append(by[k], ds...)
				handings = append(handings, ds...)
			}
			what := ""
			switch {
			case err != nil:
				what = err.Error()
			case len(r.Broken) > 0:
				what = strings.Join(r.Broken, "; ")
			case r.Void != "":
				void++
				cmd.PrintErrf("seed %d: void: %s\n", seed, r.Void)
			}
			if what != "" {
				again := fmt.Sprintf("thistlerudder trial %s --seeds %d --processes %d", of.name, seed, plan.Processes)
				for flag, v := range map[string]string{"without": plan.Without, "only": plan.Only} {
					if v != "" {
						again += " --" + flag + " " + v
					}
				}
				failed = append(failed, fmt.Sprintf("seed %d: %s\n  again: %s; history: %s", seed, what, again, r.Kept))
				if first {
					enough()
				}
			}
			if terminal {
				cmd.PrintErrf("\r%d of %d runs, %d failed, %d void ", runs, to-from+1, len(failed), void)
			}
		})
	}
	all.Wait()
	if terminal {
		cmd.PrintErrln()
	}
	for _, f := range failed {
		cmd.PrintErrln(f)
	}
	for _, k := range slices.Sorted(maps.Keys(by)) {
		slices.Sort(by[k])
		cmd.Printf("handed on after %s: %d times, p50 %v, p99 %v\n", k, len(by[k]), percentile(by[k], 50), percentile(by[k], 99))
	}
	slices.Sort(handings)
	var kinds []string
	for _, k := range slices.Sorted(maps.Keys(struck)) {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, struck[k]))
	}
	cmd.Printf("runs %d, void %d, failed %d, acts %d, faults: %s; lookups %d, unserved by a running node %d; ", runs, void, len(failed), acts,
		strings.Join(kinds, ", "), asked, unserved)
	if len(worst) == 0 {
		cmd.Printf("overlaps at a door %d, overlaps outside %d (excused %d), worst handing on %v\n", door, outside, excused, percentile(handings, 100))
	} else {
		most := ""
		for _, k := range slices.Sorted(maps.Keys(worst)) {
			most += fmt.Sprintf(", %s %.2f (%.2f of it used in the mean)", k, worst[k], used[k]/float64(runs))
		}
		cmd.Printf("windows judged %d, the fullest as a share of its bound%s\n", windows, strings.Replace(most, ",", ":", 1))
	}
	switch {
	case len(failed) > 0:
		return fmt.Errorf("%d runs broke a rule", len(failed))
	case ctx.Err() != nil:
		return fmt.Errorf("ended before all runs were played")
	case void > 0:
		return fmt.Errorf("%d runs show nothing: too few cores", void)
	}
	return nil
}

// percentile of what is in order.
func percentile(of []time.Duration, p float64) time.Duration {
	if len(of) == 0 {
		return 0
	}
	return of[max(0, int(math.Ceil(float64(len(of))*p/100))-1)].Round(time.Millisecond)
}

func unixCores() int {
	var set unix.CPUSet
	if unix.SchedGetaffinity(0, &set) != nil {
		return 1
	}
	return set.Count()
}
