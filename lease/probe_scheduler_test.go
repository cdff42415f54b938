package lease

import "testing"

// A server that many nodes have ejected is probed once for all, at growing intervals, and each node gets the result; an
// earlier holder of the task's lease gets no probes, and its results are ignored.
func TestOneProbesForAll(t *testing.T) {
	b, now, probes := NewProbeScheduler(), Time(0), 0
	for ; now < 10_000*Millisecond; now += 50 * Millisecond {
		for range 300 {
			if n, known := b.ReportEjected(now, "c", "a:1"); known && (n.Healthy || n.NextProbe <= 0 || n.NextProbe > maxProbeInterval+probeResultTimeout+2*ejectionReportInterval) {
				t.Fatalf("at %d: %+v", now, n)
			}
		}
		for range b.DueProbes(now, 2) {
			probes++
			b.ReportResult(now, 2, "c", false)
		}
	}
	if probes < 6 || probes > 9 {
		t.Errorf("%d probes in 10 s, want one in two seconds after the first few", probes)
	}
	now += maxProbeInterval
	if b.DueProbes(now, 1) != nil {
		t.Error("an earlier holder gets probes")
	}
	b.DueProbes(now, 2)
	b.ReportResult(now, 1, "c", true)
	if n, _ := b.ReportEjected(now, "c", "a:1"); n.Healthy {
		t.Error("an earlier holder's result counts")
	}
	b.ReportResult(now, 2, "c", true)
	if n, known := b.ReportEjected(now, "c", "a:1"); !known || !n.Healthy {
		t.Errorf("it is healthy, and reported as %+v", n)
	}
	if _, known := b.ReportEjected(now, "c", "a:2"); known {
		t.Error("the result of one address is reported for another")
	}
	now += probeResultTimeout + maxProbeInterval
	if b.DueProbes(now, 2); len(b.DueProbes(now+probeResultTimeout, 2)) != 1 {
		t.Error("a probe without a result is not repeated")
	}
	if b.DueProbes(now+2*probeTargetExpiry, 2); len(b.targets) != 0 {
		t.Error("it is no longer reported, and not dropped")
	}
}
