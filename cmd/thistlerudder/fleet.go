package main

import (
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
)

// asked gives a client of the fleet that a configuration tells of.
func asked(file string) (*cluster.Client, *config.Cluster, error) {
	f, err := config.ReadCluster(file)
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: %w", err)
	}
	return cluster.NewClient(f, zap.NewNop()), f, nil
}

// fleetCommand is what operators do with a fleet.
func fleetCommand(file *string) *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Found a fleet, see who votes in it, and change that: docs/leases.md"}
	found := &cobra.Command{Use: "found", Short: "Begin a fleet with the voters of the configuration, once", Args: cobra.NoArgs}
	after := found.Flags().Uint64("after-token", 0, "the first token is the next above this one; for a fleet that is founded anew")
	found.RunE = func(cmd *cobra.Command, _ []string) error {
		client, f, err := asked(*file)
		if err != nil {
			return err
		}
		defer client.Close()
		if err := client.FoundCluster(*after); err != nil {
			return fmt.Errorf("fleet %s is not founded: %w", f.Name, err)
		}
		cmd.Printf("fleet %s is founded, with %d voters\n", f.Name, len(f.Voters))
		return nil
	}
	status := &cobra.Command{Use: "status", Short: "Say who leads and who votes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, _, err := asked(*file)
			if err != nil {
				return err
			}
			defer client.Close()
			s, err := client.Status()
			if err != nil {
				return err
			}
			cmd.Printf("fleet %s, led by %s at %s, reign %d, last token %d, %d leases\n", s.Cluster, s.Leader, s.LeaderAddress, s.Term,
				s.LastToken, len(s.Leases))
			for _, m := range s.Voters {
				cmd.Printf("voter %s at %s\n", m.ID, m.Address)
			}
			return nil
		}}
	voter := &cobra.Command{Use: "voter", Short: "Change who votes, one at a time"}
	change := func(use, short string, args int, of func(args []string) cluster.MembershipChange, done string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args), RunE: func(cmd *cobra.Command, args []string) error {
			client, _, err := asked(*file)
			if err != nil {
				return err
			}
			defer client.Close()
			id, err := client.Change(of(args))
			if err != nil {
				return err
			}
			cmd.Printf("%s %s\n", id, done)
			return nil
		}}
	}
	voter.AddCommand(
		change("add NAME ADDRESS", "Let a node vote that has a folder and doesn't yet", 2,
			func(a []string) cluster.MembershipChange { return cluster.MembershipChange{Add: a[0], Address: a[1]} }, "votes"),
		change("remove NAME", "Let a node vote no more, by its name or by its voter's id", 1,
			func(a []string) cluster.MembershipChange { return cluster.MembershipChange{Remove: a[0]} }, "votes no more"))
	c.AddCommand(found, status, voter)
	return c
}

// leases is what operators do with leases.
func leases(file *string) *cobra.Command {
	c := &cobra.Command{Use: "lease", Short: "See and release leases, and run a job on one machine of the fleet at a time"}
	list := &cobra.Command{Use: "list", Short: "Say who holds what", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return told(cmd, *file, false, func(s cluster.Status) error {
				w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "lease\tholder\ttoken\tleft\twaiting")
				for _, l := range s.Leases {
					fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%d\n", l.Name, l.Holder, l.Token, time.Duration(l.RemainingMs)*time.Millisecond, l.Waiting)
				}
				return w.Flush()
			})
		}}
	show := &cobra.Command{Use: "show NAME", Short: "Say all that is known of one", Args: cobra.ExactArgs(1)}
	watch := show.Flags().Bool("watch", false, "go on, and say it again whenever the holder has changed")
	show.RunE = func(cmd *cobra.Command, args []string) error {
		line := ""
		return told(cmd, *file, *watch, func(s cluster.Status) error {
			at := slices.IndexFunc(s.Leases, func(l cluster.LeaseStatus) bool { return l.Name == args[0] })
			before := line
			if line = args[0] + " is free"; at >= 0 {
				line = fmt.Sprintf("%s is held by %s with token %d", args[0], s.Leases[at].Holder, s.Leases[at].Token)
			}
			if line == before {
				return nil
			}
			if at >= 0 && s.Leases[at].RemainingMs >= 0 {
				cmd.Printf("%s, for %v yet; %d wait\n", line, time.Duration(s.Leases[at].RemainingMs)*time.Millisecond, s.Leases[at].Waiting)
			} else {
				cmd.Println(line)
			}
			for _, name := range slices.Sorted(maps.Keys(s.Effects)) {
				if f := s.Effects[name]; name == args[0] || len(name) > len(args[0]) && name[:len(args[0])+1] == args[0]+"/" {
					cmd.Printf("fact %s: number %d, by token %d, %d bytes\n", name, f.Number, f.Token, len(f.Value))
				}
			}
			return nil
		})
	}
	release := &cobra.Command{Use: "release NAME", Args: cobra.ExactArgs(1),
		Short: "Take a lease from its holder, who may not notice before it acts next",
		Long: "Take a lease from its holder. Acts inside the fleet are refused from then on, and so is what carries its token to\n" +
			"where tokens are looked at; anything else that the holder is doing goes on until it notices, a third of a lease at most\n" +
			"and longer if it stands still."}
	token := release.Flags().Uint64("token", 0, "of the holding that is meant, as `lease show` tells it")
	_ = release.MarkFlagRequired("token")
	release.RunE = func(cmd *cobra.Command, args []string) error {
		client, _, err := asked(*file)
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
	c.AddCommand(list, show, release, leaseRun(file))
	return c
}

// told gives f the fleet's state, and with watch again after each change.
func told(cmd *cobra.Command, file string, watch bool, f func(cluster.Status) error) error {
	client, _, err := asked(file)
	if err != nil {
		return err
	}
	defer client.Close()
	s, err := client.Status()
	for err == nil {
		if err = f(s); err != nil || !watch || cmd.Context().Err() != nil {
			return err
		}
		s, err = client.Watch(s.Revision)
	}
	return err
}
