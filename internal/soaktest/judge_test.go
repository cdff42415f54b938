package soaktest

import (
	"testing"
	"time"
)

// While two processes serve as one node an attempt after a drain's grace is a break only if neither of them may have made it: one that was told
// of the drain within the grace, or was not told of it yet, may; one that has ended, or never heard of the server, may not.
func TestDrainsAreJudgedThroughAHandOver(t *testing.T) {
	const grace, step = 200 * time.Millisecond, 100 * time.Millisecond
	base := time.Now()
	at := func(steps int) time.Time { return base.Add(time.Duration(steps) * step) }
	ready := map[string]time.Time{"c": at(0)}
	for _, c := range []struct {
		name    string
		lives   []*life
		told    map[int]int // the step at which a process was told of the drain, by its index
		attempt int
		broken  bool
	}{
		{"one process, within the grace", []*life{{from: at(0), ready: ready}}, map[int]int{0: 10}, 11, false},
		{"one process, after it", []*life{{from: at(0), ready: ready}}, map[int]int{0: 10}, 13, true},
		{"the other was not told yet", []*life{{from: at(0), ready: ready}, {from: at(5), ready: ready}}, map[int]int{0: 10}, 13, false},
		{"the other was told within the grace", []*life{{from: at(0), ready: ready}, {from: at(5), ready: ready}}, map[int]int{0: 10, 1: 12}, 13, false},
		{"both were told before", []*life{{from: at(0), ready: ready}, {from: at(5), ready: ready}}, map[int]int{0: 10, 1: 11}, 14, true},
		{"the other has ended", []*life{{from: at(0), to: at(12), ready: ready}, {from: at(5), ready: ready}}, map[int]int{1: 10}, 14, true},
		{"the other never heard of the server", []*life{{from: at(0), ready: ready}, {from: at(5), ready: map[string]time.Time{}}}, map[int]int{0: 10}, 14, true},
		{"it was told that the server is back", []*life{{from: at(0), ready: ready}}, map[int]int{0: 2}, 9, false},
	} {
		l := newLedger()
		l.lives = c.lives
		for i, told := range c.told {
			d := &drained{server: "c", by: c.lives[i], told: at(told)}
			if told == 2 {
				d.back = at(8)
			}
			l.drains = append(l.drains, d)
		}
		j := judgement{l: l, s: settings{grace: grace}, r: &request{attempts: []*attempt{{server: "c", first: at(c.attempt)}}}}
		j.drains()
		if got := len(j.breaks) > 0; got != c.broken {
			t.Errorf("%s: broken %v, want %v: %v", c.name, got, c.broken, j.breaks)
		}
	}
}
