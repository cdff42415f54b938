package ejection

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"go.uber.org/zap"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// The file persists when its process ends. It must stay readable by the next process, which may run an older or a newer
// version.
func TestFileFormatUnchanged(t *testing.T) {
	path := filepath.Join("testdata", "golden", "n1.bans")
	entries := []Entry{{ID: "c-1", EjectedAt: 1764750000000}, {ID: "c-2", EjectedAt: 1764750000000, RestoredAt: 1764750001000}}
	folder := t.TempDir()
	r := Open(folder, "n1", func([]Entry) {}, zap.NewNop())
	if err := r.write(entries); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(folder, "n1.bans"))
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, stored) {
		t.Errorf("wrote %s, want %s", written, stored)
	}
	otherFolder := t.TempDir()
	if err := os.WriteFile(filepath.Join(otherFolder, "n1.bans"), stored, 0o600); err != nil {
		t.Fatal(err)
	}
	var read []Entry
	Open(otherFolder, "n1", func(all []Entry) { read = all }, zap.NewNop())
	if !slices.Equal(read, entries) {
		t.Errorf("read as %v, want %v", read, entries)
	}
}
