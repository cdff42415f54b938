package main

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/lease"
)

// budgetCommand is for operators of the cluster's budgets.
func budgetCommand(file *string) *cobra.Command {
	c := &cobra.Command{Use: "budget", Short: "See what the fleet may do together and how it is divided, and change it: docs/budgets.md"}
	c.AddCommand(budgetList(file), budgetShow(file), budgetSet(file))
	return c
}

func budgetList(file *string) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Say how each budget stands", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withStatus(cmd, *file, false, func(s cluster.Status) error {
				w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "budget\tbounds\twhole\tgiven\tfree\treserve\tapart for each\twanted\tnodes\trevision")
				for _, name := range slices.Sorted(maps.Keys(s.Budgets)) {
					b := s.Budgets[name]
					units := func(n int) string { return amount(b.BudgetConfig, n) }
					free := max(0, b.Allocatable()-b.Allocated())
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", name, b.Resource, units(b.Units), units(b.Allocated()), units(free),
						units(b.Reserve), units(b.ReservedPerNode), units(b.Demand), len(b.Quotas), b.Revision)
				}
				return w.Flush()
			})
		}}
}

func budgetShow(file *string) *cobra.Command {
	return &cobra.Command{Use: "show NAME", Short: "Say who has which part of one, and until when", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStatus(cmd, *file, false, func(s cluster.Status) error {
				b, known := s.Budgets[args[0]]
				if !known {
					return fmt.Errorf("no budget %q: expected one of %v", args[0], slices.Sorted(maps.Keys(s.Budgets)))
				}
				ends := map[string]time.Duration{}
				for _, l := range s.Leases {
					ends[l.Name] = time.Duration(l.RemainingMs) * time.Millisecond
				}
				cmd.Printf("%s bounds %s: %s in %d units, %d given, %d apart for each of %d nodes\n", args[0], b.Resource, amount(b.BudgetConfig, b.Units),
					b.Units, b.Allocated(), b.ReservedPerNode, b.MaxNodes)
				w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "lease\tpart\ttoken\tends within")
				for _, name := range slices.Sorted(maps.Keys(b.Quotas)) {
					fmt.Fprintf(w, "%s\t%s\t%d\t%v\n", name, amount(b.BudgetConfig, b.Quotas[name].Units), b.Quotas[name].Token, ends[name])
				}
				return w.Flush()
			})
		}}
}

func budgetSet(file *string) *cobra.Command {
	c := &cobra.Command{Use: "set NAME WHOLE", Args: cobra.ExactArgs(2), Short: "Change how much the fleet may do together",
		Long: "Change how much the fleet may do together. What is divided changes at once; where the whole is lowered, nothing more is given\n" +
			"until enough has come back: from nodes in touch within a fraction of a second, from others once their leases have ended.\n" +
			"What is apart for nodes that are cut off stays as it was declared. A rate's burst changes with it."}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		whole, err := strconv.ParseFloat(args[1], 64)
		if err != nil || !(whole > 0) {
			return fmt.Errorf("WHOLE: expected a number above 0, not %q", args[1])
		}
		client, f, err := clusterClient(*file)
		if err != nil {
			return err
		}
		defer client.Close()
		b, err := client.SetLimit(args[0], whole)
		if err != nil {
			return err
		}
		cmd.Printf("%s is %s now, revision %d\n", args[0], amount(b.BudgetConfig, b.Units), b.Revision)
		if over := b.Allocated() - b.Allocatable(); over > 0 {
			by := time.Now().Add(f.Lease + time.Duration(f.MaxDrift*float64(f.Lease)))
			cmd.Printf("%s of what is out have to come back until this holds: by %s at the latest\n", amount(b.BudgetConfig, over), by.Format(time.TimeOnly))
		}
		return nil
	}
	return c
}

// amount formats units of a budget: a number, or a rate per second.
func amount(t lease.BudgetConfig, units int) string {
	if t.Kind == lease.BudgetKindConcurrency {
		return strconv.Itoa(units)
	}
	return fmt.Sprintf("%.4g/s", t.RatePerUnit*float64(units))
}
