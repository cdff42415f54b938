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

// readLog returns the contents of a voter's log as text: the term, the vote and the entries.
func readLog(t *testing.T, path string) string {
	t.Helper()
	if err := CheckLog(path); err != nil {
		t.Fatal(err)
	}
	store, err := raftbolt.New(raftbolt.Options{Path: path})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	first, _ := store.FirstIndex()
	last, err := store.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	term, _ := store.GetUint64([]byte("CurrentTerm"))
	vote, _ := store.Get([]byte("LastVoteCand"))
	text := fmt.Sprintf("term %d, vote %s:", term, vote)
	for i := max(first, 1); i <= last; i++ {
		var entry raft.Log
		if err := store.GetLog(i, &entry); err != nil {
			t.Fatal(err)
		}
		text += fmt.Sprintf(" %d.%d.%x", entry.Index, entry.Term, entry.Data)
	}
	return text
}

// A process that is killed during a write leaves a prefix of the write on disk: first the new pages of the log in their order,
// then the meta page that makes them valid. For each prefix, the log must hold the complete state from before or after the write.
// The writes are an entry, several entries, a term, a vote and a deletion of entries.
func TestLogAfterTornWriteHoldsStateBeforeOrAfter(t *testing.T) {
	const pageSize, stepBytes = 4096, 509 // stepBytes is the distance between tested prefixes, a prime so that they end at different offsets within pages
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
	readFile := func() []byte {
		t.Helper()
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	apply := func(write func(*raftbolt.BoltStore) error) (opened, after []byte) { // opened is the file after opening, which may write too
		t.Helper()
		s, err := raftbolt.New(raftbolt.Options{Path: path})
		if err != nil {
			t.Fatal(err)
		}
		opened = readFile()
		if err := write(s); err != nil {
			t.Fatal(err)
		}
		after = readFile()
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		return opened, after
	}
	_, initial := apply(func(s *raftbolt.BoltStore) error {
		for i := uint64(1); i < 10; i++ {
			if err := s.StoreLog(entry(i)); err != nil {
				return err
			}
		}
		return s.SetUint64([]byte("CurrentTerm"), 4)
	})
	oldState := readLog(t, path)
	for name, write := range writes {
		if err := os.WriteFile(path, initial, 0o600); err != nil {
			t.Fatal(err)
		}
		opened, after := apply(write)
		newState := readLog(t, path)
		var changed []int // offsets of changed pages; the two meta pages come last
		for offset := 0; offset < len(after); offset += pageSize {
			if offset >= len(opened) || !bytes.Equal(opened[offset:offset+pageSize], after[offset:offset+pageSize]) {
				changed = append(changed, offset)
			}
		}
		slices.SortStableFunc(changed, func(x, y int) int {
			meta := func(offset int) int {
				if offset < 2*pageSize {
					return 1
				}
				return 0
			}
			return meta(x) - meta(y)
		})
		oldCount, newCount := 0, 0
		for n := 0; n <= len(changed)*pageSize; n += stepBytes {
			torn := slices.Clone(opened)
			torn = append(torn, make([]byte, max(0, len(after)-len(opened)))...)
			for i, offset := range changed {
				copy(torn[offset:offset+pageSize], after[offset:offset+min(pageSize, max(0, n-i*pageSize))])
			}
			if err := os.WriteFile(path, torn, 0o600); err != nil {
				t.Fatal(err)
			}
			switch got := readLog(t, path); got {
			case oldState:
				oldCount++
			case newState:
				newCount++
			default:
				t.Errorf("%s, after %d bytes: %.300s\nwant %.300s\nor %.300s", name, n, got, oldState, newState)
			}
		}
		if oldState == newState || oldCount == 0 || len(changed) == 0 {
			t.Errorf("%s: test is not conclusive: %d prefixes with the old state, %d with the new state, %d changed pages", name, oldCount, newCount, len(changed))
		}
	}
}

// One page of a log is overwritten with zeros, ones or another page of the log. CheckLog must refuse the log, or the library must
// open it without a panic, which would end the process.
func TestCheckLogRefusesCorruptPageOrStoreOpens(t *testing.T) {
	const pageSize = 4096
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
	valid, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	open := func(path string) (panicked any) {
		defer func() { panicked = recover() }()
		defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
		if s, err := raftbolt.New(raftbolt.Options{Path: path}); err == nil {
			_, _ = s.LastIndex()
			_ = s.Close()
		}
		return nil
	}
	refused := 0
	for offset := 0; offset < len(valid); offset += pageSize {
		for name, contents := range map[string][]byte{"zeros": make([]byte, pageSize), "ones": bytes.Repeat([]byte{1}, pageSize), "another page": valid[2*pageSize : 3*pageSize],
			"a leaf": valid[3*pageSize : 4*pageSize]} {
			path := filepath.Join(t.TempDir(), LogFile) // a new file, since an open that panics keeps its file lock
			corrupt := slices.Clone(valid)
			copy(corrupt[offset:offset+pageSize], contents)
			if err := os.WriteFile(path, corrupt, 0o600); err != nil {
				t.Fatal(err)
			}
			if CheckLog(path) != nil {
				refused++
			} else if p := open(path); p != nil {
				t.Errorf("page %d, %s: CheckLog passed, but opening the log panicked: %v", offset/pageSize, name, p)
			}
		}
	}
	if refused == 0 {
		t.Error("CheckLog refused no corrupt log")
	}
}
