package lease

import "testing"

// A server that many nodes have ejected is probed once for all, at growing intervals, and each node gets the result; an
// earlier holder of the task's lease gets no probes, and its results are ignored.
func TestEjectedServerProbedOnceForAllNodes(t *testing.T) {
	s, now, probes := NewProbeScheduler(), Time(0), 0
	for ; now < 10_000*Millisecond; now += 50 * Millisecond {
		for range 300 {
			if status, known := s.ReportEjected(now, "c", "a:1"); known && (status.Healthy || status.NextProbe <= 0 || status.NextProbe > maxProbeInterval+probeResultTimeout+2*ejectionReportInterval) {
				t.Fatalf("at %d: %+v", now, status)
			}
		}
		for range s.DueProbes(now, 2) {
			probes++
			s.ReportResult(now, 2, "c", false)
		}
	}
	if probes < 6 || probes > 9 {
		t.Errorf("%d probes in 10 s, want one in two seconds after the first few", probes)
	}
	now += maxProbeInterval
	if s.DueProbes(now, 1) != nil {
		t.Error("an earlier holder gets probes")
	}
	s.DueProbes(now, 2)
	s.ReportResult(now, 1, "c", true)
	if status, _ := s.ReportEjected(now, "c", "a:1"); status.Healthy {
		t.Error("an earlier holder's result counts")
	}
	s.ReportResult(now, 2, "c", true)
	if status, known := s.ReportEjected(now, "c", "a:1"); !known || !status.Healthy {
		t.Errorf("it is healthy, and reported as %+v", status)
	}
	if _, known := s.ReportEjected(now, "c", "a:2"); known {
		t.Error("the result of one address is reported for another")
	}
	now += probeResultTimeout + maxProbeInterval
	if s.DueProbes(now, 2); len(s.DueProbes(now+probeResultTimeout, 2)) != 1 {
		t.Error("a probe without a result is not repeated")
	}
	if s.DueProbes(now+2*probeTargetExpiry, 2); len(s.targets) != 0 {
		t.Error("it is no longer reported, and not dropped")
	}
}
