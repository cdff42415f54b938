package main

import (
	"fmt"
	"regexp"
	"strings"
)

// linesMost bounds the list: it is for faults that a sitting could not mend, and the next one mends first.
const maxKnownFailures = 3

// line names a test that may be red for now.
type knownFailure struct{ Package, Test, Cause, Issue string }

func (k knownFailure) String() string { return k.Package + " " + k.Test }

// covers says whether a failure of a test is that of the line's, or of a part of it.
func (k knownFailure) covers(pkg, testName string) bool {
	return pkg == k.Package && (testName == k.Test || strings.HasPrefix(testName, k.Test+"/"))
}

var lineFormat = regexp.MustCompile(`^(\S+) (\S+): (.*\S); issue (\d+)$`)

// parse reads the list. Empty lines are left out.
func parseList(text string) (known []knownFailure, err error) {
	seen := map[string]bool{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		m := lineFormat.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("line %d: expected \"PACKAGE TEST: CAUSE; issue NUMBER\", not %q", i+1, line)
		}
		k := knownFailure{m[1], m[2], m[3], m[4]}
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

// event is what go test -json says, one a line.
type event struct {
	Action, Package, Test, Output string
	FailedBuild                   string
}

// outcome is how a test ended in a run. The worse one stands where it ran more than once.
type outcome int

const (
	absent outcome = iota // there is none of that name, or the run did not ask for it
	skipped
	passed
	unfinished // it began, and the process was gone before it ended
	failed
)

var outcomeByAction = map[string]outcome{"run": unfinished, "skip": skipped, "pass": passed, "fail": failed}

// packet is what a run knows of a package.
type packageResult struct {
	outcomes    map[string]outcome
	startOrder  []string        // its tests, in the order of their starts
	wroteOutput map[string]bool // tests that wrote something themselves, beside go test's framing
	failed      bool
	buildFailed bool   // it could not be built
	lastOutput  string // what the test process itself wrote last
}

// run gathers what a run of go test told.
type testRun struct {
	packages     map[string]*packageResult
	packageNames []string // of packages, in the order in which they came
}

var framingLine = regexp.MustCompile(`^\s*(=== (RUN|PAUSE|CONT|NAME) |--- (FAIL|PASS|SKIP): )`)

// add takes one more event.
func (r *testRun) add(e event) {
	if e.Package == "" {
		return // of a build: the package's own end tells that it failed
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

// verdict says what decides against a run that ended with a code, and how each listed test ended in it.
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
			// A panic, a time-out or an exit takes the tests along that had not begun: nobody knows how they are.
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

// excused says whether a listed test accounts for a failure. A listed part fails its whole along with it; that is passed
// over only where the whole has written nothing itself, since one that failed of its own would have said so.
func (p *packageResult) explainedByList(known []knownFailure, pkg, test string) bool {
	for _, k := range known {
		listedSubtestFailed := pkg == k.Package && strings.HasPrefix(k.Test, test+"/") && p.outcomes[k.Test] == failed && !p.wroteOutput[test]
		if listedSubtestFailed || k.covers(pkg, test) {
			return true
		}
	}
	return false
}

// settle says which lines must go, by the outcomes in all runs. A line stands as long as its test is red in one of them: what
// is red only under the race detector, or only without, is still a fault to be mended.
func staleLines(known []knownFailure, runs [][]outcome) (problems []string) {
	for i, k := range known {
		worst := absent
		for _, outcomes := range runs {
			worst = max(worst, outcomes[i])
		}
		switch worst {
		case absent:
			problems = append(problems, k.String()+" is listed, and there is no such test in any run")
		case skipped:
			problems = append(problems, k.String()+" is listed, and was skipped wherever it was asked for")
		case passed:
			problems = append(problems, k.String()+" is listed, and passed in each run: take its line out")
		}
	}
	return problems
}
