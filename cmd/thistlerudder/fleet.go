package main

import (
	"fmt"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
)

// clusterClient gives a client of the cluster that a configuration file names.
func clusterClient(file string) (*cluster.Client, *config.Cluster, error) {
	f, err := config.ReadCluster(file)
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: %w", err)
	}
	return cluster.NewClient(f, zap.NewNop()), f, nil
}

// withStatus calls f with the cluster's status, and with watch again after each change.
func withStatus(cmd *cobra.Command, file string, watch bool, f func(cluster.Status) error) error {
	client, _, err := clusterClient(file)
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

// fleetCommand is for operators of a cluster: founding it, and who votes in it.
func fleetCommand(file *string) *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Found a fleet, see who votes in it, and change that: docs/leases.md"}
	c.AddCommand(fleetFound(file), fleetStatus(file), fleetVoter(file))
	return c
}

func fleetFound(file *string) *cobra.Command {
	c := &cobra.Command{Use: "found", Short: "Begin a fleet with the voters of the configuration, once", Args: cobra.NoArgs}
	after := c.Flags().Uint64("after-token", 0, "the first token is the next above this one; for a fleet that is founded anew")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		client, settings, err := clusterClient(*file)
		if err != nil {
			return err
		}
		defer client.Close()
		if err := client.FoundCluster(*after); err != nil {
			return fmt.Errorf("fleet %s is not founded: %w", settings.Name, err)
		}
		cmd.Printf("fleet %s is founded, with %d voters\n", settings.Name, len(settings.Voters))
		return nil
	}
	return c
}

func fleetStatus(file *string) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Say who leads and who votes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withStatus(cmd, *file, false, func(s cluster.Status) error {
				cmd.Printf("fleet %s, led by %s at %s, reign %d, last token %d, %d leases\n", s.Cluster, s.Leader, s.LeaderAddress, s.Term,
					s.LastToken, len(s.Leases))
				for _, voter := range s.Voters {
					cmd.Printf("voter %s at %s\n", voter.ID, voter.Address)
				}
				return nil
			})
		}}
}

func fleetVoter(file *string) *cobra.Command {
	c := &cobra.Command{Use: "voter", Short: "Change who votes, one at a time"}
	add := &cobra.Command{Use: "add NAME ADDRESS", Short: "Let a node vote that has a folder and doesn't yet", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return changeVoters(cmd, *file, cluster.MembershipChange{Add: args[0], Address: args[1]}, "votes")
		}}
	remove := &cobra.Command{Use: "remove NAME", Short: "Let a node vote no more, by its name or by its voter's id", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return changeVoters(cmd, *file, cluster.MembershipChange{Remove: args[0]}, "votes no more")
		}}
	c.AddCommand(add, remove)
	return c
}

// changeVoters makes one change of the voters, and says what became of the voter.
func changeVoters(cmd *cobra.Command, file string, change cluster.MembershipChange, done string) error {
	client, _, err := clusterClient(file)
	if err != nil {
		return err
	}
	defer client.Close()
	id, err := client.Change(change)
	if err != nil {
		return err
	}
	cmd.Printf("%s %s\n", id, done)
	return nil
}
