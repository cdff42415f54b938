package main

import (
	"fmt"
	"regexp"
	"strings"
)

// linesMost bounds the list: it is for faults that a sitting could not mend, and the next one mends first.
const linesMost = 3

// line names a test that may be red for now.
type line struct{ Package, Test, Cause, Issue string }

func (l line) String() string { return l.Package + " " + l.Test }

// covers says whether a failure of a test is that of the line's, or of a part of it.
func (l line) covers(pkg, test string) bool {
	return pkg == l.Package && (test == l.Test || strings.HasPrefix(test, l.Test+"/"))
}

var lineForm = regexp.MustCompile(`^(\S+) (\S+): (.*\S); issue (\d+)$`)

// parse reads the list. Empty lines are left out.
func parse(text string) (known []line, err error) {
	seen := map[string]bool{}
	for i, row := range strings.Split(text, "\n") {
		row = strings.TrimSpace(row)
		if row == "" {
			continue
		}
		m := lineForm.FindStringSubmatch(row)
		if m == nil {
			return nil, fmt.Errorf("line %d: expected \"PACKAGE TEST: CAUSE; issue NUMBER\", not %q", i+1, row)
		}
		l := line{m[1], m[2], m[3], m[4]}
		if seen[l.String()] {
			return nil, fmt.Errorf("line %d: %s is listed twice", i+1, l)
		}
		seen[l.String()] = true
		known = append(known, l)
	}
	if len(known) > linesMost {
		return nil, fmt.Errorf("%d tests are listed, and %d at most may be", len(known), linesMost)
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
	unended // it began, and the process was gone before it ended
	failed
)

var ends = map[string]outcome{"run": unended, "skip": skipped, "pass": passed, "fail": failed}

// packet is what a run knows of a package.
type packet struct {
	tests   map[string]outcome
	started []string        // its tests, in the order of their starts
	own     map[string]bool // tests that wrote something themselves, beside go test's framing
	failed  bool
	build   bool   // it could not be built
	last    string // what the test process itself wrote last
}

// run gathers what a run of go test told.
type run struct {
	packets map[string]*packet
	names   []string // of packages, in the order in which they came
}

var framing = regexp.MustCompile(`^\s*(=== (RUN|PAUSE|CONT|NAME) |--- (FAIL|PASS|SKIP): )`)

// add takes one more event.
func (r *run) add(e event) {
	if e.Package == "" {
		return // of a build: the package's own end tells that it failed
	}
	p := r.packets[e.Package]
	if p == nil {
		p = &packet{tests: map[string]outcome{}, own: map[string]bool{}}
		if r.packets == nil {
			r.packets = map[string]*packet{}
		}
		r.packets[e.Package] = p
		r.names = append(r.names, e.Package)
	}
	switch end, ok := ends[e.Action]; {
	case e.Action == "output" && e.Test == "" && !strings.HasPrefix(e.Output, "FAIL\t"):
		p.last = e.Output
	case e.Action == "output" && e.Test != "" && !framing.MatchString(e.Output):
		p.own[e.Test] = true
	case ok && e.Test == "" && end == failed:
		p.failed, p.build = true, e.FailedBuild != ""
	case ok && e.Test != "":
		was, begun := p.tests[e.Test]
		if !begun {
			p.started = append(p.started, e.Test)
		}
		if was == unended || end > was {
			p.tests[e.Test] = end
		}
	}
}

// verdict says what decides against a run that ended with a code, and how each listed test ended in it.
func (r *run) verdict(known []line, code int) (faults []string, outcomes []outcome) {
	outcomes = make([]outcome, len(known))
	for i, l := range known {
		if p := r.packets[l.Package]; p != nil {
			outcomes[i] = p.tests[l.Test]
		}
	}
	explained := false
	for _, name := range r.names {
		p, red := r.packets[name], false
		for _, test := range p.started {
			end := p.tests[test]
			red = red || end >= unended
			if end == unended {
				faults = append(faults, name+" "+test+" did not end")
			} else if end == failed && !p.excused(known, name, test) {
				faults = append(faults, name+" "+test+" failed")
			}
		}
		switch {
		case !p.failed:
		case p.build:
			faults = append(faults, name+" could not be built")
		case p.last != "FAIL\n":
			// A panic, a time-out or an exit takes the tests along that had not begun: nobody knows how they are.
			faults = append(faults, name+" did not run to its end")
		case !red:
			faults = append(faults, name+" failed, and no test says why")
		}
		explained = explained || p.failed
	}
	if code != 0 && !explained && len(faults) == 0 {
		faults = append(faults, fmt.Sprintf("go test ended with %d, and no test says why", code))
	}
	return faults, outcomes
}

// excused says whether a listed test accounts for a failure. A listed part fails its whole along with it; that is passed
// over only where the whole has written nothing itself, since one that failed of its own would have said so.
func (p *packet) excused(known []line, pkg, test string) bool {
	for _, l := range known {
		part := pkg == l.Package && strings.HasPrefix(l.Test, test+"/") && p.tests[l.Test] == failed && !p.own[test]
		if part || l.covers(pkg, test) {
			return true
		}
	}
	return false
}

// settle says which lines must go, by the outcomes in all runs. A line stands as long as its test is red in one of them: what
// is red only under the race detector, or only without, is still a fault to be mended.
func settle(known []line, runs [][]outcome) (faults []string) {
	for i, l := range known {
		best := absent
		for _, outcomes := range runs {
			best = max(best, outcomes[i])
		}
		switch best {
		case absent:
			faults = append(faults, l.String()+" is listed, and there is no such test in any run")
		case skipped:
			faults = append(faults, l.String()+" is listed, and was skipped wherever it was asked for")
		case passed:
			faults = append(faults, l.String()+" is listed, and passed in each run: take its line out")
		}
	}
	return faults
}
