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

// leaseCommand is for operators of leases.
func leaseCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{Use: "lease", Short: "See and release leases, and run a job on one machine of the fleet at a time"}
	c.AddCommand(leaseListCommand(configFile), leaseShowCommand(configFile), leaseReleaseCommand(configFile), leaseRunCommand(configFile))
	return c
}

func leaseListCommand(configFile *string) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Say who holds what", Args: cobra.NoArgs,
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
	c := &cobra.Command{Use: "show NAME", Short: "Say all that is known of one", Args: cobra.ExactArgs(1)}
	watch := c.Flags().Bool("watch", false, "go on, and say it again whenever the holder has changed")
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

// printEffects prints the effects that were made under a lease: of its own name and of names below it.
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
		Short: "Take a lease from its holder, who may not notice before it acts next",
		Long: "Take a lease from its holder. Acts inside the fleet are refused from then on, and so is what carries its token to\n" +
			"where tokens are looked at; anything else that the holder is doing goes on until it notices, a third of a lease at most\n" +
			"and longer if it stands still."}
	token := c.Flags().Uint64("token", 0, "of the holding that is meant, as `lease show` tells it")
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
