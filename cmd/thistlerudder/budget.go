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

// budgetCommand returns the commands for operators of the cluster's budgets.
func budgetCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{Use: "budget", Short: "Show and change the fleet's budgets and how they are divided among nodes: docs/budgets.md"}
	c.AddCommand(budgetListCommand(configFile), budgetShowCommand(configFile), budgetSetCommand(configFile))
	return c
}

func budgetListCommand(configFile *string) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the budgets and how much of each is allocated", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withStatus(cmd, *configFile, false, func(s cluster.Status) error {
				table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				fmt.Fprintln(table, "budget\tbounds\twhole\tgiven\tfree\treserve\tapart for each\twanted\tnodes\trevision")
				for _, name := range slices.Sorted(maps.Keys(s.Budgets)) {
					b := s.Budgets[name]
					format := func(units int) string { return formatAmount(b.BudgetConfig, units) }
					unallocated := max(0, b.Allocatable()-b.Allocated())
					fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", name, b.Resource, format(b.Units), format(b.Allocated()), format(unallocated),
						format(b.Reserve), format(b.ReservedPerNode), format(b.Demand), len(b.Quotas), b.Revision)
				}
				return table.Flush()
			})
		}}
}

func budgetShowCommand(configFile *string) *cobra.Command {
	return &cobra.Command{Use: "show NAME", Short: "Show the quotas of one budget, and when they end", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStatus(cmd, *configFile, false, func(s cluster.Status) error {
				b, exists := s.Budgets[args[0]]
				if !exists {
					return fmt.Errorf("no budget %q: expected one of %v", args[0], slices.Sorted(maps.Keys(s.Budgets)))
				}
				remainingTimes := map[string]time.Duration{}
				for _, l := range s.Leases {
					remainingTimes[l.Name] = time.Duration(l.RemainingMs) * time.Millisecond
				}
				cmd.Printf("%s bounds %s: %s in %d units, %d given, %d apart for each of %d nodes\n", args[0], b.Resource, formatAmount(b.BudgetConfig, b.Units),
					b.Units, b.Allocated(), b.ReservedPerNode, b.MaxNodes)
				table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				fmt.Fprintln(table, "lease\tpart\ttoken\tends within")
				for _, name := range slices.Sorted(maps.Keys(b.Quotas)) {
					fmt.Fprintf(table, "%s\t%s\t%d\t%v\n", name, formatAmount(b.BudgetConfig, b.Quotas[name].Units), b.Quotas[name].Token, remainingTimes[name])
				}
				return table.Flush()
			})
		}}
}

func budgetSetCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{Use: "set NAME WHOLE", Args: cobra.ExactArgs(2), Short: "Change the limit of a budget",
		Long: "Change the limit of a budget. The new limit applies to allocations at once. If it is lower, no quota grows until nodes have\n" +
			"returned enough units: connected nodes do so within a fraction of a second, the quotas of others end with their leases.\n" +
			"The units that are reserved for disconnected nodes stay as configured. The burst of a rate changes with its limit."}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		limit, err := strconv.ParseFloat(args[1], 64)
		if err != nil || !(limit > 0) {
			return fmt.Errorf("WHOLE: expected a number above 0, not %q", args[1])
		}
		client, settings, err := clusterClient(*configFile)
		if err != nil {
			return err
		}
		defer client.Close()
		b, err := client.SetLimit(args[0], limit)
		if err != nil {
			return err
		}
		cmd.Printf("%s is %s now, revision %d\n", args[0], formatAmount(b.BudgetConfig, b.Units), b.Revision)
		if excess := b.Allocated() - b.Allocatable(); excess > 0 {
			deadline := time.Now().Add(settings.Lease + time.Duration(settings.MaxDrift*float64(settings.Lease)))
			cmd.Printf("%s of what is out have to come back until this holds: by %s at the latest\n", formatAmount(b.BudgetConfig, excess), deadline.Format(time.TimeOnly))
		}
		return nil
	}
	return c
}

// formatAmount formats a number of units as the budget's limit is given: as a number of requests in flight, or as a rate per second.
func formatAmount(config lease.BudgetConfig, units int) string {
	if config.Kind == lease.BudgetKindConcurrency {
		return strconv.Itoa(units)
	}
	return fmt.Sprintf("%.4g/s", config.RatePerUnit*float64(units))
}
