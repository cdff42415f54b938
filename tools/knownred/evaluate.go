package main

import (
	"fmt"
	"regexp"
	"strings"
)

// maxKnownFailures bounds the list. It is for faults that could not be fixed when they were found, and that are fixed before other work.
const maxKnownFailures = 4

// knownFailure is a line of the list: a test that may fail for now, the cause, and the number of its issue.
type knownFailure struct {
	Package, Test, Cause, Issue string
	Intermittent                bool // the test fails in some runs and passes in others
}

// String returns the package and the test.
func (k knownFailure) String() string { return k.Package + " " + k.Test }

// covers reports whether a test is the listed one or one of its subtests.
func (k knownFailure) covers(pkg, testName string) bool {
	return pkg == k.Package && (testName == k.Test || strings.HasPrefix(testName, k.Test+"/"))
}

// intermittentMark follows the name of a test that fails in some runs and passes in others.
const intermittentMark = " at times"

var lineFormat = regexp.MustCompile(`^(\S+) (\S+)(` + intermittentMark + `)?: (.*\S); issue (\d+)$`)

// parseList parses the list. It skips empty lines.
func parseList(text string) (known []knownFailure, err error) {
	seen := map[string]bool{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		m := lineFormat.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("line %d: expected \"PACKAGE TEST: CAUSE; issue NUMBER\" or \"PACKAGE TEST at times: CAUSE; issue NUMBER\", not %q", i+1, line)
		}
		k := knownFailure{Package: m[1], Test: m[2], Cause: m[4], Issue: m[5], Intermittent: m[3] != ""}
		if seen[k.String()] {
			return nil, fmt.Errorf("line %d: %s is listed twice", i+1, k)
		}
		seen[k.String()] = true
		known = append(known, k)
	}
	if len(known) > maxKnownFailures {
		return nil, fmt.Errorf("%d tests are listed, and %d at most may be", len(known), maxKnownFailures)
	}
	return known, nil
}

// event is an event that go test -json prints as one line.
type event struct {
	Action, Package, Test, Output string
	FailedBuild                   string
}

// outcome is how a test ended in a run, from best to worst. If a test ran more than once, its worst outcome counts.
type outcome int

const (
	absent outcome = iota // no test of that name exists, or the run did not select it
	skipped
	passed
	unfinished // the test started, and the process ended before the test did
	failed
)

var outcomeByAction = map[string]outcome{"run": unfinished, "skip": skipped, "pass": passed, "fail": failed}

// packageResult holds the results of a package in a run.
type packageResult struct {
	outcomes    map[string]outcome
	startOrder  []string        // names of its tests, in the order in which they started
	wroteOutput map[string]bool // tests that wrote output of their own, which excludes the framing lines of go test
	failed      bool
	buildFailed bool   // the package could not be built
	lastOutput  string // last output of the test process itself
}

// testRun collects the events of a run of go test.
type testRun struct {
	packages     map[string]*packageResult
	packageNames []string // in the order of their first events
}

var framingLine = regexp.MustCompile(`^\s*(=== (RUN|PAUSE|CONT|NAME) |--- (FAIL|PASS|SKIP): )`)

// add adds an event.
func (r *testRun) add(e event) {
	if e.Package == "" {
		return // an event of a build; if it fails, the last event of the package says so
	}
	p := r.packages[e.Package]
	if p == nil {
		p = &packageResult{outcomes: map[string]outcome{}, wroteOutput: map[string]bool{}}
		if r.packages == nil {
			r.packages = map[string]*packageResult{}
		}
		r.packages[e.Package] = p
		r.packageNames = append(r.packageNames, e.Package)
	}
	switch outcome, ok := outcomeByAction[e.Action]; {
	case e.Action == "output" && e.Test == "" && !strings.HasPrefix(e.Output, "FAIL\t"):
		p.lastOutput = e.Output
	case e.Action == "output" && e.Test != "" && !framingLine.MatchString(e.Output):
		p.wroteOutput[e.Test] = true
	case ok && e.Test == "" && outcome == failed:
		p.failed, p.buildFailed = true, e.FailedBuild != ""
	case ok && e.Test != "":
		previous, started := p.outcomes[e.Test]
		if !started {
			p.startOrder = append(p.startOrder, e.Test)
		}
		if previous == unfinished || outcome > previous {
			p.outcomes[e.Test] = outcome
		}
	}
}

// evaluate returns the failures that the list does not cover, and the outcome of each listed test. The run ended with exitCode.
func (r *testRun) evaluate(known []knownFailure, exitCode int) (problems []string, outcomes []outcome) {
	outcomes = make([]outcome, len(known))
	for i, k := range known {
		if p := r.packages[k.Package]; p != nil {
			outcomes[i] = p.outcomes[k.Test]
		}
	}
	explained := false
	for _, name := range r.packageNames {
		p, anyFailed := r.packages[name], false
		for _, test := range p.startOrder {
			outcome := p.outcomes[test]
			anyFailed = anyFailed || outcome >= unfinished
			if outcome == unfinished {
				problems = append(problems, name+" "+test+" did not end")
			} else if outcome == failed && !p.explainedByList(known, name, test) {
				problems = append(problems, name+" "+test+" failed")
			}
		}
		switch {
		case !p.failed:
		case p.buildFailed:
			problems = append(problems, name+" could not be built")
		case p.lastOutput != "FAIL\n":
			// After a panic, a timeout or an exit the tests that had not started have no outcome.
			problems = append(problems, name+" did not run to its end")
		case !anyFailed:
			problems = append(problems, name+" failed, and no test says why")
		}
		explained = explained || p.failed
	}
	if exitCode != 0 && !explained && len(problems) == 0 {
		problems = append(problems, fmt.Sprintf("go test ended with %d, and no test says why", exitCode))
	}
	return problems, outcomes
}

// explainedByList reports whether a listed test accounts for a failure. A listed subtest that fails makes its parent fail too. This
// is accepted only if the parent wrote no output of its own, because a parent that failed for another reason would have.
func (p *packageResult) explainedByList(known []knownFailure, pkg, test string) bool {
	for _, k := range known {
		listedSubtestFailed := pkg == k.Package && strings.HasPrefix(k.Test, test+"/") && p.outcomes[k.Test] == failed && !p.wroteOutput[test]
		if listedSubtestFailed || k.covers(pkg, test) {
			return true
		}
	}
	return false
}

// staleLines returns the lines to remove, given the outcomes of all runs. A line stays as long as its test fails in one of them: a
// test that fails only under the race detector, or only without it, still shows a fault. The line of an intermittent test also stays
// if the test passes in all of them, since that does not show that the fault is gone.
func staleLines(known []knownFailure, runs [][]outcome) (problems []string) {
	for i, k := range known {
		worst := absent
		for _, outcomes := range runs {
			worst = max(worst, outcomes[i])
		}
		switch {
		case worst == absent:
			problems = append(problems, k.String()+" is listed, but there is no such test in any run")
		case worst == skipped:
			problems = append(problems, k.String()+" is listed, but was skipped in each run that selected it")
		case worst == passed && !k.Intermittent:
			problems = append(problems, k.String()+" is listed, but passed in each run: remove its line")
		}
	}
	return problems
}
