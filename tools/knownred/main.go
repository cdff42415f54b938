// Command knownred lets CI pass over the tests that are known to be red, and over nothing else.
//
//	knownred run KNOWN-RED.txt OUTCOMES go test ./...
//	knownred settle KNOWN-RED.txt OUTCOMES
//
// The first runs go test, prints what it prints, and decides by all tests but the listed ones, whose outcomes it adds to
// a file. After the last run the second finds the lines that are no longer true.
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
	runs := &cobra.Command{Use: "run LIST OUTCOMES go test ...", Short: "Run go test; the listed tests don't decide", Args: cobra.MinimumNArgs(4),
		RunE: func(_ *cobra.Command, args []string) error { return runTests(args[0], args[1], args[2:], os.Stdout) }}
	runs.Flags().SetInterspersed(false) // flags after the first argument are go test's
	root.AddCommand(runs, &cobra.Command{Use: "settle LIST OUTCOMES", Short: "Find lines that are no longer true", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return settleLines(args[0], args[1], os.Stdout) }})
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "known red:", err)
		os.Exit(1)
	}
}

// read reads the list.
func read(path string) ([]line, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known, err := parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return known, nil
}

// runTests runs go test as told, with -json, and judges it.
func runTests(list, outcomesPath string, args []string, out io.Writer) error {
	known, err := read(list)
	if err != nil {
		return err
	}
	if args[0] != "go" || args[1] != "test" {
		return fmt.Errorf("expected go test, not %s", strings.Join(args[:2], " "))
	}
	c := exec.Command(args[0], slices.Concat(args[1:2], []string{"-json"}, args[2:])...)
	c.Stderr = os.Stderr
	pipe, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	r, p := &run{}, &printer{out: out, all: slices.Contains(args, "-v")}
	readErr := each(pipe, func(e event) {
		r.add(e)
		p.add(e)
	})
	if err := c.Wait(); err != nil && !errors.As(err, new(*exec.ExitError)) {
		return err
	}
	if readErr != nil {
		return readErr
	}
	faults, outcomes := r.verdict(known, c.ProcessState.ExitCode())
	if err := keep(outcomesPath, outcomes); err != nil {
		return err
	}
	for i, l := range known {
		if outcomes[i] != absent {
			fmt.Fprintf(out, "known red: %s %s here: %s; issue %s\n", l, names[outcomes[i]], l.Cause, l.Issue)
		}
	}
	if len(faults) > 0 {
		return errors.New("these decide:\n\t" + strings.Join(faults, "\n\t"))
	}
	return nil
}

var names = map[outcome]string{absent: "was not there", skipped: "was skipped", passed: "passed", unended: "did not end", failed: "failed"}

// each reads events, one a line. What is none is printed by the printer as it came.
func each(r io.Reader, do func(event)) error {
	lines := bufio.NewReader(r)
	for {
		text, err := lines.ReadString('\n')
		if text != "" {
			e := event{}
			if json.Unmarshal([]byte(text), &e) != nil {
				e = event{Action: "build-output", Output: text}
			}
			do(e)
		}
		if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// printer prints as go test does without -json: closing lines of packages, and all that a failed test said.
type printer struct {
	out io.Writer
	all bool // -v
	// said is what tests said that have not ended, by package and test; only one that failed has it printed.
	said map[[2]string][]string
}

func (p *printer) add(e event) {
	at := [2]string{e.Package, e.Test}
	switch {
	case e.Action == "output" && e.Test != "" && !p.all:
		if p.said == nil {
			p.said = map[[2]string][]string{}
		}
		p.said[at] = append(p.said[at], e.Output)
	case e.Action == "output" && e.Output == "PASS\n" && !p.all:
	case e.Action == "output" || e.Action == "build-output":
		fmt.Fprint(p.out, e.Output)
	case e.Action == "fail" && e.Test == "":
		var rest [][2]string // tests that had no time to end
		for k := range p.said {
			if k[0] == e.Package {
				rest = append(rest, k)
			}
		}
		slices.SortFunc(rest, func(a, b [2]string) int { return strings.Compare(a[1], b[1]) })
		for _, k := range rest {
			fmt.Fprint(p.out, strings.Join(p.said[k], ""))
			delete(p.said, k)
		}
	case e.Action == "fail":
		fmt.Fprint(p.out, strings.Join(p.said[at], ""))
		delete(p.said, at)
	case e.Action == "pass" || e.Action == "skip":
		delete(p.said, at)
	}
}

// keep adds a run's outcomes to a file, one run a line.
func keep(path string, outcomes []outcome) error {
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

// settleLines judges the lines by all runs.
func settleLines(list, outcomesPath string, out io.Writer) error {
	known, err := read(list)
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
			return fmt.Errorf("%s: a run judged %d lines, and the list has %d", outcomesPath, len(outcomes), len(known))
		}
		runs = append(runs, outcomes)
	}
	for i, l := range known {
		var each []string
		for _, outcomes := range runs {
			each = append(each, names[outcomes[i]])
		}
		fmt.Fprintf(out, "known red: %s: %s; %s; issue %s\n", l, strings.Join(each, ", "), l.Cause, l.Issue)
	}
	if faults := settle(known, runs); len(faults) > 0 {
		return errors.New(strings.Join(faults, "\n\t"))
	}
	return nil
}
