package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/quick"
)

func TestList(t *testing.T) {
	const good = "m/a TestBad: the wait is too long; issue 37\n"
	known, err := parse("\n" + good + "\n")
	if err != nil || len(known) != 1 || known[0] != (line{"m/a", "TestBad", "the wait is too long", "37"}) {
		t.Errorf("got %+v, %v", known, err)
	}
	if known, err := parse(" \n\n"); err != nil || len(known) != 0 {
		t.Errorf("an empty list: got %+v, %v", known, err)
	}
	for _, c := range []struct{ text, want string }{
		{"m/a TestBad\n", "line 1: expected"},
		{"m/a TestBad: cause\n", "line 1: expected"},
		{"m/a TestBad: cause; issue\n", "line 1: expected"},
		{"m/a TestBad: ; issue 3\n", "line 1: expected"},
		{"TestBad: cause; issue 3\n", "line 1: expected"},
		{good + "# a remark\n", "line 2: expected"},
		{good + good, "listed twice"},
		{good + "m/b T: c; issue 1\nm/c T: c; issue 1\nm/d T: c; issue 1\n", "4 tests are listed, and 3 at most"},
	} {
		if _, err := parse(c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %q", c.text, err, c.want)
		}
	}
}

// told makes a run of lines like "fail m/a TestBad", "says m/a TestBad words" and "ends m/a" (with FAIL).
func told(rows ...string) *run {
	r := &run{}
	for _, row := range rows {
		f := strings.SplitN(row, " ", 4)
		e := event{Action: f[0], Package: f[1]}
		if len(f) > 2 {
			e.Test = f[2]
		}
		switch f[0] {
		case "says":
			e.Action, e.Output = "output", f[3]+"\n"
		case "unbuilt":
			e.Action, e.FailedBuild = "fail", f[1]+" ["+f[1]+".test]"
		case "ends":
			r.add(event{Action: "output", Package: f[1], Output: "FAIL\n"})
			r.add(event{Action: "output", Package: f[1], Output: "FAIL\t" + f[1] + "\t0.003s\n"})
			e.Action = "fail"
		}
		r.add(e)
	}
	return r
}

