package ejection

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// process is one process of a node: its registry and the entries of the latest call of onChange.
type process struct {
	*Registry
	mu       sync.Mutex
	notified []Entry
}

func open(folder string, log *zap.Logger) *process {
	p := &process{}
	p.Registry = Open(folder, "n", func(entries []Entry) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.notified = entries
	}, log)
	return p
}

// ejected returns the sorted ids of the servers that were ejected at the latest call of onChange.
func (p *process) ejected() (ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.notified {
		if e.RestoredAt == 0 {
			ids = append(ids, e.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestEjectAndRestoreIdempotent(t *testing.T) {
	for _, folder := range []string{t.TempDir(), ""} {
		p := open(folder, zap.NewNop())
		must(t, p.Eject("a"))
		first := p.entries[0].EjectedAt
		time.Sleep(2 * time.Millisecond)
		must(t, p.Eject("a"))
		must(t, p.Eject("b"))
		if got := p.ejected(); !slices.Equal(got, []string{"a", "b"}) || p.entries[0].EjectedAt != first {
			t.Errorf("ejected %v, since %d at first and since %d after the second call", got, first, p.entries[0].EjectedAt)
		}
		must(t, p.Restore("a"))
		must(t, p.Restore("never out"))
		if got := p.ejected(); !slices.Equal(got, []string{"b"}) || !p.Contains("a") || p.Contains("never out") {
			t.Errorf("%v %+v", got, p.entries)
		}
		must(t, p.Eject("a"))
		if got := p.ejected(); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("%v", got)
		}
	}
}

// Ejections and restores made by one process apply to the other one and to one that starts later, also if both
// processes change the file at the same time.
func TestProcessesShareEjections(t *testing.T) {
	folder := t.TempDir()
	one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for _, p := range []*process{one, other} {
		go p.Follow(ctx, 2*time.Millisecond)
	}
	var calls sync.WaitGroup
	var want []string
	for i := range 40 {
		id := fmt.Sprintf("s%02d", i)
		p := []*process{one, other}[i%2]
		calls.Go(func() {
			if err := p.Eject(id); err != nil {
				t.Error(err)
			}
			if i%4 == 3 {
				if err := p.Restore(id); err != nil {
					t.Error(err)
				}
			}
		})
		if i%4 != 3 {
			want = append(want, id)
		}
	}
	calls.Wait()
	time.Sleep(50 * time.Millisecond)
	for _, p := range []*process{one, other, open(folder, zap.NewNop())} {
		if got := p.ejected(); !slices.Equal(got, want) {
			t.Errorf("%v, want %v", got, want)
		}
	}
}

// A file that is truncated at any byte, or is not a list of entries, neither adds nor ends an ejection, and is logged
// once.
func TestInvalidFileKeepsEjectionsInMemory(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "n.bans")
	p := open(folder, zap.NewNop())
	for _, id := range []string{"a", "b"} {
		must(t, p.Eject(id))
	}
	valid, err := os.ReadFile(path)
	must(t, err)
	invalid := [][]byte{[]byte("noise"), []byte(`{"id":"x"}`), []byte(`[{"id":7}]`), bytes.Repeat([]byte(" "), maxFileBytes+1)}
	for i := range len(valid) {
		invalid = append(invalid, valid[:i])
	}
	for _, text := range invalid {
		must(t, os.WriteFile(path+".x", text, 0o600))
		must(t, os.Rename(path+".x", path))
		core, logs := observer.New(zap.InfoLevel)
		opened := open(folder, zap.New(core))
		opened.Refresh()
		opened.Refresh()
		if len(opened.ejected()) != 0 || logs.FilterMessage("ejections file is invalid, keeping the ejections in memory").Len() != 1 {
			t.Fatalf("%.40q: ejected %v, %d log lines", text, opened.ejected(), logs.Len())
		}
		if p.Refresh(); !slices.Equal(p.ejected(), []string{"a", "b"}) {
			t.Fatalf("%.40q: ejected %v, want a and b", text, p.ejected())
		}
	}
	must(t, p.Eject("c")) // writes a complete file again
	if got := open(folder, zap.NewNop()).ejected(); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("%v", got)
	}
}

// If the file cannot be written, or the registry is full, Eject returns an error and changes nothing.
func TestEjectErrorChangesNothing(t *testing.T) {
	folder := t.TempDir()
	p := open(folder, zap.NewNop())
	must(t, p.Eject("a"))
	must(t, os.Mkdir(filepath.Join(folder, "n.bans.new"), 0o700))
	if err := p.Eject("b"); err == nil || !slices.Equal(p.ejected(), []string{"a"}) {
		t.Errorf("error %v, ejected %v", err, p.ejected())
	}
	must(t, os.Remove(filepath.Join(folder, "n.bans.new")))
	for i := range maxEntries + 1 {
		if err := p.Eject(fmt.Sprint("s", i)); (err != nil) != (i >= maxEntries-1) {
			t.Fatalf("call %d: %v", i, err)
		}
	}
}
