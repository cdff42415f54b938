package soaktest

import (
	"testing"
	"time"
)

// During a hand-over two processes serve as one node, and the recorder can't tell which of them sent an attempt to a draining server.
// The attempt is a violation only if neither process may send it. A process may send until the grace has passed since it was notified
// of the drain, or for as long as it was not notified. A process that has ended, or that was never notified that the server is ready,
// may not send.
func TestDrainCheckDuringHandOver(t *testing.T) {
	// Times are in steps after base. The grace is two steps.
	const grace, step = 200 * time.Millisecond, 100 * time.Millisecond
	base := time.Now()
	timeAt := func(steps int) time.Time { return base.Add(time.Duration(steps) * step) }
	readyAtStep0 := map[string]time.Time{"c": timeAt(0)}
	for _, test := range []struct {
		name          string
		processes     []*processRecord
		notifiedSteps map[int]int // the step at which a process was notified of the drain, by its index in processes
		attemptStep   int
		wantViolation bool
	}{
		{"one process, within the grace", []*processRecord{{startedAt: timeAt(0), firstReadyAt: readyAtStep0}}, map[int]int{0: 10}, 11, false},
		{"one process, after the grace", []*processRecord{{startedAt: timeAt(0), firstReadyAt: readyAtStep0}}, map[int]int{0: 10}, 13, true},
		{"the other process not notified yet", []*processRecord{{startedAt: timeAt(0), firstReadyAt: readyAtStep0}, {startedAt: timeAt(5), firstReadyAt: readyAtStep0}}, map[int]int{0: 10}, 13, false},
		{"the other process notified within the grace", []*processRecord{{startedAt: timeAt(0), firstReadyAt: readyAtStep0}, {startedAt: timeAt(5), firstReadyAt: readyAtStep0}}, map[int]int{0: 10, 1: 12}, 13, false},
		{"both processes notified longer than the grace ago", []*processRecord{{startedAt: timeAt(0), firstReadyAt: readyAtStep0}, {startedAt: timeAt(5), firstReadyAt: readyAtStep0}}, map[int]int{0: 10, 1: 11}, 14, true},
		{"the other process has ended", []*processRecord{{startedAt: timeAt(0), endedAt: timeAt(12), firstReadyAt: readyAtStep0}, {startedAt: timeAt(5), firstReadyAt: readyAtStep0}}, map[int]int{1: 10}, 14, true},
		{"the other process never notified of the server", []*processRecord{{startedAt: timeAt(0), firstReadyAt: readyAtStep0}, {startedAt: timeAt(5), firstReadyAt: map[string]time.Time{}}}, map[int]int{0: 10}, 14, true},
		{"server is ready again", []*processRecord{{startedAt: timeAt(0), firstReadyAt: readyAtStep0}}, map[int]int{0: 2}, 9, false},
	} {
		rec := newRecorder()
		rec.processes = test.processes
		for i, notifiedStep := range test.notifiedSteps {
			notice := &drainNotice{serverID: "c", process: test.processes[i], receivedAt: timeAt(notifiedStep)}
			if notifiedStep == 2 { // only in the case "server is ready again"
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
