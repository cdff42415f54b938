package cluster

import (
	"github.com/thistlerudder/thistlerudder/lease"
)

// maxReportedServers is the maximum number of servers that a node may report in one call.
const maxReportedServers = 4096

// Rest handles a node's report of ejected servers, and returns the results of their probes.
func (s *rpcService) Rest(report *EjectionReport, statuses *[]lease.ProbeStatus) error {
	v := s.member.voter()
	if v == nil || len(report.Servers) > maxReportedServers {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.leases.IsLeader() {
		return lease.ErrNotLeader
	}
	for id, address := range report.Servers {
		if status, known := v.probes.ReportEjected(now(), id, address); known {
			*statuses = append(*statuses, status)
		}
	}
	return nil
}

// Due returns the probes that have to be made now, to the holder of the probe task's lease, which is identified by its token.
func (s *rpcService) Due(token *uint64, due *[]lease.Probe) error {
	v := s.member.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.leases.IsLeader() {
		return lease.ErrNotLeader
	}
	*due = append(*due, v.probes.DueProbes(now(), *token)...) // not nil: the peer would take a null reply for a broken connection
	return nil
}

// Result handles the result of a probe.
func (s *rpcService) Result(report *ProbeReport, _ *struct{}) error {
	v := s.member.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.probes.ReportResult(now(), report.Token, report.ID, report.Healthy)
	return nil
}
