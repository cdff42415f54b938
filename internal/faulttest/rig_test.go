package faulttest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The judge is shown histories that break one rule each, and must see it; and what is no breach, and must not.
func TestHistoryWithViolationReported(t *testing.T) {
	ms := int64(time.Millisecond)
	recorded := func(eventType, node string, pid int, timeMs, startMs int64, token uint64) event {
		return event{Type: eventType, Node: node, PID: pid, TimeNs: timeMs * ms, StartNs: startMs * ms, Token: token}
	}
	leaseRequest := func(operation, holder string, callMs, returnMs int64, requestToken, token uint64, errorName string) event {
		return event{Type: "ask", Operation: operation, Holder: holder, CallNs: callMs * ms, ReturnNs: returnMs * ms, RequestToken: requestToken, Token: token, ErrorName: errorName}
	}
	overlap := []event{recorded("begin", "a", 1, 10, 0, 1), recorded("begin", "b", 2, 15, 0, 2), recorded("end", "a", 1, 20, 10, 1), recorded("end", "b", 2, 25, 15, 2)}
	for _, c := range []struct {
		name                                 string
		history                              history
		wantFencing, wantOverlaps, wantOrder int
	}{
		{"an old token passes", history{requests: []resourceRequest{{1, "a", 1, true}, {2, "b", 2, true}, {3, "a", 1, true}}}, 1, 0, 0},
		{"an old token is refused", history{requests: []resourceRequest{{1, "a", 1, true}, {2, "b", 2, true}, {3, "a", 1, false}}}, 0, 0, 0},
		{"two act at once", history{events: overlap}, 0, 1, 0},
		{"two act at once, one was paused", history{events: overlap, pauses: []pause{{1, 0, 14 * ms}}}, 0, 0, 0},
		{"two act at once, another was paused", history{events: overlap, pauses: []pause{{3, 0, 14 * ms}}}, 0, 1, 0},
		{"two act at once, clocks beyond the bound", history{events: overlap, clocksBeyondBound: true}, 0, 0, 0},
		{"killed in the act", history{events: overlap[:2], pauses: []pause{{1, 12 * ms, 1 << 62}}}, 0, 0, 0},
		{"one token twice", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 1, ""), leaseRequest("acquire", "b", 3, 4, 0, 1, "")}}, 0, 0, 1},
		{"tokens go back", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 2, ""), leaseRequest("acquire", "b", 3, 4, 0, 1, "")}}, 0, 0, 1},
		{"an act after the next grant", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 1, ""), leaseRequest("acquire", "b", 3, 4, 0, 2, ""),
			leaseRequest("do", "a", 5, 6, 1, 1, "")}}, 0, 0, 1},
		{"an act beside the next grant", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 1, ""), leaseRequest("acquire", "b", 3, 9, 0, 2, ""),
			leaseRequest("do", "a", 5, 6, 1, 1, "")}}, 0, 0, 0},
		{"a renewal after the release", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 1, ""), leaseRequest("release", "a", 3, 4, 1, 0, ""),
			leaseRequest("renew", "a", 5, 6, 1, 1, "")}}, 0, 0, 1},
		{"granted while held: it ran out", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 1, ""), leaseRequest("renew", "a", 3, 4, 1, 1, ""),
			leaseRequest("acquire", "b", 5, 6, 0, 5, ""), leaseRequest("do", "a", 7, 8, 1, 0, "lapsed")}}, 0, 0, 0},
	} {
		c.history.leaseDuration = time.Millisecond
		result := c.history.check()
		if len(result.fencingViolations) != c.wantFencing || len(result.overlaps) != c.wantOverlaps || len(result.orderViolations) != c.wantOrder {
			t.Errorf("%s: %v, want %d at the door, %d outside, %d in order", c.name, result.violations(), c.wantFencing, c.wantOverlaps, c.wantOrder)
		}
	}
}

// build makes the program with the tag faults, once.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "thistlerudder")
	cmd := exec.Command("go", "build", "-tags", "faults", "-o", path, "../../cmd/thistlerudder")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// The judge of budgets is shown what came, and must see what passes a whole, and only that.
