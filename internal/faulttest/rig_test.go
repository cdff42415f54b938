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
func TestTheJudgeSeesEachBreach(t *testing.T) {
	ms := int64(time.Millisecond)
	at := func(what, who string, pid int, at, from int64, token uint64) note {
		return note{What: what, Who: who, Pid: pid, At: at * ms, From: from * ms, Token: token}
	}
	ask := func(kind, holder string, call, back int64, asked, token uint64, refusal string) note {
		return note{What: "ask", Kind: kind, Holder: holder, Call: call * ms, Return: back * ms, Asked: asked, Token: token, Refusal: refusal}
	}
	overlap := []note{at("begin", "a", 1, 10, 0, 1), at("begin", "b", 2, 15, 0, 2), at("end", "a", 1, 20, 10, 1), at("end", "b", 2, 25, 15, 2)}
	for _, c := range []struct {
		what                 string
		h                    history
		door, outside, order int
	}{
		{"an old token passes", history{passes: []pass{{1, "a", 1, true}, {2, "b", 2, true}, {3, "a", 1, true}}}, 1, 0, 0},
		{"an old token is refused", history{passes: []pass{{1, "a", 1, true}, {2, "b", 2, true}, {3, "a", 1, false}}}, 0, 0, 0},
		{"two act at once", history{notes: overlap}, 0, 1, 0},
		{"two act at once, one was paused", history{notes: overlap, pauses: []pause{{1, 0, 14 * ms}}}, 0, 0, 0},
		{"two act at once, another was paused", history{notes: overlap, pauses: []pause{{3, 0, 14 * ms}}}, 0, 1, 0},
		{"two act at once, clocks beyond the bound", history{notes: overlap, beyond: true}, 0, 0, 0},
		{"killed in the act", history{notes: overlap[:2], pauses: []pause{{1, 12 * ms, 1 << 62}}}, 0, 0, 0},
		{"one token twice", history{notes: []note{ask("acquire", "a", 1, 2, 0, 1, ""), ask("acquire", "b", 3, 4, 0, 1, "")}}, 0, 0, 1},
		{"tokens go back", history{notes: []note{ask("acquire", "a", 1, 2, 0, 2, ""), ask("acquire", "b", 3, 4, 0, 1, "")}}, 0, 0, 1},
		{"an act after the next grant", history{notes: []note{ask("acquire", "a", 1, 2, 0, 1, ""), ask("acquire", "b", 3, 4, 0, 2, ""),
			ask("do", "a", 5, 6, 1, 1, "")}}, 0, 0, 1},
		{"an act beside the next grant", history{notes: []note{ask("acquire", "a", 1, 2, 0, 1, ""), ask("acquire", "b", 3, 9, 0, 2, ""),
			ask("do", "a", 5, 6, 1, 1, "")}}, 0, 0, 0},
		{"a renewal after the release", history{notes: []note{ask("acquire", "a", 1, 2, 0, 1, ""), ask("release", "a", 3, 4, 1, 0, ""),
			ask("renew", "a", 5, 6, 1, 1, "")}}, 0, 0, 1},
		{"granted while held: it ran out", history{notes: []note{ask("acquire", "a", 1, 2, 0, 1, ""), ask("renew", "a", 3, 4, 1, 1, ""),
			ask("acquire", "b", 5, 6, 0, 5, ""), ask("do", "a", 7, 8, 1, 0, "lapsed")}}, 0, 0, 0},
	} {
		c.h.lease = time.Millisecond
		v := c.h.judge()
		if len(v.door) != c.door || len(v.outside) != c.outside || len(v.order) != c.order {
			t.Errorf("%s: %v, want %d at the door, %d outside, %d in order", c.what, v.broken(), c.door, c.outside, c.order)
		}
	}
}

// build makes the program with the tag faults, once.
func build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "thistlerudder")
	c := exec.Command("go", "build", "-tags", "faults", "-o", path, "../../cmd/thistlerudder")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// The judge of budgets is shown what came, and must see what passes a whole, and only that.
func TestTheJudgeSeesWhatPassesAWhole(t *testing.T) {
	ms := int64(time.Millisecond)
	every := func(span int64, n int) (all []arrival) {
		for i := range n {
			all = append(all, arrival{at: int64(i) * span * ms, end: (int64(i)*span + 25) * ms})
		}
		return all
	}
	rate, number := []bounded{{rate: 100, most: 10}}, []bounded{{most: 3, number: true}}
	for _, c := range []struct {
		what   string
		broken bool
		p      passed
	}{
		{"at its rate", false, judgeRate("", every(10, 300), rate)},
		{"its burst at once", false, judgeRate("", every(0, 10), rate)},
		{"twice its burst at once", true, judgeRate("", every(0, 20), rate)},
		{"a fifth beyond its rate for long", true, judgeRate("", every(8, 300), rate)},
		{"a fifth beyond its rate for a moment", false, judgeRate("", every(8, 30), rate)},
		{"a rate that was lowered", true, judgeRate("", every(10, 300), append(rate, bounded{from: 1000 * ms, rate: 50, most: 5}))},
		{"three at once", false, judgeNumber("", every(10, 50), number)},
		{"four at once", true, judgeNumber("", every(8, 50), number)},
		{"what never ends", true, judgeNumber("", []arrival{{at: 1}, {at: 2}, {at: 3}, {at: 4}}, number)},
		{"two are too many once it is lowered", true, judgeNumber("", every(10, 50), append(number, bounded{from: 100 * ms, most: 2, number: true}))},
	} {
		if (len(c.p.broken) > 0) != c.broken || c.p.windows == 0 {
			t.Errorf("%s: %v, %d windows", c.what, c.p.broken, c.p.windows)
		}
	}
}

const trialVariable = "THISTLERUDDER_TRIAL"

// Real processes, with all kinds of fault in turn. The rules hold in each run; with a safeguard taken out, they don't in
// some. Each kind has a run of its own name: thistlerudder trial leases --only KIND.
func TestProcessesUnderFaults(t *testing.T) {
	if os.Getenv(trialVariable) == "" {
		t.Skip("it wants the cores for itself, and takes some minutes: set " + trialVariable)
	}
	program := build(t)
	for _, c := range []struct {
		args  string
		holds bool
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
			of, args := "leases", strings.Fields(c.args)
			if args[0] == "budgets" {
				of, args = args[0], args[1:]
			}
			x := exec.Command(program, append([]string{"trial", of, "--keep", filepath.Join(os.TempDir(), "rig-kept")}, args...)...)
			out, err := x.CombinedOutput()
			lines := strings.Split(strings.TrimSpace(string(out)), "\n")
			switch {
			case c.holds && err != nil:
				t.Errorf("%v:\n%s", err, out)
			case !c.holds && (err == nil || !strings.Contains(string(out), "broke a rule")):
				t.Errorf("no run shows that it is missing: %v\n%s", err, out)
			default:
				t.Log(fmt.Sprint(lines[max(0, len(lines)-2):]))
			}
		})
	}
}
