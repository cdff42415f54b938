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

// The voter doesn't start on a folder that belongs to another node or cluster, or is damaged. The error says what was expected,
// and the identity file doesn't change.
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
			t.Errorf("%s: status %+v; identity before %q, after %q", want, status, before, after)
		}
	}
}

// CheckLog is called for a log truncated at each multiple of 997 bytes. It has to refuse at least ten of the truncated logs, to
// accept the complete one, and never to end the process.
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
		t.Errorf("CheckLog of the complete log: %v; %d truncated logs refused, want 10 or more", err, refused)
	}
}

// A voter whose files can't grow ends. Its node runs without a voter, and the other voters elect a leader.
func TestVoterEndsWhenFileCannotGrow(t *testing.T) {
	nodes := startCluster(t, clusterConfigs(t, 3))
	eventually(t, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	nodes[0].voter().shutdownOnce.fail(syscall.EFBIG)
	eventually(t, "voter does not report the failed write", func() bool { return strings.Contains(nodes[0].status().VoterError, "file too large") })
	eventually(t, "the other voters elect no leader", func() bool {
		s, err := nodes[1].client.Status()
		return err == nil && s.IsLeader && s.Node != nodes[0].config.Node
	})
}