func TestWhatDecides(t *testing.T) {
	bad, part := line{"m/a", "TestBad", "c", "1"}, line{"m/a", "TestSub/x", "c", "1"}
	for _, c := range []struct {
		what  string
		known []line
		run   *run
		code  int
		want  []string // faults
		ended outcome  // of the first line
	}{
		{"all is well", nil, told("run m/a TestBad", "pass m/a TestBad", "pass m/a"), 0, nil, absent},
		{"nothing is passed over without a list", nil, told("run m/a TestBad", "fail m/a TestBad", "ends m/a"), 1, []string{"m/a TestBad failed"}, absent},
		{"a listed test is", []line{bad}, told("run m/a TestBad", "fail m/a TestBad", "ends m/a"), 1, nil, failed},
		{"another beside it decides", []line{bad}, told("run m/a TestBad", "fail m/a TestBad", "run m/a TestB", "fail m/a TestB", "ends m/a"), 1,
			[]string{"m/a TestB failed"}, failed},
		{"a longer name is another test", []line{bad}, told("run m/a TestBadly", "fail m/a TestBadly", "ends m/a"), 1, []string{"m/a TestBadly failed"}, absent},
		{"the same name in another package is another test", []line{bad}, told("run m/b TestBad", "fail m/b TestBad", "ends m/b"), 1,
			[]string{"m/b TestBad failed"}, absent},
		{"another package's fault decides", []line{bad}, told("run m/a TestBad", "fail m/a TestBad", "ends m/a", "run m/b T", "fail m/b T", "ends m/b"), 1,
			[]string{"m/b T failed"}, failed},
		{"a listed test may pass in one run", []line{bad}, told("run m/a TestBad", "pass m/a TestBad", "pass m/a"), 0, nil, passed},
		{"or be skipped", []line{bad}, told("run m/a TestBad", "skip m/a TestBad", "pass m/a"), 0, nil, skipped},
		{"its parts are its own", []line{bad}, told("run m/a TestBad", "run m/a TestBad/x", "fail m/a TestBad/x", "fail m/a TestBad", "ends m/a"), 1, nil, failed},
		{"a listed part fails its whole", []line{part}, told("run m/a TestSub", "run m/a TestSub/x", "fail m/a TestSub/x",
			"says m/a TestSub --- FAIL: TestSub (0.00s)", "fail m/a TestSub", "ends m/a"), 1, nil, failed},
		{"a part beside a listed one decides", []line{part}, told("run m/a TestSub", "run m/a TestSub/x", "fail m/a TestSub/x",
			"run m/a TestSub/y", "fail m/a TestSub/y", "fail m/a TestSub", "ends m/a"), 1, []string{"m/a TestSub/y failed"}, failed},
		{"a whole that says something itself decides", []line{part}, told("run m/a TestSub", "run m/a TestSub/x", "fail m/a TestSub/x",
			"says m/a TestSub     a_test.go:5: too many", "fail m/a TestSub", "ends m/a"), 1, []string{"m/a TestSub failed"}, failed},
		{"a whole that fails without its listed part decides", []line{part}, told("run m/a TestSub", "run m/a TestSub/x", "pass m/a TestSub/x",
			"fail m/a TestSub", "ends m/a"), 1, []string{"m/a TestSub failed"}, passed},
		{"a build that fails decides", []line{bad}, told("unbuilt m/a"), 1, []string{"m/a could not be built"}, absent},
		{"a panic of a listed test takes its package along", []line{bad}, told("run m/a TestBad", "says m/a TestBad panic: x", "fail m/a TestBad", "fail m/a"), 1,
			[]string{"m/a did not run to its end"}, failed},
		{"so does a time-out", []line{bad}, told("run m/a TestBad", "run m/a TestB", "says m/a TestBad panic: test timed out", "fail m/a"), 1,
			[]string{"m/a TestBad did not end", "m/a TestB did not end", "m/a did not run to its end"}, unended},
		{"an exit in the middle too", []line{bad}, told("run m/a TestBad", "fail m/a TestBad", "run m/a TestB", "fail m/a"), 1,
			[]string{"m/a TestB did not end", "m/a did not run to its end"}, failed},
		{"red once of several times is red", nil, told("run m/a T", "fail m/a T", "run m/a T", "pass m/a T", "ends m/a"), 1, []string{"m/a T failed"}, absent},
		{"a package that fails after its tests decides", []line{bad}, told("run m/a TestBad", "pass m/a TestBad", "ends m/a"), 1,
			[]string{"m/a failed, and no test says why"}, passed},
		{"so does go test that says nothing", []line{bad}, told(), 2, []string{"go test ended with 2, and no test says why"}, absent},
	} {
		faults, outcomes := c.run.verdict(c.known, c.code)
		if !slices.Equal(faults, c.want) {
			t.Errorf("%s: got %q, want %q", c.what, faults, c.want)
		}
		if len(c.known) > 0 && outcomes[0] != c.ended {
			t.Errorf("%s: its test %s, want %s", c.what, names[outcomes[0]], names[c.ended])
		}
	}
}

