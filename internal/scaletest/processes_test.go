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

const trialEnvVariable = "THISTLERUDDER_TRIAL"

// playedBy makes the program with the tag faults, and gives a command of it whose runs keep their files in a folder.
func buildProgram(t *testing.T) (trial func(args ...string) *exec.Cmd, folder string) {
	t.Helper()
	if os.Getenv(trialEnvVariable) == "" {
		t.Skip("it starts some ten processes: set " + trialEnvVariable)
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
func findLeftovers(folder string) (processes, files []string) {
	paths, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range paths {
		environ, _ := os.ReadFile(path)
		if strings.Contains(string(environ), "TMPDIR="+folder) {
			processes = append(processes, filepath.Dir(path))
		}
	}
	files, _ = filepath.Glob(filepath.Join(folder, "scale-*"))
	return processes, files
}

// A small fleet is played, with a zone restarted together and the leader killed; it ends by itself and leaves nothing behind.
func TestProcessesAtScale(t *testing.T) {
	trial, folder := buildProgram(t)
	measurementsPath := filepath.Join(folder, "points.csv")
	var out []byte
	var err error
	for range 3 { // a run on a machine that stood still is void
		_ = os.Remove(measurementsPath)
		out, err = trial("--nodes", "24", "--real", "2", "--servers", "12", "--for", "4s", "--what", "list,lease,budget,configuration,restart,leader",
			"--out", measurementsPath).CombinedOutput()
		if err == nil || !strings.Contains(string(out), "Error: void") {
			break
		}
		t.Logf("%s", out)
	}
	if err != nil {
		t.Fatalf("%v:\n%s", err, out)
	}
	t.Logf("%s", out)
	values := readMeasurements(t, measurementsPath)
	for _, metric := range []string{"peace: node: share of a core %", "peace: real node: bytes sent /s", "peace: leader: share of a core %",
		"peace: other voter: messages sent /s", "peace: discovery: bytes sent /s", "peace: node: live heap KB", "peace: last node: list in force worst ms",
		"peace: last node: configuration in force worst ms", "peace: last node: budget's whole in force worst ms", "peace: node: a renewal p99 ms",
		"restart: last node: list after a start worst ms", "restart: last node: lease after a start worst ms", "leader: last node: lease renewed or had again worst ms"} {
		if values[metric] <= 0 {
			t.Errorf("%s: %g", metric, values[metric])
		}
	}
	if processes, files := findLeftovers(folder); len(processes)+len(files) > 0 {
		t.Errorf("left behind: %v %v", processes, files)
	}
}

// A hollow node alone in its process costs what a real one does: bytes, live heap and processor time within a fifth.
func TestProcessesAtScaleHollowAsReal(t *testing.T) {
	trial, folder := buildProgram(t)
	measurementsPath := filepath.Join(folder, "points.csv")
	out, err := trial("--nodes", "8", "--real", "8", "--servers", "30", "--for", "8s", "--quiet", "--out", measurementsPath).CombinedOutput()
	if err != nil && !strings.Contains(string(out), "Error: void") { // what it costs is told all the same
		t.Fatalf("%v:\n%s", err, out)
	}
	values := readMeasurements(t, measurementsPath)
	for _, metric := range []string{"share of a core %", "bytes sent /s", "bytes received /s", "messages sent /s", "live heap KB", "resident MB"} {
		hollow, realNode := values["peace: node: "+metric], values["peace: real node: "+metric]
		t.Logf("%s: hollow %.4g, real %.4g", metric, hollow, realNode)
		if hollow <= 0 || math.Abs(hollow-realNode) > 0.2*realNode {
			t.Errorf("%s: hollow %g, real %g", metric, hollow, realNode)
		}
	}
}

// pointsOf reads a run's points, by phase, role and what they tell.
func readMeasurements(t *testing.T, path string) map[string]float64 {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	measurements, err := ReadMeasurements(f)
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, m := range measurements {
		values[m.Phase+": "+m.Role+": "+m.Metric] = m.Value
	}
	return values
}

// A run that is interrupted ends at once and leaves nothing behind; one that is killed leaves no process.
func TestProcessesAtScaleEndWithTheirRun(t *testing.T) {
	trial, folder := buildProgram(t)
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		cmd := trial("--nodes", "16", "--real", "1", "--servers", "4", "--for", "1m")
		out, err := cmd.StdoutPipe()
		if err == nil {
			err = cmd.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(out).ReadString('\n'); err != nil { // all have started
			t.Fatal(err)
		}
		if processes, _ := findLeftovers(folder); len(processes) < 10 {
			t.Errorf("%v: only %d processes run", signal, len(processes))
		}
		signalTime := time.Now()
		_ = cmd.Process.Signal(signal)
		if err := cmd.Wait(); err == nil {
			t.Errorf("%v: it says that all was played", signal)
		}
		if took := time.Since(signalTime); took > 15*time.Second {
			t.Errorf("%v: it took %v to end", signal, took)
		}
		var processes, files []string
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			if processes, files = findLeftovers(folder); len(processes) == 0 {
				break
			}
		}
		if len(processes) > 0 || len(files) > 0 && signal != syscall.SIGKILL {
			t.Errorf("%v: left behind: %v %v", signal, processes, files)
		}
	}
}

// What doesn't fit is refused before anything is started.
func TestProcessesAtScaleAreRefusedInTime(t *testing.T) {
	trial, folder := buildProgram(t)
	for args, reason := range map[string]string{
		"--nodes 5000":                " would fit",
		"--nodes 1000000 --what list": " would fit",
		"--what list,purge":           "no mechanism carries purges today",
	} {
		out, err := trial(strings.Fields(args)...).CombinedOutput()
		if err == nil || !strings.Contains(string(out), reason) {
			t.Errorf("%s: %v: %s", args, err, out)
		}
	}
	if processes, files := findLeftovers(folder); len(processes)+len(files) > 0 {
		t.Errorf("left behind: %v %v", processes, files)
	}
}
