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
func leaseCommand(file *string) *cobra.Command {
	c := &cobra.Command{Use: "lease", Short: "See and release leases, and run a job on one machine of the fleet at a time"}
	c.AddCommand(leaseList(file), leaseShow(file), leaseRelease(file), leaseRun(file))
	return c
}

func leaseList(file *string) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Say who holds what", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withStatus(cmd, *file, false, func(s cluster.Status) error {
				w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "lease\tholder\ttoken\tleft\twaiting")
				for _, l := range s.Leases {
					fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%d\n", l.Name, l.Holder, l.Token, remaining(l), l.Waiting)
				}
				return w.Flush()
			})
		}}
}

func remaining(l cluster.LeaseStatus) time.Duration {
	return time.Duration(l.RemainingMs) * time.Millisecond
}

func leaseShow(file *string) *cobra.Command {
	c := &cobra.Command{Use: "show NAME", Short: "Say all that is known of one", Args: cobra.ExactArgs(1)}
	watch := c.Flags().Bool("watch", false, "go on, and say it again whenever the holder has changed")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		name := args[0]
		previous := ""
		return withStatus(cmd, *file, *watch, func(s cluster.Status) error {
			at := slices.IndexFunc(s.Leases, func(l cluster.LeaseStatus) bool { return l.Name == name })
			line := name + " is free"
			if at >= 0 {
				line = fmt.Sprintf("%s is held by %s with token %d", name, s.Leases[at].Holder, s.Leases[at].Token)
			}
			if line == previous {
				return nil
			}
			previous = line
			if at >= 0 && s.Leases[at].RemainingMs >= 0 {
				cmd.Printf("%s, for %v yet; %d wait\n", line, remaining(s.Leases[at]), s.Leases[at].Waiting)
			} else {
				cmd.Println(line)
			}
			printEffects(cmd, name, s)
			return nil
		})
	}
	return c
}

// printEffects prints the effects that were made under a lease: of its own name and of names below it.
func printEffects(cmd *cobra.Command, lease string, s cluster.Status) {
	for _, name := range slices.Sorted(maps.Keys(s.Effects)) {
		if name == lease || strings.HasPrefix(name, lease+"/") {
			e := s.Effects[name]
			cmd.Printf("fact %s: number %d, by token %d, %d bytes\n", name, e.Number, e.Token, len(e.Value))
		}
	}
}

func leaseRelease(file *string) *cobra.Command {
	c := &cobra.Command{Use: "release NAME", Args: cobra.ExactArgs(1),
		Short: "Take a lease from its holder, who may not notice before it acts next",
		Long: "Take a lease from its holder. Acts inside the fleet are refused from then on, and so is what carries its token to\n" +
			"where tokens are looked at; anything else that the holder is doing goes on until it notices, a third of a lease at most\n" +
			"and longer if it stands still."}
	token := c.Flags().Uint64("token", 0, "of the holding that is meant, as `lease show` tells it")
	_ = c.MarkFlagRequired("token")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		client, _, err := clusterClient(*file)
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
