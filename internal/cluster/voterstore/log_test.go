package voterstore

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"testing"

	"github.com/hashicorp/raft"
	raftbolt "github.com/hashicorp/raft-boltdb/v2"
)

// contents returns what a voter's log holds: its entries, its term and its vote.
func contents(t *testing.T, path string) string {
	t.Helper()
	if err := CheckLog(path); err != nil {
		t.Fatal(err)
	}
	log, err := raftbolt.New(raftbolt.Options{Path: path})
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	first, _ := log.FirstIndex()
	last, err := log.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	term, _ := log.GetUint64([]byte("CurrentTerm"))
	vote, _ := log.Get([]byte("LastVoteCand"))
	text := fmt.Sprintf("term %d, vote %s:", term, vote)
	for i := max(first, 1); i <= last; i++ {
		var entry raft.Log
		if err := log.GetLog(i, &entry); err != nil {
			t.Fatal(err)
		}
		text += fmt.Sprintf(" %d.%d.%x", entry.Index, entry.Term, entry.Data)
	}
	return text
}

// A kill in the middle of a write leaves a prefix of it: the log's new pages in their order, then the one that makes them count. At any prefix the
// voter has what it had before the write, or after it, and whole. A write is an entry, several, a term or a vote.
func TestAKillAmidAWriteLeavesTheLogBeforeOrAfter(t *testing.T) {
	const page, step = 4096, 509 // a prefix at each so many bytes; prime, so that it falls everywhere in pages
	path := filepath.Join(t.TempDir(), LogFile)
	entry := func(i uint64) *raft.Log {
		return &raft.Log{Index: i, Term: 1 + i/3, Data: bytes.Repeat([]byte{byte(i)}, 300)}
	}
	writes := map[string]func(*raftbolt.BoltStore) error{
		"an entry":        func(s *raftbolt.BoltStore) error { return s.StoreLog(entry(10)) },
		"several entries": func(s *raftbolt.BoltStore) error { return s.StoreLogs([]*raft.Log{entry(10), entry(11), entry(12)}) },
		"a term":          func(s *raftbolt.BoltStore) error { return s.SetUint64([]byte("CurrentTerm"), 9) },
		"a vote":          func(s *raftbolt.BoltStore) error { return s.Set([]byte("LastVoteCand"), []byte("n2")) },
		"a cut":           func(s *raftbolt.BoltStore) error { return s.DeleteRange(7, 9) },
	}
	read := func() []byte {
		t.Helper()
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	with := func(f func(*raftbolt.BoltStore) error) (base, after []byte) { // opening alone may write
		t.Helper()
		s, err := raftbolt.New(raftbolt.Options{Path: path})
		if err != nil {
			t.Fatal(err)
		}
		base = read()
		if err := f(s); err != nil {
			t.Fatal(err)
		}
		after = read()
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		return base, after
	}
	_, before := with(func(s *raftbolt.BoltStore) error {
		for i := uint64(1); i < 10; i++ {
			if err := s.StoreLog(entry(i)); err != nil {
				return err
			}
		}
		return s.SetUint64([]byte("CurrentTerm"), 4)
	})
	was := contents(t, path)
	for what, write := range writes {
		if err := os.WriteFile(path, before, 0o600); err != nil {
			t.Fatal(err)
		}
		base, after := with(write)
		is := contents(t, path)
		var changed []int // pages, the two that make others count last
		for at := 0; at < len(after); at += page {
			if at >= len(base) || !bytes.Equal(base[at:at+page], after[at:at+page]) {
				changed = append(changed, at)
			}
		}
		slices.SortStableFunc(changed, func(x, y int) int {
			meta := func(at int) int {
				if at < 2*page {
					return 1
				}
				return 0
			}
			return meta(x) - meta(y)
		})
		old, fresh := 0, 0
		for n := 0; n <= len(changed)*page; n += step {
			torn := slices.Clone(base)
			torn = append(torn, make([]byte, max(0, len(after)-len(base)))...)
			for i, at := range changed {
				copy(torn[at:at+page], after[at:at+min(page, max(0, n-i*page))])
			}
			if err := os.WriteFile(path, torn, 0o600); err != nil {
				t.Fatal(err)
			}
			switch got := contents(t, path); got {
			case was:
				old++
			case is:
				fresh++
			default:
				t.Errorf("%s, after %d bytes: %.300s\nwant %.300s\nor %.300s", what, n, got, was, is)
			}
		}
		if was == is || old == 0 || len(changed) == 0 {
			t.Errorf("%s: nothing is shown: %d prefixes before, %d after, %d pages", what, old, fresh, len(changed))
		}
	}
}

// A log of which one page is spoilt, by zeros, by other bytes or by another of its pages, is refused, or opened by the library without ending the process.
func TestALogWithASpoiltPageEndsNoProcess(t *testing.T) {
	const page = 4096
	path := filepath.Join(t.TempDir(), LogFile)
	s, err := raftbolt.New(raftbolt.Options{Path: path})
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i < 60; i++ {
		if err := s.StoreLog(&raft.Log{Index: i, Term: 1, Data: bytes.Repeat([]byte{byte(i)}, 300)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(s.DeleteRange(1, 30), s.Close()); err != nil {
		t.Fatal(err)
	}
	sound, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	opens := func(path string) (panicked any) {
		defer func() { panicked = recover() }()
		defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
		if s, err := raftbolt.New(raftbolt.Options{Path: path}); err == nil {
			_, _ = s.LastIndex()
			_ = s.Close()
		}
		return nil
	}
	refused := 0
	for at := 0; at < len(sound); at += page {
		for what, with := range map[string][]byte{"zeros": make([]byte, page), "ones": bytes.Repeat([]byte{1}, page), "another page": sound[2*page : 3*page],
			"a leaf": sound[3*page : 4*page]} {
			path := filepath.Join(t.TempDir(), LogFile) // an opening that panics keeps its lock on the file
			spoilt := slices.Clone(sound)
			copy(spoilt[at:at+page], with)
			if err := os.WriteFile(path, spoilt, 0o600); err != nil {
				t.Fatal(err)
			}
			if CheckLog(path) != nil {
				refused++
			} else if p := opens(path); p != nil {
				t.Errorf("page %d, %s: passed, and opening it panics: %v", at/page, what, p)
			}
		}
	}
	if refused == 0 {
		t.Error("no spoilt log was refused")
	}
}
