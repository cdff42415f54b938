package main

import (
	"fmt"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
)

// clusterClient returns a client of the cluster in a configuration file, and the cluster's configuration. The caller closes the client.
func clusterClient(configFile string) (*cluster.Client, *config.Cluster, error) {
	settings, err := config.ReadCluster(configFile)
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: %w", err)
	}
	return cluster.NewClient(settings, zap.NewNop()), settings, nil
}

// withStatus calls handle with the cluster's status: once or, if watch is set, until the command's context ends or a call fails. It
// then calls handle whenever the state has changed, and without a change each time that cluster.Client.Watch times out.
func withStatus(cmd *cobra.Command, configFile string, watch bool, handle func(cluster.Status) error) error {
	client, _, err := clusterClient(configFile)
	if err != nil {
		return err
	}
	defer client.Close()
	status, err := client.Status()
	for err == nil {
		if err = handle(status); err != nil || !watch || cmd.Context().Err() != nil {
			return err
		}
		status, err = client.Watch(status.Revision)
	}
	return err
}

// fleetCommand returns the commands for operators of a cluster: they bootstrap it and change its voters.
func fleetCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Found a fleet, show its status, and add or remove voters: docs/leases.md"}
	c.AddCommand(fleetFoundCommand(configFile), fleetStatusCommand(configFile), fleetVoterCommand(configFile))
	return c
}

func fleetFoundCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{Use: "found", Short: "Bootstrap a fleet with the voters of the configuration; done once in its life", Args: cobra.NoArgs}
	afterToken := c.Flags().Uint64("after-token", 0, "fencing tokens begin above this one; for a fleet that is founded again")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		client, settings, err := clusterClient(*configFile)
		if err != nil {
			return err
		}
		defer client.Close()
		if err := client.FoundCluster(*afterToken); err != nil {
			return fmt.Errorf("fleet %s is not founded: %w", settings.Name, err)
		}
		cmd.Printf("fleet %s is founded, with %d voters\n", settings.Name, len(settings.Voters))
		return nil
	}
	return c
}

func fleetStatusCommand(configFile *string) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show the leader and the voters", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withStatus(cmd, *configFile, false, func(status cluster.Status) error {
				cmd.Printf("fleet %s, led by %s at %s, reign %d, last token %d, %d leases\n", status.Cluster, status.Leader, status.LeaderAddress, status.Term,
					status.LastToken, len(status.Leases))
				for _, voter := range status.Voters {
					cmd.Printf("voter %s at %s\n", voter.ID, voter.Address)
				}
				return nil
			})
		}}
}

func fleetVoterCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{Use: "voter", Short: "Add or remove voters, one at a time"}
	add := &cobra.Command{Use: "add NAME ADDRESS", Short: "Add a node as a voter; it has a folder and is not a voter yet", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return changeMembership(cmd, *configFile, cluster.MembershipChange{Add: args[0], Address: args[1]}, "votes")
		}}
	remove := &cobra.Command{Use: "remove NAME", Short: "Remove a voter, by the name of its node or by its voter id", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return changeMembership(cmd, *configFile, cluster.MembershipChange{Remove: args[0]}, "votes no more")
		}}
	c.AddCommand(add, remove)
	return c
}

// changeMembership makes one change to the voters, and prints the changed voter's id and the outcome.
func changeMembership(cmd *cobra.Command, configFile string, change cluster.MembershipChange, outcome string) error {
	client, _, err := clusterClient(configFile)
	if err != nil {
		return err
	}
	defer client.Close()
	id, err := client.Change(change)
	if err != nil {
		return err
	}
	cmd.Printf("%s %s\n", id, outcome)
	return nil
}
