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
		t.Error("the zero moment is not long ago")
	}
	before := time.Now()
	m := Now()
	after := time.Now()
	if got := m.Time(); got.Before(before) || got.After(after) {
		t.Errorf("%v is not between %v and %v", got, before, after)
	}
	if m.Since() < 0 || m.Since() > time.Second {
		t.Errorf("%v ago", m.Since())
	}
	if strings.Contains(Wall().String(), "m=") {
		t.Error("the wall clock's time has a monotonic reading")
	}
}

// wallClockMethods are the methods by which a time loses its monotonic reading, or is read as the wall clock's.
var wallClockMethods = []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro", "Truncate"}

// wallClockFiles may use them, for the reasons given.
var wallClockFiles = map[string]string{
	"internal/clock/clock.go":           "the one place that reads the wall clock",
	"internal/net/dispatch/clock.go":    "start times on the list are Unix times",
	"internal/net/ejection/registry.go": "ejections are kept beside start times on the list, as Unix times",
	"internal/cluster/client.go":        "tells processes apart, by no order",
	"internal/cluster/task_rollup.go":   "periods of the roll-up are the wall clock's",
}

// The wall clock may be stepped, so that no duration may be measured by it: only the files above may use its readings.
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
					t.Errorf("%s: %s: a duration measured by the wall clock", fset.Position(selector.Pos()), selector.Sel.Name)
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

// isPackageOS reports whether a selector is of package os, which has a Truncate of its own.
func isPackageOS(selector *ast.SelectorExpr) bool {
	pkg, ok := selector.X.(*ast.Ident)
	return ok && pkg.Name == "os"
}
