package soaktest

import (
	"testing"
	"time"
)

// During a hand-over two processes serve as one node. An attempt after the drain's grace is a violation only if neither process may
// send it. A process may send while the grace since its notice runs, or if it has no notice yet. A process that has ended, or that
// never received the server's address, may not.
func TestDrainCheckDuringHandOver(t *testing.T) {
	const grace, step = 200 * time.Millisecond, 100 * time.Millisecond
	base := time.Now()
	timeAt := func(steps int) time.Time { return base.Add(time.Duration(steps) * step) }
	ready := map[string]time.Time{"c": timeAt(0)}
	for _, test := range []struct {
		name          string
		processes     []*processRecord
		notifiedSteps map[int]int // the step at which a process was notified of the drain, by the process's index
		attemptStep   int
		wantViolation bool
	}{
		{"one process, within the grace", []*processRecord{{startedAt: timeAt(0), firstReadyAt: ready}}, map[int]int{0: 10}, 11, false},
		{"one process, after the grace", []*processRecord{{startedAt: timeAt(0), firstReadyAt: ready}}, map[int]int{0: 10}, 13, true},
		{"the other process not notified yet", []*processRecord{{startedAt: timeAt(0), firstReadyAt: ready}, {startedAt: timeAt(5), firstReadyAt: ready}}, map[int]int{0: 10}, 13, false},
		{"the other process notified within the grace", []*processRecord{{startedAt: timeAt(0), firstReadyAt: ready}, {startedAt: timeAt(5), firstReadyAt: ready}}, map[int]int{0: 10, 1: 12}, 13, false},
		{"both processes notified before the grace", []*processRecord{{startedAt: timeAt(0), firstReadyAt: ready}, {startedAt: timeAt(5), firstReadyAt: ready}}, map[int]int{0: 10, 1: 11}, 14, true},
		{"the other process has ended", []*processRecord{{startedAt: timeAt(0), endedAt: timeAt(12), firstReadyAt: ready}, {startedAt: timeAt(5), firstReadyAt: ready}}, map[int]int{1: 10}, 14, true},
		{"the other process never received the server", []*processRecord{{startedAt: timeAt(0), firstReadyAt: ready}, {startedAt: timeAt(5), firstReadyAt: map[string]time.Time{}}}, map[int]int{0: 10}, 14, true},
		{"server is ready again", []*processRecord{{startedAt: timeAt(0), firstReadyAt: ready}}, map[int]int{0: 2}, 9, false},
	} {
		rec := newRecorder()
		rec.processes = test.processes
		for i, notifiedSteps := range test.notifiedSteps {
			notice := &drainNotice{serverID: "c", process: test.processes[i], receivedAt: timeAt(notifiedSteps)}
			if notifiedSteps == 2 {
				notice.withdrawnAt = timeAt(8)
			}
			rec.drainNotices = append(rec.drainNotices, notice)
		}
		check := requestCheck{rec: rec, settings: settings{drainGrace: grace}, request: &request{attempts: []*attempt{{serverID: "c", firstByteAt: timeAt(test.attemptStep)}}}}
		check.checkDrains()
		if got := len(check.violations) > 0; got != test.wantViolation {
			t.Errorf("%s: violation %v, want %v: %v", test.name, got, test.wantViolation, check.violations)
		}
	}
}
