package lease

import "testing"

// One server rests at many nodes: it is tried once for all, at growing waits, and each hears how it went; whoever held the
// task before is given nothing and heard in nothing.
func TestOneTriesForAll(t *testing.T) {
	b, now, trials := NewProbeScheduler(), Time(0), 0
	for ; now < 10_000*Millisecond; now += 50 * Millisecond {
		for range 300 {
			if n, known := b.ReportEjected(now, "c", "a:1"); known && (n.Healthy || n.NextProbe <= 0 || n.NextProbe > maxProbeInterval+probeResultTimeout+2*ejectionReportInterval) {
				t.Fatalf("at %d: %+v", now, n)
			}
		}
		for range b.DueProbes(now, 2) {
			trials++
			b.ReportResult(now, 2, "c", false)
		}
	}
	if trials < 6 || trials > 9 {
		t.Errorf("%d trials in 10 s, want one in two seconds after the first few", trials)
	}
	now += maxProbeInterval
	if b.DueProbes(now, 1) != nil {
		t.Error("an earlier holder is to try")
	}
	b.DueProbes(now, 2)
	b.ReportResult(now, 1, "c", true)
	if n, _ := b.ReportEjected(now, "c", "a:1"); n.Healthy {
		t.Error("an earlier holder's result counts")
	}
	b.ReportResult(now, 2, "c", true)
	if n, known := b.ReportEjected(now, "c", "a:1"); !known || !n.Healthy {
		t.Errorf("it is well, and told as %+v", n)
	}
	if _, known := b.ReportEjected(now, "c", "a:2"); known {
		t.Error("what was seen at an address is told of another")
	}
	now += probeResultTimeout + maxProbeInterval
	if b.DueProbes(now, 2); len(b.DueProbes(now+probeResultTimeout, 2)) != 1 {
		t.Error("a trial without a result is not made again")
	}
	if b.DueProbes(now+2*probeTargetExpiry, 2); len(b.targets) != 0 {
		t.Error("nobody tells of it, and it is kept")
	}
}