// Whatever some tests of some packages do, what is not listed and failed, or did not end, is named, and nothing else is.
func TestAllElseDecides(t *testing.T) {
	check := func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		r, known, want, code := &run{}, []line(nil), []string(nil), 0
		for p := range 1 + rnd.Intn(3) {
			pkg, bad := fmt.Sprint("m/", p), false
			for i := range rnd.Intn(6) {
				test := fmt.Sprint("Test", i)
				listed := len(known) < linesMost && rnd.Intn(4) == 0
				if listed {
					known = append(known, line{Package: pkg, Test: test})
				}
				r.add(event{Action: "run", Package: pkg, Test: test})
				if rnd.Intn(3) > 0 {
					r.add(event{Action: "pass", Package: pkg, Test: test})
					continue
				}
				r.add(event{Action: "fail", Package: pkg, Test: test})
				if bad = true; !listed {
					want = append(want, pkg+" "+test+" failed")
				}
			}
			if end := (event{Action: "pass", Package: pkg}); bad {
				r.add(event{Action: "output", Package: pkg, Output: "FAIL\n"})
				end.Action, code = "fail", 1
				r.add(end)
			}
		}
		got, _ := r.verdict(known, code)
		if !slices.Equal(got, want) {
			t.Logf("seed %d, listed %v: got %q, want %q", seed, known, got, want)
		}
		return slices.Equal(got, want)
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 2000, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// A line stands as long as its test is red in one of CI's runs.
func TestLinesThatAreNoLongerTrue(t *testing.T) {
	for _, c := range []struct {
		runs []outcome
		want string
	}{
		{[]outcome{failed, failed, absent}, ""},
		{[]outcome{passed, failed, absent}, ""},
		{[]outcome{failed, passed}, ""},
		{[]outcome{skipped, skipped, failed}, ""},
		{[]outcome{passed, passed, absent}, "passed in each run"},
		{[]outcome{passed, skipped}, "passed in each run"},
		{[]outcome{absent, absent, absent}, "no such test"},
		{[]outcome{skipped, absent}, "was skipped"},
		{nil, "no such test"},
	} {
		var runs [][]outcome
		for _, o := range c.runs {
			runs = append(runs, []outcome{failed, o})
		}
		if len(runs) == 0 {
			if faults := settle([]line{{Package: "m/a", Test: "T"}}, nil); len(faults) != 1 || !strings.Contains(faults[0], c.want) {
				t.Errorf("no runs: got %q, want %q", faults, c.want)
			}
			continue
		}
		faults := settle([]line{{Package: "m/a", Test: "TestOther"}, {Package: "m/a", Test: "TestBad"}}, runs)
		if c.want == "" && len(faults) > 0 || c.want != "" && (len(faults) != 1 || !strings.Contains(faults[0], "m/a TestBad") || !strings.Contains(faults[0], c.want)) {
			t.Errorf("%v: got %q, want %q", c.runs, faults, c.want)
		}
	}
}

// The go command itself: what it says of a red test, a panic and a build that fails is what the cases above take for granted.
func TestOnTheGoCommand(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("go.mod", "module m\n\ngo 1.26\n")
	write("a/a_test.go", "package a\nimport \"testing\"\nfunc TestBad(t *testing.T) { t.Error(\"it is red\") }\n"+
		"func TestGood(t *testing.T) { t.Log(\"not to be seen\") }\n")
	write("b/b_test.go", "package b\nimport \"testing\"\nfunc TestDies(t *testing.T) { panic(\"gone\") }\nfunc TestLater(t *testing.T) {}\n")
	write("c/c_test.go", "package c\nimport \"testing\"\nfunc TestX(t *testing.T) { nothing() }\n")
	t.Chdir(dir)
	t.Setenv("GOFLAGS", "") // not CI's: there is no module to read
	t.Setenv("GOWORK", "off")
	try := func(list string, args ...string) (string, error) {
		write("list", list)
		out := &bytes.Buffer{}
		err := runTests("list", "outcomes", append([]string{"go", "test"}, args...), out)
		return out.String(), err
	}
	const bad = "m/a TestBad: c; issue 1\n"
	out, err := try(bad, "./a")
	for _, want := range []string{"a_test.go:3: it is red\n", "--- FAIL: TestBad (", "\nFAIL\tm/a\t", "known red: m/a TestBad failed here: c; issue 1\n"} {
		if !strings.Contains(out, want) {
			t.Errorf("printed %q, want %q in it", out, want)
		}
	}
	if err != nil || strings.Contains(out, "not to be seen") {
		t.Errorf("a listed red test: %v, printed %q", err, out)
	}
	if err := settleLines("list", "outcomes", &bytes.Buffer{}); err != nil {
		t.Errorf("its line is true: %v", err)
	}
	if _, err := try("", "./a"); err == nil || !strings.Contains(err.Error(), "m/a TestBad failed") {
		t.Errorf("an empty list: %v", err)
	}
	out, err = try(bad+"m/b TestDies: c; issue 1\nm/c TestX: c; issue 1\n", "./...")
	for _, want := range []string{"m/b did not run to its end", "m/c could not be built"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
	if !strings.Contains(out, "undefined: nothing") || !strings.Contains(out, "panic: gone") {
		t.Errorf("printed %q", out)
	}
	if out, err = try(bad, "./none"); err == nil {
		t.Errorf("no such package: it passed and printed %q", out)
	}
	if out, err = try(bad, "-run", "TestGood", "./a"); err != nil || !strings.Contains(out, "ok  \tm/a\t") {
		t.Errorf("all is well: %v, printed %q", err, out)
	}
	if err := runTests("list", "outcomes", []string{"go", "vet", "./a"}, &bytes.Buffer{}); err == nil {
		t.Error("go vet was taken for go test")
	}
}
