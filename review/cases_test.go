// Package review has the cases of an independent review, as scripts. CI doesn't play them.
package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// playEnv makes TestCase play the cases: THISTLERUDDER_REVIEW=1 go test -v -run TestCase ./review, after the build of the deploy file and review/build.sh.
const playEnv = "THISTLERUDDER_REVIEW"

// Each case has its claim and its script. With playEnv set the case is played too; it fails while its rule is broken.
func TestCase(t *testing.T) {
	claims, err := filepath.Glob("[0-9]/claim.txt")
	if err != nil || len(claims) == 0 {
		t.Fatal("no cases", err)
	}
	for _, claim := range claims {
		folder := filepath.Dir(claim)
		t.Run(folder, func(t *testing.T) {
			text, err := os.ReadFile(claim)
			if err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(string(text), "\n")
			for i, prefix := range []string{"rule: ", "site: ", "from: "} {
				if i >= len(lines) || !strings.HasPrefix(lines[i], prefix) {
					t.Errorf("%s: line %d does not begin with %q", claim, i+1, prefix)
				}
			}
			script := filepath.Join(folder, "run.sh")
			if info, err := os.Stat(script); err != nil || info.Mode()&0o111 == 0 {
				t.Errorf("%s can't be run: %v", script, err)
			}
			if os.Getenv(playEnv) == "" {
				return
			}
			output, err := exec.Command("./" + script).Output()
			t.Logf("%s", output)
			var exit *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &exit) && exit.ExitCode() == 1:
				t.Error("the rule was broken")
			default:
				t.Error("the case couldn't run:", err)
			}
		})
	}
}
