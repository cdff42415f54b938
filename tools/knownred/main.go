// Command knownred runs go test in CI and ignores failures of the tests that are known to fail, but no others.
//
//	knownred run KNOWN-RED.txt OUTCOMES go test ./...
//	knownred settle KNOWN-RED.txt OUTCOMES
//
// The first form runs go test, prints its output, and fails if a test that is not listed fails. It appends the outcomes of the
// listed tests to the file OUTCOMES. The second form, after the last run, fails if a listed test no longer fails in any run.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "knownred", SilenceUsage: true, SilenceErrors: true}
	runCmd := &cobra.Command{Use: "run LIST OUTCOMES go test ...", Short: "Run go test and ignore failures of the listed tests", Args: cobra.MinimumNArgs(4),
		RunE: func(_ *cobra.Command, args []string) error { return runTests(args[0], args[1], args[2:], os.Stdout) }}
	runCmd.Flags().SetInterspersed(false) // flags after the first argument belong to go test
	root.AddCommand(runCmd, &cobra.Command{Use: "settle LIST OUTCOMES", Short: "Find listed tests that no longer fail", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return checkList(args[0], args[1], os.Stdout) }})
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "known red:", err)
		os.Exit(1)
	}
}

// readList reads the list from a file.
func readList(path string) ([]knownFailure, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known, err := parseList(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return known, nil
}

// runTests runs go test with the given arguments and -json, prints its output, and returns an error if a test that is not listed
// failed.
func runTests(listPath, outcomesPath string, args []string, w io.Writer) error {
	known, err := readList(listPath)
	if err != nil {
		return err
	}
	if args[0] != "go" || args[1] != "test" {
		return fmt.Errorf("expected go test, not %s", strings.Join(args[:2], " "))
	}
	cmd := exec.Command(args[0], slices.Concat(args[1:2], []string{"-json"}, args[2:])...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	r, p := &testRun{}, &printer{w: w, verbose: slices.Contains(args, "-v")}
	readErr := readEvents(stdout, func(e event) {
		r.add(e)
		p.add(e)
	})
	if err := cmd.Wait(); err != nil && !errors.As(err, new(*exec.ExitError)) {
		return err
	}
	if readErr != nil {
		return readErr
	}
	problems, outcomes := r.evaluate(known, cmd.ProcessState.ExitCode())
	if err := appendOutcomes(outcomesPath, outcomes); err != nil {
		return err
	}
	for i, k := range known {
		if outcomes[i] != absent {
			fmt.Fprintf(w, "known red: %s %s here: %s; issue %s\n", k, outcomeNames[outcomes[i]], k.Cause, k.Issue)
		}
	}
	if len(problems) > 0 {
		return errors.New("failures that the list does not cover:\n\t" + strings.Join(problems, "\n\t"))
	}
	return nil
}

// outcomeNames are the names of outcomes in the output.
var outcomeNames = map[outcome]string{absent: "was not there", skipped: "was skipped", passed: "passed", unfinished: "did not end", failed: "failed"}

// readEvents reads events, one per line, and calls handle for each. A line that is no event becomes output to print.
func readEvents(r io.Reader, handle func(event)) error {
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			e := event{}
			if json.Unmarshal([]byte(line), &e) != nil {
				e = event{Action: "build-output", Output: line}
			}
			handle(e)
		}
		if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// printer prints what go test prints without -json: the summary lines of packages and the output of failed tests, or with -v all
// output.
type printer struct {
	w       io.Writer
	verbose bool // go test has the flag -v
	// pendingOutput is the output of tests that have not ended, by package and test. It is printed when the test fails.
	pendingOutput map[[2]string][]string
}

// add prints the event, or keeps its output until the test ends.
func (p *printer) add(e event) {
	key := [2]string{e.Package, e.Test}
	switch {
	case e.Action == "output" && e.Test != "" && !p.verbose:
		if p.pendingOutput == nil {
			p.pendingOutput = map[[2]string][]string{}
		}
		p.pendingOutput[key] = append(p.pendingOutput[key], e.Output)
	case e.Action == "output" && e.Output == "PASS\n" && !p.verbose:
	case e.Action == "output" || e.Action == "build-output":
		fmt.Fprint(p.w, e.Output)
	case e.Action == "fail" && e.Test == "":
		var unfinished [][2]string // tests that the end of the process interrupted
		for k := range p.pendingOutput {
			if k[0] == e.Package {
				unfinished = append(unfinished, k)
			}
		}
		slices.SortFunc(unfinished, func(a, b [2]string) int { return strings.Compare(a[1], b[1]) })
		for _, k := range unfinished {
			fmt.Fprint(p.w, strings.Join(p.pendingOutput[k], ""))
			delete(p.pendingOutput, k)
		}
	case e.Action == "fail":
		fmt.Fprint(p.w, strings.Join(p.pendingOutput[key], ""))
		delete(p.pendingOutput, key)
	case e.Action == "pass" || e.Action == "skip":
		delete(p.pendingOutput, key)
	}
}

// appendOutcomes appends the outcomes of a run to a file as one line of JSON.
func appendOutcomes(path string, outcomes []outcome) error {
	text, err := json.Marshal(outcomes)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	_, err = f.Write(append(text, '\n'))
	return errors.Join(err, f.Close())
}

// checkList prints the outcomes of each listed test in all runs, and returns an error if one no longer fails in any of them.
func checkList(listPath, outcomesPath string, w io.Writer) error {
	known, err := readList(listPath)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(outcomesPath)
	if err != nil {
		return err
	}
	var runs [][]outcome
	for d := json.NewDecoder(strings.NewReader(string(text))); d.More(); {
		outcomes := []outcome(nil)
		if err := d.Decode(&outcomes); err != nil {
			return fmt.Errorf("%s: %w", outcomesPath, err)
		}
		if len(outcomes) != len(known) {
			return fmt.Errorf("%s: a run has outcomes of %d tests, but the list has %d", outcomesPath, len(outcomes), len(known))
		}
		runs = append(runs, outcomes)
	}
	for i, k := range known {
		var results []string
		for _, outcomes := range runs {
			results = append(results, outcomeNames[outcomes[i]])
		}
		fmt.Fprintf(w, "known red: %s: %s; %s; issue %s\n", k, strings.Join(results, ", "), k.Cause, k.Issue)
	}
	if problems := staleLines(known, runs); len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n\t"))
	}
	return nil
}
