package cluster

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster/voterstore"
)

// A folder that is another node's, or damaged, is refused with what was expected, and nothing in it changes.
func TestVoterRefusesUnusableFolder(t *testing.T) {
	for want, prepare := range map[string]func(folder string) error{
		`is of node "x" in fleet "f", not of node "n0" in fleet "f"`: func(folder string) error {
			_, err := voterstore.OpenIdentity(folder, "f", "x")
			return err
		},
		`is of node "n0" in fleet "g", not of node "n0" in fleet "f"`: func(folder string) error {
			_, err := voterstore.OpenIdentity(folder, "g", "n0")
			return err
		},
		"voter.json is missing beside log.db": func(folder string) error {
			return errors.Join(os.MkdirAll(folder, 0o700), os.WriteFile(filepath.Join(folder, voterstore.LogFile), []byte("x"), 0o600))
		},
		"expected fleet, node and id": func(folder string) error {
			return errors.Join(os.MkdirAll(folder, 0o700), os.WriteFile(filepath.Join(folder, voterstore.IdentityFile), []byte("{}"), 0o600))
		},
		"log.db is damaged": func(folder string) error {
			_, err := voterstore.OpenIdentity(folder, "f", "n0")
			return errors.Join(err, os.WriteFile(filepath.Join(folder, voterstore.LogFile), make([]byte, 5000), 0o600))
		},
		"expected a folder that can be written": func(folder string) error {
			return os.WriteFile(folder, nil, 0o600)
		},
	} {
		config := clusterConfigs(t, 3)[0]
		if err := prepare(config.DataDir); err != nil {
			t.Fatal(err)
		}
		before, _ := os.ReadFile(filepath.Join(config.DataDir, voterstore.IdentityFile))
		node := Start(config, stubNode{}, time.Second, 256, zap.NewNop())
		eventually(t, want, func() bool { return strings.Contains(node.status().VoterError, want) || node.voterID() != "" })
		status := node.status()
		node.Close()
		if after, _ := os.ReadFile(filepath.Join(config.DataDir, voterstore.IdentityFile)); status.Voter || string(after) != string(before) {
			t.Errorf("%s: %+v, and the identity was %q, is %q", want, status, before, after)
		}
	}
}

// A log that was truncated at any of many places is either read whole or refused; the process goes on either way.
func TestCheckLogOfTruncatedLog(t *testing.T) {
	nodes := startCluster(t, clusterConfigs(t, 3))
	eventually(t, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	path := filepath.Join(nodes[0].config.DataDir, voterstore.LogFile)
	for _, n := range nodes {
		n.Close()
	}
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	for size := 0; size < len(complete); size += 997 {
		truncated := filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(truncated, complete[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		if voterstore.CheckLog(truncated) != nil {
			refused++
		}
	}
	if err := voterstore.CheckLog(path); err != nil || refused < 10 {
		t.Errorf("the whole log: %v; %d cut ones refused", err, refused)
	}
}

// A voter whose files can't grow ends; its node goes on, and so do the other voters.
func TestVoterEndsWhenFileCannotGrow(t *testing.T) {
	nodes := startCluster(t, clusterConfigs(t, 3))
	eventually(t, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	nodes[0].voter().shutdownOnce.fail(syscall.EFBIG)
	eventually(t, "it votes on", func() bool { return strings.Contains(nodes[0].status().VoterError, "file too large") })
	eventually(t, "the others don't elect a leader", func() bool {
		s, err := nodes[1].client.Status()
		return err == nil && s.IsLeader && s.Node != nodes[0].config.Node
	})
}
