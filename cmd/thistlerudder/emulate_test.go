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
	validFile, invalidFile, pointsFile := filepath.Join(folder, "good.toml"), filepath.Join(folder, "bad.toml"), filepath.Join(folder, "out.csv")
	for path, text := range map[string]string{validFile: "name = \"short\"\nlength = \"3s\"", invalidFile: "length = \"3\""} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	run := func(args ...string) (string, error) {
		var output bytes.Buffer
		c := rootCommand()
		c.SetOut(&output)
		c.SetErr(&output)
		c.SetArgs(append([]string{"emulate"}, args...))
		err := c.Execute()
		return output.String(), err
	}
	output, err := run(validFile, "--policy", "ranges,random", "--seeds", "2", "--out", pointsFile, "--after", "1", "--span", "1")
	if err != nil || strings.Count(output, "short") != 4 || !strings.Contains(output, "fetches after 1 s") {
		t.Errorf("%v\n%s", err, output)
	}
	f, err := os.Open(pointsFile)
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
		{"line 1, column 10", []string{invalidFile}},
		{"line 1, column 10", []string{"--check", validFile, invalidFile}},
		{"expected one of [hashing least random ranges]", []string{validFile, "--policy", "magic"}},
		{"seeds: expected 1 or more", []string{validFile, "--seeds", "0"}},
		{"no such file", []string{folder + "/none"}},
	} {
		if _, err := run(c.args...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v, want %q", c.args, err, c.want)
		}
	}
	if output, err := run("--check", validFile); err != nil || output != "1 descriptions are sound\n" {
		t.Errorf("%q %v", output, err)
	}
}