func TestArrivalsAboveLimitReported(t *testing.T) {
	ms := int64(time.Millisecond)
	arrivalsEvery := func(intervalMs int64, count int) (arrivals []arrival) {
		for i := range count {
			arrivals = append(arrivals, arrival{startNs: int64(i) * intervalMs * ms, endNs: (int64(i)*intervalMs + 25) * ms})
		}
		return arrivals
	}
	rate, concurrency := []limit{{perSecond: 100, max: 10}}, []limit{{max: 3, concurrency: true}}
	for _, c := range []struct {
		name          string
		wantViolation bool
		result        limitResult
	}{
		{"at its rate", false, checkRate("", arrivalsEvery(10, 300), rate)},
		{"its burst at once", false, checkRate("", arrivalsEvery(0, 10), rate)},
		{"twice its burst at once", true, checkRate("", arrivalsEvery(0, 20), rate)},
		{"a fifth beyond its rate for long", true, checkRate("", arrivalsEvery(8, 300), rate)},
		{"a fifth beyond its rate for a moment", false, checkRate("", arrivalsEvery(8, 30), rate)},
		{"a rate that was lowered", true, checkRate("", arrivalsEvery(10, 300), append(rate, limit{fromNs: 1000 * ms, perSecond: 50, max: 5}))},
		{"three at once", false, checkConcurrency("", arrivalsEvery(10, 50), concurrency)},
		{"four at once", true, checkConcurrency("", arrivalsEvery(8, 50), concurrency)},
		{"what never ends", true, checkConcurrency("", []arrival{{startNs: 1}, {startNs: 2}, {startNs: 3}, {startNs: 4}}, concurrency)},
		{"two are too many once it is lowered", true, checkConcurrency("", arrivalsEvery(10, 50), append(concurrency, limit{fromNs: 100 * ms, max: 2, concurrency: true}))},
	} {
		if (len(c.result.violations) > 0) != c.wantViolation || c.result.windows == 0 {
			t.Errorf("%s: %v, %d windows", c.name, c.result.violations, c.result.windows)
		}
	}
}

const faultTestVariable = "THISTLERUDDER_TRIAL"

// Real processes, with all kinds of fault in turn. The rules hold in each run; with a safeguard taken out, they don't in
// some. Each kind has a run of its own name: thistlerudder trial leases --only KIND.
func TestProcessesUnderFaults(t *testing.T) {
	if os.Getenv(faultTestVariable) == "" {
		t.Skip("it wants the cores for itself, and takes some minutes: set " + faultTestVariable)
	}
	program := buildProgram(t)
	for _, c := range []struct {
		args     string
		wantPass bool
	}{
		{"budgets --seeds 1-20", true},
		{"budgets --seeds 1-1 --processes 12", true},
		{"budgets --seeds 1-40 --first --without drift-margin", false},
		{"budgets --seeds 1-40 --first --without count-from-answer", false},
		{"budgets --seeds 1-40 --first --without burst-kept", false},
		{"budgets --seeds 1-40 --first --without reuse-early", false},
		{"budgets --seeds 1-40 --first --without leader-forgets", false},
		{"--seeds 1-20", true},
		{"--seeds 1-1 --processes 12", true},
		{"--seeds 1-2 --only clock-bound", true},
		{"--seeds 1-2 --only clock-beyond", true},
		{"--seeds 1-30 --first --without door-token --only stop-before-act", false},
		{"--seeds 1-30 --first --without drift-margin --only clock-bound", false},
		{"--seeds 1-30 --first --without leader-confirmation --only part", false},
		{"--seeds 1-30 --first --without forgotten-vote --only amnesia", false},
		{"--seeds 1-30 --first --without count-from-answer --only late-answers", false},
	} {
		t.Run(c.args, func(t *testing.T) {
			trial, args := "leases", strings.Fields(c.args)
			if args[0] == "budgets" {
				trial, args = args[0], args[1:]
			}
			cmd := exec.Command(program, append([]string{"trial", trial, "--keep", filepath.Join(os.TempDir(), "rig-kept")}, args...)...)
			out, err := cmd.CombinedOutput()
			lines := strings.Split(strings.TrimSpace(string(out)), "\n")
			switch {
			case c.wantPass && err != nil:
				t.Errorf("%v:\n%s", err, out)
			case !c.wantPass && (err == nil || !strings.Contains(string(out), "broke a rule")):
				t.Errorf("no run shows that it is missing: %v\n%s", err, out)
			default:
				t.Log(fmt.Sprint(lines[max(0, len(lines)-2):]))
			}
		})
	}
}
