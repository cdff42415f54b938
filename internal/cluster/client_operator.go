package cluster

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
)

// ErrNoLeader means that no reachable voter is the leader.
var ErrNoLeader = errors.New("no voter leads, or none that leads can be reached")

// CallLeader asks the voters for their status until it finds the leader, and makes one call to it. Operators' commands use it.
func (c *Client) CallLeader(method string, args, reply any, timeout time.Duration) error {
	var failures []error
	var tried []string
	candidates := c.voterAddresses()
	for len(candidates) > 0 {
		address := candidates[0]
		candidates = candidates[1:]
		if slices.Contains(tried, address) {
			continue
		}
		tried = append(tried, address)
		var status Status
		if err := c.callAddress(address, methodStatus, &struct{}{}, &status); err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", address, err))
			continue
		}
		if status.Voter && status.Leader == status.ID && status.ID != "" {
			return c.callAddressTimeout(address, method, args, reply, timeout)
		}
		if status.LeaderAddress != "" {
			candidates = append([]string{status.LeaderAddress}, candidates...)
		}
	}
	return errors.Join(append(failures, ErrNoLeader)...)
}

func (c *Client) voterAddresses() (addresses []string) {
	for _, v := range c.config.Voters {
		addresses = append(addresses, v.Address)
	}
	return addresses
}

// Status returns the cluster's status as the leader has it.
func (c *Client) Status() (status Status, err error) {
	return status, c.CallLeader(methodStatus, &struct{}{}, &status, c.callTimeout())
}

// Watch waits until the leader has applied an entry after the given revision, or for maxWatchDuration, and returns the status.
func (c *Client) Watch(revision uint64) (status Status, err error) {
	return status, c.CallLeader(methodWatch, &revision, &status, maxWatchDuration+c.callTimeout())
}

// Change adds or removes a voter, and returns its id.
func (c *Client) Change(change MembershipChange) (id string, err error) {
	return id, c.CallLeader(methodChangeMembership, &change, &id, membershipTimeout+c.callTimeout())
}

// SetLimit changes the limit of a budget, and returns the changed budget.
func (c *Client) SetLimit(name string, limit float64) (state BudgetState, err error) {
	return state, c.CallLeader(methodSetLimit, &LimitChange{Name: name, Limit: limit}, &state, membershipTimeout+c.callTimeout())
}

// FoundCluster founds a cluster with the voters of the configuration. The first fencing token of the cluster is the one after
// lastToken. FoundCluster changes nothing if a voter can't be reached or has voted before. It completes an earlier call that
// was interrupted.
func (c *Client) FoundCluster(lastToken uint64) error {
	voters, bootstrapped, err := c.checkNewVoters()
	if err != nil {
		return err
	}
	if !bootstrapped {
		if err := c.callAddress(voters[0].Address, methodBootstrap, &BootstrapRequest{Voters: voters}, &struct{}{}); err != nil {
			return err
		}
	}
	return c.commitFirstEntry(lastToken)
}

// checkNewVoters returns the voters of the new cluster, and whether an interrupted FoundCluster has bootstrapped one of them.
func (c *Client) checkNewVoters() (voters []VoterInfo, bootstrapped bool, err error) {
	for _, v := range c.config.Voters {
		var status Status
		if err := c.callAddress(v.Address, methodStatus, &struct{}{}, &status); err != nil {
			return nil, false, fmt.Errorf("fleet.voters: %s at %s: %w", v.Name, v.Address, err)
		}
		interrupted, err := c.checkNewVoter(v, status)
		if err != nil {
			return nil, false, err
		}
		bootstrapped = bootstrapped || interrupted
		voters = append(voters, VoterInfo{ID: status.ID, Address: v.Address})
	}
	return voters, bootstrapped, nil
}

// checkNewVoter checks that a voter is new, or was bootstrapped by an interrupted FoundCluster.
func (c *Client) checkNewVoter(v config.Voter, status Status) (interrupted bool, err error) {
	switch {
	case status.Node != v.Name:
		return false, fmt.Errorf("fleet.voters: %s is node %q, not %q", v.Address, status.Node, v.Name)
	case status.ID == "":
		return false, fmt.Errorf("fleet.voters: %s can't vote: %s", v.Name, status.VoterError)
	case status.New:
		return false, nil
	case status.Cluster == "" && len(status.Voters) == len(c.config.Voters):
		return true, nil
	}
	return false, fmt.Errorf("fleet.voters: %s has voted before: %w", v.Name, lease.ErrAlreadyFounded)
}

// commitFirstEntry commits the entry that founds the cluster, and retries until there is a leader.
func (c *Client) commitFirstEntry(lastToken uint64) error {
	timeout := 20*c.callTimeout() + 4*c.config.Lease
	for end := time.Now().Add(timeout); ; time.Sleep(c.config.MaxDelay) {
		err := c.CallLeader(methodFound, &BootstrapRequest{LastToken: lastToken}, &struct{}{}, c.callTimeout())
		if err == nil || errors.Is(err, lease.ErrAlreadyFounded) {
			return nil
		}
		if time.Now().After(end) {
			return err
		}
	}
}
