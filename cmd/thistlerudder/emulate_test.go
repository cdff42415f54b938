package main

import (
	"bytes"
	"encoding/csv"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestEmulate(t *testing.T) {
	folder := t.TempDir()
	good, bad, out := filepath.Join(folder, "good.toml"), filepath.Join(folder, "bad.toml"), filepath.Join(folder, "out.csv")
	for path, text := range map[string]string{good: "name = \"short\"\nlength = \"3s\"", bad: "length = \"3\""} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	run := func(args ...string) (string, error) {
		var b bytes.Buffer
		c := rootCommand()
		c.SetOut(&b)
		c.SetErr(&b)
		c.SetArgs(append([]string{"emulate"}, args...))
		err := c.Execute()
		return b.String(), err
	}
	text, err := run(good, "--policy", "ranges,random", "--seeds", "2", "--out", out, "--after", "1", "--span", "1")
	if err != nil || strings.Count(text, "short") != 4 || !strings.Contains(text, "fetches after 1 s") {
		t.Errorf("%v\n%s", err, text)
	}
	f, err := os.Open(out)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if lines, err := csv.NewReader(f).ReadAll(); err != nil || len(lines) < 1+4*3 || lines[0][0] != "experiment" {
		t.Errorf("%d lines, %v", len(lines), err)
	}
	for _, c := range []struct {
		want string
		args []string
	}{
		{"line 1, column 10", []string{bad}},
		{"line 1, column 10", []string{"--check", good, bad}},
		{"expected one of [hashing least random ranges]", []string{good, "--policy", "magic"}},
		{"seeds: expected 1 or more", []string{good, "--seeds", "0"}},
		{"no such file", []string{folder + "/none"}},
	} {
		if _, err := run(c.args...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v, want %q", c.args, err, c.want)
		}
	}
	if text, err := run("--check", good); err != nil || text != "1 descriptions are sound\n" {
		t.Errorf("%q %v", text, err)
	}
}
