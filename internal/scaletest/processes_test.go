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

// buildProgram builds the program with the tag faults. It returns a function that creates a command that runs the scale test with the
// given arguments, and the folder that these runs use as their temporary directory.
func buildProgram(t *testing.T) (scaleCommand func(args ...string) *exec.Cmd, folder string) {
	t.Helper()
	if os.Getenv(trialEnvVariable) == "" {
		t.Skip("starts about ten processes; to run it, set " + trialEnvVariable)
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

// findRunProcessesAndFiles returns the directories in /proc of running processes whose temporary directory is the folder, and the files
// that runs have in the folder.
func findRunProcessesAndFiles(folder string) (processes, files []string) {
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

// A small run with a zone restart and a killed leader reports the metrics below as values above 0, and leaves no processes or files
// behind.
func TestProcessesAtScale(t *testing.T) {
	scaleCommand, folder := buildProgram(t)
	measurementsPath := filepath.Join(folder, "points.csv")
	var out []byte
	var err error
	for range 3 { // a run is void if it exceeds bounds after the machine did not schedule the test process for longer than maxStall
		_ = os.Remove(measurementsPath)
		out, err = scaleCommand("--nodes", "24", "--real", "2", "--servers", "12", "--for", "4s", "--what", "list,lease,budget,configuration,restart,leader",
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
	if processes, files := findRunProcessesAndFiles(folder); len(processes)+len(files) > 0 {
		t.Errorf("left behind: %v %v", processes, files)
	}
}

// A hollow node that is alone in its process costs as much as a real node: traffic, memory and CPU time differ by at most 20%. With 8
// nodes, each of the 8 racks is a process with one node.
func TestProcessesAtScaleHollowNodeCostsMatchRealNode(t *testing.T) {
	scaleCommand, folder := buildProgram(t)
	measurementsPath := filepath.Join(folder, "points.csv")
	out, err := scaleCommand("--nodes", "8", "--real", "8", "--servers", "30", "--for", "8s", "--quiet", "--out", measurementsPath).CombinedOutput()
	if err != nil && !strings.Contains(string(out), "Error: void") { // a void run still writes its measurements
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

// readMeasurements reads the measurements of a run. The keys have the form "PHASE: ROLE: METRIC".
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

// A run that gets SIGINT or SIGTERM ends within 15 s and leaves no processes or files behind. A run that is killed may leave files, but
// no processes.
func TestProcessesAtScaleEndWithRun(t *testing.T) {
	scaleCommand, folder := buildProgram(t)
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		cmd := scaleCommand("--nodes", "16", "--real", "1", "--servers", "4", "--for", "1m")
		out, err := cmd.StdoutPipe()
		if err == nil {
			err = cmd.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(out).ReadString('\n'); err != nil { // printed once all processes have started
			t.Fatal(err)
		}
		if processes, _ := findRunProcessesAndFiles(folder); len(processes) < 10 {
			t.Errorf("%v: only %d processes are running", signal, len(processes))
		}
		signalTime := time.Now()
		_ = cmd.Process.Signal(signal)
		if err := cmd.Wait(); err == nil {
			t.Errorf("%v: the run reports success", signal)
		}
		if took := time.Since(signalTime); took > 15*time.Second {
			t.Errorf("%v: the run took %v to end", signal, took)
		}
		var processes, files []string
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			if processes, files = findRunProcessesAndFiles(folder); len(processes) == 0 {
				break
			}
		}
		if len(processes) > 0 || len(files) > 0 && signal != syscall.SIGKILL {
			t.Errorf("%v: left behind: %v %v", signal, processes, files)
		}
	}
}

// A plan that does not fit is rejected before any process starts.
func TestProcessesAtScaleRejectOversizedPlan(t *testing.T) {
	scaleCommand, folder := buildProgram(t)
	for args, reason := range map[string]string{
		"--nodes 5000":                " would fit",
		"--nodes 1000000 --what list": " would fit",
		"--what list,purge":           "no mechanism carries purges today",
	} {
		out, err := scaleCommand(strings.Fields(args)...).CombinedOutput()
		if err == nil || !strings.Contains(string(out), reason) {
			t.Errorf("%s: %v: %s", args, err, out)
		}
	}
	if processes, files := findRunProcessesAndFiles(folder); len(processes)+len(files) > 0 {
		t.Errorf("left behind: %v %v", processes, files)
	}
}
