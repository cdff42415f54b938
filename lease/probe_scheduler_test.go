package lease

import "testing"

// A server that many nodes have ejected is probed once for all nodes, at growing intervals, and every node gets the result.
// An earlier holder of the probe task's lease gets no probes, and its results are ignored. A result is not reported for a new
// address of the server, a probe without a result is repeated, and a server that nodes no longer report is dropped.
func TestEjectedServerProbedOnceForAllNodes(t *testing.T) {
	s, now, probes := NewProbeScheduler(), Time(0), 0
	for ; now < 10_000*Millisecond; now += 50 * Millisecond {
		for range 300 {
			if status, known := s.ReportEjected(now, "c", "a:1"); known && (status.Healthy || status.UntilNextResult <= 0 || status.UntilNextResult > maxProbeInterval+probeResultTimeout+2*ejectionReportInterval) {
				t.Fatalf("at %d: %+v", now, status)
			}
		}
		for range s.DueProbes(now, 2) {
			probes++
			s.ReportResult(now, 2, "c", false)
		}
	}
	if probes < 6 || probes > 9 {
		t.Errorf("%d probes in 10 s, want 6 to 9: the interval grows to one probe in 2 s", probes)
	}
	now += maxProbeInterval
	if s.DueProbes(now, 1) != nil {
		t.Error("earlier holder of the lease got probes")
	}
	s.DueProbes(now, 2)
	s.ReportResult(now, 1, "c", true)
	if status, _ := s.ReportEjected(now, "c", "a:1"); status.Healthy {
		t.Error("result from an earlier holder of the lease was recorded")
	}
	s.ReportResult(now, 2, "c", true)
	if status, known := s.ReportEjected(now, "c", "a:1"); !known || !status.Healthy {
		t.Errorf("healthy server reported as %+v", status)
	}
	if _, known := s.ReportEjected(now, "c", "a:2"); known {
		t.Error("result for the previous address reported for the new address")
	}
	now += probeResultTimeout + maxProbeInterval
	if s.DueProbes(now, 2); len(s.DueProbes(now+probeResultTimeout, 2)) != 1 {
		t.Error("probe without a result was not repeated after its timeout")
	}
	if s.DueProbes(now+2*probeTargetExpiry, 2); len(s.targets) != 0 {
		t.Error("server that is no longer reported was not dropped")
	}
}
