package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestMoment(t *testing.T) {
	if zero := Moment(0); zero.Since() < time.Hour || !zero.Time().Before(time.Now().Add(-time.Hour)) {
		t.Error("the zero moment is less than an hour ago")
	}
	before := time.Now()
	m := Now()
	after := time.Now()
	if got := m.Time(); got.Before(before) || got.After(after) {
		t.Errorf("%v is not between %v and %v", got, before, after)
	}
	if m.Since() < 0 || m.Since() > time.Second {
		t.Errorf("Since returned %v right after Now", m.Since())
	}
	if strings.Contains(Wall().String(), "m=") {
		t.Error("Wall returned a time with a monotonic reading")
	}
}

// wallClockMethods are the methods of time.Time that drop the monotonic reading or return the wall clock time.
var wallClockMethods = []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro", "Truncate"}

// wallClockFiles are the files that may use wallClockMethods, each with the reason.
var wallClockFiles = map[string]string{
	"internal/clock/clock.go":           "the only place that reads the wall clock",
	"internal/net/dispatch/clock.go":    "start times on the endpoint list are Unix times",
	"internal/net/ejection/registry.go": "ejections are stored with start times of the endpoint list, as Unix times",
	"internal/cluster/client.go":        "only distinguishes processes, doesn't order them",
	"internal/cluster/task_rollup.go":   "roll-up periods are wall clock times",
}

// The wall clock may be stepped, so durations must not be measured with it. Only the files in wallClockFiles may use its readings.
func TestWallClockMeasuresNoDuration(t *testing.T) {
	const root = "../.."
	for _, dir := range []string{"internal/net", "internal/cluster", "internal/clock", "internal/config", "routing", "lease", "budget", "changelog", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			if wallClockFiles[filepath.ToSlash(name)] != "" {
				return nil
			}
			fset := token.NewFileSet()
			file, err := parser.ParseFile(fset, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if selector, ok := n.(*ast.SelectorExpr); ok && slices.Contains(wallClockMethods, selector.Sel.Name) && !isPackageOS(selector) {
					t.Errorf("%s: %s: wall clock reading outside of wallClockFiles", fset.Position(selector.Pos()), selector.Sel.Name)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// isPackageOS reports whether selector is a function of package os, which has its own Truncate.
func isPackageOS(selector *ast.SelectorExpr) bool {
	pkg, ok := selector.X.(*ast.Ident)
	return ok && pkg.Name == "os"
}
