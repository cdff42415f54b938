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

// process is one process of a node: its registry and what the registry last passed on.
type process struct {
	*Registry
	mu       sync.Mutex
	notified []Entry
}

func open(folder string, log *zap.Logger) *process {
	r := &process{}
	r.Registry = Open(folder, "n", func(entries []Entry) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.notified = entries
	}, log)
	return r
}

// ejected returns the ids that are ejected, as last passed on, in order.
func (r *process) ejected() (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.notified {
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

func TestCallsMayBeRepeatedAndOneBackEndsThem(t *testing.T) {
	for _, folder := range []string{t.TempDir(), ""} {
		b := open(folder, zap.NewNop())
		must(t, b.Eject("a"))
		first := b.entries[0].EjectedAt
		time.Sleep(2 * time.Millisecond)
		must(t, b.Eject("a"))
		must(t, b.Eject("b"))
		if got := b.ejected(); !slices.Equal(got, []string{"a", "b"}) || b.entries[0].EjectedAt != first {
			t.Errorf("%v, out since %d and then %d", got, first, b.entries[0].EjectedAt)
		}
		must(t, b.Restore("a"))
		must(t, b.Restore("never out"))
		if got := b.ejected(); !slices.Equal(got, []string{"b"}) || !b.Contains("a") || b.Contains("never out") {
			t.Errorf("%v %+v", got, b.entries)
		}
		must(t, b.Eject("a"))
		if got := b.ejected(); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("%v", got)
		}
	}
}

// What one process is told holds for the other one, for one that starts later, and when both are told at once.
func TestProcessesShareTheList(t *testing.T) {
	folder := t.TempDir()
	one, other := open(folder, zap.NewNop()), open(folder, zap.NewNop())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for _, r := range []*process{one, other} {
		go r.Follow(ctx, 2*time.Millisecond)
	}
	var calls sync.WaitGroup
	var want []string
	for i := range 40 {
		id := fmt.Sprintf("s%02d", i)
		r := []*process{one, other}[i%2]
		calls.Go(func() {
			if err := r.Eject(id); err != nil {
				t.Error(err)
			}
			if i%4 == 3 {
				if err := r.Restore(id); err != nil {
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
	for _, r := range []*process{one, other, open(folder, zap.NewNop())} {
		if got := r.ejected(); !slices.Equal(got, want) {
			t.Errorf("%v, want %v", got, want)
		}
	}
}

// A file that is truncated at any byte, or is no list, adds no ejection and ends none, and is logged once.
func TestAFileThatCannotBeReadIsNone(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "n.bans")
	b := open(folder, zap.NewNop())
	for _, id := range []string{"a", "b"} {
		must(t, b.Eject(id))
	}
	whole, err := os.ReadFile(path)
	must(t, err)
	spoilt := [][]byte{[]byte("noise"), []byte(`{"id":"x"}`), []byte(`[{"id":7}]`), bytes.Repeat([]byte(" "), maxFileBytes+1)}
	for i := range len(whole) {
		spoilt = append(spoilt, whole[:i])
	}
	for _, text := range spoilt {
		must(t, os.WriteFile(path+".x", text, 0o600))
		must(t, os.Rename(path+".x", path))
		core, logs := observer.New(zap.InfoLevel)
		fresh := open(folder, zap.New(core))
		fresh.Refresh()
		fresh.Refresh()
		if len(fresh.ejected()) != 0 || logs.FilterMessage("ejections file is invalid, keeping the ejections in memory").Len() != 1 {
			t.Fatalf("%.40q: %v, %d lines", text, fresh.ejected(), logs.Len())
		}
		if b.Refresh(); !slices.Equal(b.ejected(), []string{"a", "b"}) {
			t.Fatalf("%.40q ends ejections: %v", text, b.ejected())
		}
	}
	must(t, b.Eject("c")) // and the next call writes it whole again
	if got := open(folder, zap.NewNop()).ejected(); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("%v", got)
	}
}

// A list that cannot be written is not changed, and the caller gets an error.
func TestWhatCannotBeKeptHasNotHappened(t *testing.T) {
	folder := t.TempDir()
	b := open(folder, zap.NewNop())
	must(t, b.Eject("a"))
	must(t, os.Mkdir(filepath.Join(folder, "n.bans.new"), 0o700))
	if err := b.Eject("b"); err == nil || !slices.Equal(b.ejected(), []string{"a"}) {
		t.Errorf("%v: %v", err, b.ejected())
	}
	must(t, os.Remove(filepath.Join(folder, "n.bans.new")))
	for i := range maxEntries + 1 {
		if err := b.Eject(fmt.Sprint("s", i)); (err != nil) != (i >= maxEntries-1) {
			t.Fatalf("call %d: %v", i, err)
		}
	}
}
