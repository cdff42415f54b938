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

// Each history either breaks one rule, which the check has to report, or looks similar but breaks none. A check that misses
// violations lets TestProcessesUnderFaults pass with a broken cluster.
func TestHistoryCheckReportsOnlyViolations(t *testing.T) {
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
		{"stale token accepted", history{requests: []resourceRequest{{1, "a", 1, true}, {2, "b", 2, true}, {3, "a", 1, true}}}, 1, 0, 0},
		{"stale token rejected", history{requests: []resourceRequest{{1, "a", 1, true}, {2, "b", 2, true}, {3, "a", 1, false}}}, 0, 0, 0},
		{"actions overlap", history{events: overlap}, 0, 1, 0},
		{"actions overlap, one process was paused", history{events: overlap, pauses: []pause{{1, 0, 14 * ms}}}, 0, 0, 0},
		{"actions overlap, an uninvolved process was paused", history{events: overlap, pauses: []pause{{3, 0, 14 * ms}}}, 0, 1, 0},
		{"actions overlap, clock rates out of bounds", history{events: overlap, clocksBeyondBound: true}, 0, 0, 0},
		{"process killed during its action", history{events: overlap[:2], pauses: []pause{{1, 12 * ms, 1 << 62}}}, 0, 0, 0},
		{"token granted twice", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 1, ""), leaseRequest("acquire", "b", 3, 4, 0, 1, "")}}, 0, 0, 1},
		{"token lower than the previous one", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 2, ""), leaseRequest("acquire", "b", 3, 4, 0, 1, "")}}, 0, 0, 1},
		{"action after the next grant", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 1, ""), leaseRequest("acquire", "b", 3, 4, 0, 2, ""),
			leaseRequest("do", "a", 5, 6, 1, 1, "")}}, 0, 0, 1},
		{"action concurrent with the next grant", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 1, ""), leaseRequest("acquire", "b", 3, 9, 0, 2, ""),
			leaseRequest("do", "a", 5, 6, 1, 1, "")}}, 0, 0, 0},
		{"renewal after the release", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 1, ""), leaseRequest("release", "a", 3, 4, 1, 0, ""),
			leaseRequest("renew", "a", 5, 6, 1, 1, "")}}, 0, 0, 1},
		{"granted to another holder after expiry", history{events: []event{leaseRequest("acquire", "a", 1, 2, 0, 1, ""), leaseRequest("renew", "a", 3, 4, 1, 1, ""),
			leaseRequest("acquire", "b", 5, 6, 0, 5, ""), leaseRequest("do", "a", 7, 8, 1, 0, "lapsed")}}, 0, 0, 0},
	} {
		c.history.leaseDuration = time.Millisecond
		result := c.history.check()
		if len(result.fencingViolations) != c.wantFencing || len(result.overlaps) != c.wantOverlaps || len(result.orderViolations) != c.wantOrder {
			t.Errorf("%s: %v, want %d fencing violations, %d overlaps, %d order violations", c.name, result.violations(), c.wantFencing, c.wantOverlaps, c.wantOrder)
		}
	}
}

// buildProgram builds the program with the tag faults and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "thistlerudder")
	cmd := exec.Command("go", "build", "-tags", "faults", "-o", path, "../../cmd/thistlerudder")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// Each sequence of arrivals is within its limit or above it, and the check has to tell which. A check that misses violations lets
// TestProcessesUnderFaults pass with a broken budget.
func TestLimitCheckReportsOnlyExceededLimits(t *testing.T) {
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
		{"at the rate", false, checkRate("", arrivalsEvery(10, 300), rate)},
		{"burst at once", false, checkRate("", arrivalsEvery(0, 10), rate)},
		{"twice the burst at once", true, checkRate("", arrivalsEvery(0, 20), rate)},
		{"a quarter above the rate for 2.4 s", true, checkRate("", arrivalsEvery(8, 300), rate)},
		{"a quarter above the rate for 240 ms", false, checkRate("", arrivalsEvery(8, 30), rate)},
		{"above the rate after it was lowered", true, checkRate("", arrivalsEvery(10, 300), append(rate, limit{fromNs: 1000 * ms, perSecond: 50, max: 5}))},
		{"three concurrent", false, checkConcurrency("", arrivalsEvery(10, 50), concurrency)},
		{"four concurrent", true, checkConcurrency("", arrivalsEvery(8, 50), concurrency)},
		{"four that never end", true, checkConcurrency("", []arrival{{startNs: 1}, {startNs: 2}, {startNs: 3}, {startNs: 4}}, concurrency)},
		{"above the limit after it was lowered", true, checkConcurrency("", arrivalsEvery(10, 50), append(concurrency, limit{fromNs: 100 * ms, max: 2, concurrency: true}))},
	} {
		if (len(c.result.violations) > 0) != c.wantViolation || c.result.windows == 0 {
			t.Errorf("%s: %v, %d windows", c.name, c.result.violations, c.result.windows)
		}
	}
}

const faultTestVariable = "THISTLERUDDER_TRIAL"

// The test runs clusters of real processes under all faults in turn. Every run has to keep the rules. With a safeguard disabled,
// some run has to break one, which shows that the checks detect what the safeguard prevents. To inject only one fault, run
// "thistlerudder trial leases --only FAULT".
func TestProcessesUnderFaults(t *testing.T) {
	if os.Getenv(faultTestVariable) == "" {
		t.Skip("needs all cores and takes several minutes: set " + faultTestVariable)
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
				t.Errorf("no run broke a rule although the safeguard is disabled: %v\n%s", err, out)
			default:
				t.Log(fmt.Sprint(lines[max(0, len(lines)-2):]))
			}
		})
	}
}
