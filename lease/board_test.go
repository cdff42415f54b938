package lease

import "testing"

// One server rests at many nodes: it is tried once for all, at growing waits, and each hears how it went; whoever held the
// task before is given nothing and heard in nothing.
func TestOneTriesForAll(t *testing.T) {
	b, now, trials := NewBoard(), Time(0), 0
	for ; now < 10_000*Millisecond; now += 50 * Millisecond {
		for range 300 {
			if n, known := b.Rest(now, "c", "a:1"); known && (n.Well || n.Next <= 0 || n.Next > trialMost+trialIn+2*tellEvery) {
				t.Fatalf("at %d: %+v", now, n)
			}
		}
		for range b.Due(now, 2) {
			trials++
			b.Result(now, 2, "c", false)
		}
	}
	if trials < 6 || trials > 9 {
		t.Errorf("%d trials in 10 s, want one in two seconds after the first few", trials)
	}
	now += trialMost
	if b.Due(now, 1) != nil {
		t.Error("an earlier holder is to try")
	}
	b.Due(now, 2)
	b.Result(now, 1, "c", true)
	if n, _ := b.Rest(now, "c", "a:1"); n.Well {
		t.Error("an earlier holder's result counts")
	}
	b.Result(now, 2, "c", true)
	if n, known := b.Rest(now, "c", "a:1"); !known || !n.Well {
		t.Errorf("it is well, and told as %+v", n)
	}
	if _, known := b.Rest(now, "c", "a:2"); known {
		t.Error("what was seen at an address is told of another")
	}
	now += trialIn + trialMost
	if b.Due(now, 2); len(b.Due(now+trialIn, 2)) != 1 {
		t.Error("a trial without a result is not made again")
	}
	if b.Due(now+2*forgetAfter, 2); len(b.servers) != 0 {
		t.Error("nobody tells of it, and it is kept")
	}
}
