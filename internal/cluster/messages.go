package cluster

import (
	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/lease"
)

// The arguments and replies of the RPC calls, in the order of the methods of rpcService. Their JSON keys and the names of the
// methods are the wire format that peers of other versions use.

// LeaseRequest is the argument of Fleet.Ask.
type LeaseRequest struct {
	Kind   string       `json:"Kind"` // operation
	Name   string       `json:"Name"`
	Effect string       `json:"Fact"`
	Holder lease.Holder `json:"Holder"`
	Token  uint64       `json:"Token"`
	Number uint64       `json:"Number"`
	Wait   uint64       `json:"Wait"` // in units of lease.Time
	Value  []byte       `json:"Value"`
}

func toLeaseRequest(r lease.Request) *LeaseRequest {
	return &LeaseRequest{
		Kind:   r.Operation,
		Name:   r.Name,
		Effect: r.Effect,
		Holder: r.Holder,
		Token:  r.Token,
		Number: r.Number,
		Wait:   uint64(r.MaxWait),
		Value:  r.Value,
	}
}

func (r *LeaseRequest) toRequest() lease.Request {
	return lease.Request{
		Operation: r.Kind,
		Name:      r.Name,
		Holder:    r.Holder,
		Token:     r.Token,
		MaxWait:   lease.Time(r.Wait),
		Effect:    r.Effect,
		Number:    r.Number,
		Value:     r.Value,
	}
}

// LeaseResponse is the reply of Fleet.Ask.
type LeaseResponse struct {
	Token    uint64       `json:"Token"`
	Holder   lease.Holder `json:"Holder"`
	Duration int64        `json:"Length"` // in units of lease.Time
	Error    wireError    `json:"Refusal"`
	Leader   string       `json:"Leader"` // address of the leader to retry at, if this voter isn't the leader
}

func toLeaseResponse(r lease.Response) LeaseResponse {
	return LeaseResponse{
		Token:    r.Token,
		Holder:   r.Holder,
		Duration: int64(r.Duration),
		Error:    toWireError(r.Err),
	}
}

func (r *LeaseResponse) toResponse() lease.Response {
	return lease.Response{
		Token:    r.Token,
		Holder:   r.Holder,
		Duration: lease.Time(r.Duration),
		Err:      r.Error.toError(),
	}
}

// Status is the cluster as one of its nodes sees it, the reply of Fleet.Status and Fleet.Watch.
type Status struct {
	Node          string                  `json:"Node"`
	ID            string                  `json:"ID"` // of this node's voter
	Voter         bool                    `json:"Voter"`
	VoterError    string                  `json:"Broken"` // why this node has no voter
	Leader        string                  `json:"Leader"` // id; empty if unknown
	LeaderAddress string                  `json:"At"`
	IsLeader      bool                    `json:"Leads"`
	Term          uint64                  `json:"Reign"`
	LastContactMs int64                   `json:"ViewMs"` // time since the last contact with the leader; -1 if there was none
	Cluster       string                  `json:"Fleet"`
	LastToken     uint64                  `json:"Tokens"`
	Voters        []VoterInfo             `json:"Voters"`
	Leases        []LeaseStatus           `json:"Leases"`
	Effects       map[string]lease.Effect `json:"Facts"`
	Entries       int                     `json:"Entries"`  // applied since the start
	QuorumRounds  int                     `json:"Rounds"`   // since the start
	New           bool                    `json:"New"`      // the log is empty
	Revision      uint64                  `json:"Revision"` // index of the last entry applied
	Budgets       map[string]BudgetState  `json:"Budgets"`
}

// VoterInfo is a voter as the members of the cluster know it.
type VoterInfo struct {
	ID      string `json:"ID"`
	Address string `json:"Address"`
}

// LeaseStatus is a lease in a Status.
type LeaseStatus struct {
	Name        string       `json:"Name"`
	Holder      lease.Holder `json:"Holder"`
	Token       uint64       `json:"Token"`
	RemainingMs int64        `json:"LeftMs"`  // -1 except on the leader
	Waiting     int          `json:"Waiting"` // number of claimants; 0 except on the leader
}

// BudgetState is a budget in a Status.
type BudgetState struct {
	lease.Budget
	Demand  int `json:"Want"`    // units, known to the leader only
	Reserve int `json:"Reserve"` // units, known to the leader only
}

// BootstrapRequest is the argument of Fleet.Bootstrap, with the first voters, and of Fleet.Found, with the last token.
type BootstrapRequest struct {
	Voters    []VoterInfo `json:"Voters"`
	LastToken uint64      `json:"After"` // the fencing token before the first one
}

// MembershipChange adds or removes one voter, by its node's name. It is the argument of Fleet.Change.
type MembershipChange struct {
	Add     string `json:"Add"`
	Remove  string `json:"Remove"`  // or the voter's id
	Address string `json:"Address"` // of the voter to be added
}

// TermVote is the reply of Fleet.Term: the latest term in which a voter has voted, or may have voted.
type TermVote struct {
	ID   string `json:"ID"`
	Term uint64 `json:"Term"`
}

// EjectionReport has the addresses of the servers that a node has ejected, by id. It is the argument of Fleet.Rest.
type EjectionReport struct {
	Servers map[string]string `json:"Servers"`
}

// ProbeReport is the result of a probe, the argument of Fleet.Result.
type ProbeReport struct {
	Token   uint64 `json:"Token"` // of the probe task's lease
	ID      string `json:"ID"`
	Healthy bool   `json:"Well"`
}

// QuotaResponse is the reply of Fleet.Part, whose argument is a budget.Request.
type QuotaResponse struct {
	Updates []budget.QuotaUpdate `json:"News"`
	Error   wireError            `json:"Refusal"`
}

// LentQuotas is the reply of Fleet.Lend: the quotas that a node's process lends to the process that replaces it.
type LentQuotas struct {
	Quotas   []budget.LentQuota `json:"All"`
	Duration int64              `json:"For"` // in units of lease.Time
}

// LimitChange sets the limit of a budget, in requests per second or in concurrent requests. It is the argument of
// Fleet.SetWhole.
type LimitChange struct {
	Name  string  `json:"Name"`
	Limit float64 `json:"Whole"`
}
