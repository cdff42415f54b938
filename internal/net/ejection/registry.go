// Package ejection keeps which servers operators have taken out, by id. The list lies in one file, so that the process that
// takes this one's place finds it, and what one of two processes is told holds for both.
package ejection

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

const (
	most      = 1024                   // entries; a fleet has a tenth of that
	recallFor = 5 * time.Minute        // how long a return is kept: beyond any warm-up
	lockIn    = 500 * time.Millisecond // for the other process to let go of the lock: a call is owed an answer in 1 s
	lockEvery = 5 * time.Millisecond
	// complainEvery is how often a failure to read the file is logged.
	complainEvery = 5 * time.Second
	fileMost      = 1 << 20 // bytes; more than the most entries take
)

// Entry is one server that was taken out.
type Entry struct {
	ID         string `json:"id"`
	EjectedAt  int64  `json:"out"`            // when it was taken out, Unix time in milliseconds
	RestoredAt int64  `json:"back,omitempty"` // when it was put back; 0: it is out
}

// Registry is the list. Its methods may be called from several goroutines.
type Registry struct {
	log   *zap.Logger
	path  string // "": only in memory
	apply func([]Entry)

	mu      sync.Mutex
	entries []Entry
	seen    stamp // the file as last read, or as last found to be no list of bans
	// complained is when a failure to read it was last logged.
	complained time.Time
}

// stamp tells one state of the file from the next: each is a file of its own.
type stamp struct {
	inode uint64
	size  int64
	at    time.Time
}

// Open reads what is there. apply is told the whole list whenever it changes, in order; at first if it isn't empty.
// Without a folder the list lives as long as the process.
func Open(folder, name string, apply func([]Entry), log *zap.Logger) *Registry {
	b := &Registry{log: log, apply: apply}
	if folder == "" {
		log.Warn("no folder to keep bans in: they end with this process")
		return b
	}
	b.path = filepath.Join(folder, name+".bans")
	b.Refresh()
	return b
}

// Eject takes a server out. When it returns nil that is written down, and known here.
func (b *Registry) Eject(id string) error {
	return b.change(func(entries []Entry) ([]Entry, error) {
		i := slices.IndexFunc(entries, func(e Entry) bool { return e.ID == id })
		if i >= 0 && entries[i].RestoredAt == 0 {
			return entries, nil
		}
		if i >= 0 {
			entries = slices.Delete(entries, i, i+1)
		}
		if len(entries) >= most {
			return nil, fmt.Errorf("more than %d servers are out", most)
		}
		return append(entries, Entry{ID: id, EjectedAt: time.Now().UnixMilli()}), nil
	})
}

// Restore puts a server back, however often it was taken out.
func (b *Registry) Restore(id string) error {
	return b.change(func(entries []Entry) ([]Entry, error) {
		for i := range entries {
			if entries[i].ID == id && entries[i].RestoredAt == 0 {
				entries[i].RestoredAt = time.Now().UnixMilli()
			}
		}
		return entries, nil
	})
}

// Contains says whether a server is out, or was lately.
func (b *Registry) Contains(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.entries, func(e Entry) bool { return e.ID == id })
}

// Follow takes over what the other process writes, until the context ends.
func (b *Registry) Follow(ctx context.Context, every time.Duration) {
	if b.path == "" {
		return
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.Refresh()
		}
	}
}

// Refresh reads the file if it is another one than last time.
func (b *Registry) Refresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, err := stampOf(b.path); err != nil || s == b.seen {
		return
	}
	if entries, err := b.read(); err == nil && !slices.Equal(entries, b.entries) {
		b.entries = entries
		b.apply(slices.Clone(entries))
	}
}

// change writes the list anew, from what the file holds now, and tells of it.
func (b *Registry) change(f func([]Entry) ([]Entry, error)) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.path != "" {
		unlock, err := lock(b.path + ".lock")
		if err != nil {
			return err
		}
		defer unlock()
		entries, err := b.read()
		switch {
		case err == nil:
			b.entries = entries
		case !errors.Is(err, errNoList):
			return err // written without what it holds, the file would lack what the other process was told
		}
	}
	forgotten := time.Now().Add(-recallFor).UnixMilli()
	entries, err := f(slices.DeleteFunc(slices.Clone(b.entries), func(e Entry) bool {
		return e.RestoredAt != 0 && e.RestoredAt < forgotten
	}))
	if err != nil {
		return err
	}
	if err := b.write(entries); err != nil {
		return err
	}
	b.entries = entries
	b.apply(slices.Clone(entries))
	return nil
}

// errNoList says that there is no list of bans: no file yet, or one that holds something else.
var errNoList = errors.New("there is no list of bans")

// read gives the file's entries. Where there is no list, or it can't be read just now, what this process knows stands.
func (b *Registry) read() ([]Entry, error) {
	s, err := stampOf(b.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, errNoList
	}
	var text []byte
	if err == nil && s.size <= fileMost {
		text, err = kernel.FileText(b.path)
	}
	if err != nil {
		b.complain(err) // the file may be in order, so it is read again at the next look
		return nil, fmt.Errorf("the bans can't be read: %w", err)
	}
	known := b.seen == s
	b.seen = s
	entries, err := parse(text, s.size)
	if err != nil {
		if !known {
			b.log.Error("the bans can't be read, those known stand", zap.Error(err))
		}
		return nil, errNoList
	}
	return entries, nil
}

// parse gives the entries of a file's text.
func parse(text []byte, size int64) (entries []Entry, err error) {
	if size > fileMost {
		return nil, errors.New("the file is over its bound")
	}
	if err := json.Unmarshal(text, &entries); err != nil {
		return nil, err
	}
	if len(entries) > most {
		return nil, errors.New("the list is over its bound")
	}
	return entries, nil
}

// complain logs that the file could not be read, now and then.
func (b *Registry) complain(err error) {
	if now := time.Now(); now.Sub(b.complained) >= complainEvery {
		b.complained = now
		b.log.Error("the bans can't be read just now, those known stand", zap.Error(err))
	}
}

// write puts a whole new file in the place of the old one: killed at any moment, it leaves one of the two.
func (b *Registry) write(entries []Entry) error {
	if b.path == "" {
		return nil
	}
	text, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	if err := kernel.PutFile(b.path, text); err != nil {
		return err
	}
	if b.seen, err = stampOf(b.path); err != nil {
		b.complain(err) // it is written; the next look reads it
	}
	return nil
}

func stampOf(path string) (stamp, error) {
	i, err := os.Stat(path)
	if err != nil {
		return stamp{}, err
	}
	s := stamp{size: i.Size(), at: i.ModTime()}
	if sys, ok := i.Sys().(*syscall.Stat_t); ok {
		s.inode = sys.Ino
	}
	return s, nil
}

// lock keeps the other process from writing meanwhile; it ends with its owner.
func lock(path string) (func(), error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(lockIn); ; time.Sleep(lockEvery) {
		if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return func() { _ = f.Close() }, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) || time.Now().After(end) {
			_ = f.Close()
			return nil, fmt.Errorf("the bans are locked: %w", err)
		}
	}
}
