package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
)

// leaseCommand returns the commands for operators of leases.
func leaseCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{Use: "lease", Short: "Show and release leases, and run a job on one machine of the fleet at a time"}
	c.AddCommand(leaseListCommand(configFile), leaseShowCommand(configFile), leaseReleaseCommand(configFile), leaseRunCommand(configFile))
	return c
}

func leaseListCommand(configFile *string) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the leases and their holders", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withStatus(cmd, *configFile, false, func(status cluster.Status) error {
				table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				fmt.Fprintln(table, "lease\tholder\ttoken\tleft\twaiting")
				for _, l := range status.Leases {
					fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%d\n", l.Name, l.Holder, l.Token, remainingTime(l), l.Waiting)
				}
				return table.Flush()
			})
		}}
}

func remainingTime(l cluster.LeaseStatus) time.Duration {
	return time.Duration(l.RemainingMs) * time.Millisecond
}

func leaseShowCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{Use: "show NAME", Short: "Show one lease and the effects recorded under it", Args: cobra.ExactArgs(1)}
	watch := c.Flags().Bool("watch", false, "keep watching, and print again at each change of the holder")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		name := args[0]
		previousLine := ""
		return withStatus(cmd, *configFile, *watch, func(status cluster.Status) error {
			index := slices.IndexFunc(status.Leases, func(l cluster.LeaseStatus) bool { return l.Name == name })
			line := name + " is free"
			if index >= 0 {
				line = fmt.Sprintf("%s is held by %s with token %d", name, status.Leases[index].Holder, status.Leases[index].Token)
			}
			if line == previousLine {
				return nil
			}
			previousLine = line
			if index >= 0 && status.Leases[index].RemainingMs >= 0 {
				cmd.Printf("%s, for %v yet; %d wait\n", line, remainingTime(status.Leases[index]), status.Leases[index].Waiting)
			} else {
				cmd.Println(line)
			}
			printEffects(cmd, name, status)
			return nil
		})
	}
	return c
}

// printEffects prints the effects recorded under a lease: those with the lease's name, or with that name and a slash as prefix.
func printEffects(cmd *cobra.Command, lease string, status cluster.Status) {
	for _, name := range slices.Sorted(maps.Keys(status.Effects)) {
		if name == lease || strings.HasPrefix(name, lease+"/") {
			e := status.Effects[name]
			cmd.Printf("fact %s: number %d, by token %d, %d bytes\n", name, e.Number, e.Token, len(e.Value))
		}
	}
}

func leaseReleaseCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{Use: "release NAME", Args: cobra.ExactArgs(1),
		Short: "Revoke a lease from its holder, which may not notice before its next act",
		Long: "Revoke a lease from its holder. From then on the fleet refuses the holder's acts, and a resource that checks fencing tokens\n" +
			"refuses the holder's token once it has seen a later one. Anything else that the holder does continues until it notices:\n" +
			"for a third of the lease's duration at most, or longer if its process is suspended."}
	token := c.Flags().Uint64("token", 0, "fencing token of the grant to revoke, as \"lease show\" prints it")
	_ = c.MarkFlagRequired("token")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		client, _, err := clusterClient(*configFile)
		if err != nil {
			return err
		}
		defer client.Close()
		if err := client.Release(args[0], *token); err != nil {
			return fmt.Errorf("%s with token %d: %w", args[0], *token, err)
		}
		cmd.Printf("%s is released\n", args[0])
		return nil
	}
	return c
}
