package scaletest

import (
	"bufio"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const trialVariable = "THISTLERUDDER_TRIAL"

// playedBy makes the program with the tag faults, and gives a command of it whose runs keep their files in a folder.
func playedBy(t *testing.T) (trial func(args ...string) *exec.Cmd, folder string) {
	t.Helper()
	if os.Getenv(trialVariable) == "" {
		t.Skip("it starts some ten processes: set " + trialVariable)
	}
	path := filepath.Join(t.TempDir(), "thistlerudder")
	if out, err := exec.Command("go", "build", "-tags", "faults", "-o", path, "../../cmd/thistlerudder").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	folder = t.TempDir()
	return func(args ...string) *exec.Cmd {
		c := exec.Command(path, append([]string{"trial", "scale"}, args...)...)
		c.Env = append(os.Environ(), "TMPDIR="+folder)
		return c
	}, folder
}

// leftOver gives the processes that were started for a folder, and the files in it.
func leftOver(folder string) (processes, files []string) {
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range all {
		b, _ := os.ReadFile(path)
		if strings.Contains(string(b), "TMPDIR="+folder) {
			processes = append(processes, filepath.Dir(path))
		}
	}
	files, _ = filepath.Glob(filepath.Join(folder, "scale-*"))
	return processes, files
}

// A small fleet is played, with a zone restarted together and the leader killed; it ends by itself and leaves nothing behind.
func TestProcessesAtScale(t *testing.T) {
	trial, folder := playedBy(t)
	points := filepath.Join(folder, "points.csv")
	var out []byte
	var err error
	for range 3 { // a run on a machine that stood still is void
		_ = os.Remove(points)
		out, err = trial("--nodes", "24", "--real", "2", "--servers", "12", "--for", "4s", "--what", "list,lease,budget,configuration,restart,leader",
			"--out", points).CombinedOutput()
		if err == nil || !strings.Contains(string(out), "Error: void") {
			break
		}
		t.Logf("%s", out)
	}
	if err != nil {
		t.Fatalf("%v:\n%s", err, out)
	}
	t.Logf("%s", out)
	have := pointsOf(t, points)
	for _, what := range []string{"peace: node: share of a core %", "peace: real node: bytes sent /s", "peace: leader: share of a core %",
		"peace: other voter: messages sent /s", "peace: discovery: bytes sent /s", "peace: node: live heap KB", "peace: last node: list in force worst ms",
		"peace: last node: configuration in force worst ms", "peace: last node: budget's whole in force worst ms", "peace: node: a renewal p99 ms",
		"restart: last node: list after a start worst ms", "restart: last node: lease after a start worst ms", "leader: last node: lease renewed or had again worst ms"} {
		if have[what] <= 0 {
			t.Errorf("%s: %g", what, have[what])
		}
	}
	if p, f := leftOver(folder); len(p)+len(f) > 0 {
		t.Errorf("left behind: %v %v", p, f)
	}
}

// A hollow node alone in its process costs what a real one does: bytes, live heap and processor time within a fifth.
func TestProcessesAtScaleHollowAsReal(t *testing.T) {
	trial, folder := playedBy(t)
	points := filepath.Join(folder, "points.csv")
	out, err := trial("--nodes", "8", "--real", "8", "--servers", "30", "--for", "8s", "--quiet", "--out", points).CombinedOutput()
	if err != nil && !strings.Contains(string(out), "Error: void") { // what it costs is told all the same
		t.Fatalf("%v:\n%s", err, out)
	}
	have := pointsOf(t, points)
	for _, what := range []string{"share of a core %", "bytes sent /s", "bytes received /s", "messages sent /s", "live heap KB", "resident MB"} {
		hollow, genuine := have["peace: node: "+what], have["peace: real node: "+what]
		t.Logf("%s: hollow %.4g, real %.4g", what, hollow, genuine)
		if hollow <= 0 || math.Abs(hollow-genuine) > 0.2*genuine {
			t.Errorf("%s: hollow %g, real %g", what, hollow, genuine)
		}
	}
}

// pointsOf reads a run's points, by phase, role and what they tell.
func pointsOf(t *testing.T, path string) map[string]float64 {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	all, err := ReadPoints(f)
	if err != nil {
		t.Fatal(err)
	}
	have := map[string]float64{}
	for _, p := range all {
		have[p.Phase+": "+p.Role+": "+p.What] = p.Value
	}
	return have
}

// A run that is interrupted ends at once and leaves nothing behind; one that is killed leaves no process.
func TestProcessesAtScaleEndWithTheirRun(t *testing.T) {
	trial, folder := playedBy(t)
	for _, s := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		c := trial("--nodes", "16", "--real", "1", "--servers", "4", "--for", "1m")
		out, err := c.StdoutPipe()
		if err == nil {
			err = c.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(out).ReadString('\n'); err != nil { // all have started
			t.Fatal(err)
		}
		if p, _ := leftOver(folder); len(p) < 10 {
			t.Errorf("%v: only %d processes run", s, len(p))
		}
		began := time.Now()
		_ = c.Process.Signal(s)
		if err := c.Wait(); err == nil {
			t.Errorf("%v: it says that all was played", s)
		}
		if took := time.Since(began); took > 15*time.Second {
			t.Errorf("%v: it took %v to end", s, took)
		}
		var p, f []string
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if p, f = leftOver(folder); len(p) == 0 {
				break
			}
		}
		if len(p) > 0 || len(f) > 0 && s != syscall.SIGKILL {
			t.Errorf("%v: left behind: %v %v", s, p, f)
		}
	}
}

// What doesn't fit is refused before anything is started.
func TestProcessesAtScaleAreRefusedInTime(t *testing.T) {
	trial, folder := playedBy(t)
	for args, why := range map[string]string{
		"--nodes 5000":                " would fit",
		"--nodes 1000000 --what list": " would fit",
		"--what list,purge":           "no mechanism carries purges today",
	} {
		out, err := trial(strings.Fields(args)...).CombinedOutput()
		if err == nil || !strings.Contains(string(out), why) {
			t.Errorf("%s: %v: %s", args, err, out)
		}
	}
	if p, f := leftOver(folder); len(p)+len(f) > 0 {
		t.Errorf("left behind: %v %v", p, f)
	}
}
