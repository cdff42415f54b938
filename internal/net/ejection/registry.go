// Package ejection stores which servers operators have ejected. The processes of a node share one file of entries, so
// that an ejection applies to all of them and persists when they end.
package ejection

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	maxEntries = 1024 // ten times the size of a fleet

	// restoredRetention is how long the entry of a restored server is kept. It is longer than any slow start, which
	// counts from the time of the restore.
	restoredRetention = 5 * time.Minute
)

// ErrTooMany is returned by Eject if the registry is full.
var ErrTooMany = fmt.Errorf("ejections: limit of %d servers reached", maxEntries)

// Entry is a server that is ejected, or was restored less than restoredRetention ago.
type Entry struct {
	ID         string `json:"id"`
	EjectedAt  int64  `json:"out"`            // Unix time in milliseconds
	RestoredAt int64  `json:"back,omitempty"` // Unix time in milliseconds; 0: still ejected
}

// Registry is the set of entries. Its methods may be called from several goroutines.
type Registry struct {
	log      *zap.Logger
	path     string // empty: in memory only
	onChange func([]Entry)

	mu                sync.Mutex
	entries           []Entry
	lastRead          fileVersion // version of the file that was last read, valid or not
	readErrorLoggedAt time.Time
}

// Open reads the entries from the file name.bans in folder. If there are any it calls onChange before it returns.
// onChange is called with all entries after each change, in the order of the changes. With an empty folder the entries
// are kept in memory only.
func Open(folder, name string, onChange func([]Entry), log *zap.Logger) *Registry {
	r := &Registry{log: log, onChange: onChange}
	if folder == "" {
		log.Warn("no folder for the ejections file, ejections end with this process")
		return r
	}
	r.path = filepath.Join(folder, name+fileSuffix)
	r.Refresh()
	return r
}

// Eject ejects a server. Ejecting it again changes nothing. When Eject returns nil, the ejection is stored and in force
// in this process. Otherwise nothing has changed, and it returns ErrTooMany or the error of reading, locking or writing
// the file.
func (r *Registry) Eject(id string) error {
	return r.change(func(entries []Entry) ([]Entry, error) {
		i := slices.IndexFunc(entries, func(e Entry) bool { return e.ID == id })
		if i >= 0 && entries[i].RestoredAt == 0 {
			return entries, nil
		}
		if i >= 0 {
			entries = slices.Delete(entries, i, i+1)
		}
		if len(entries) >= maxEntries {
			return nil, ErrTooMany
		}
		return append(entries, Entry{ID: id, EjectedAt: time.Now().UnixMilli()}), nil
	})
}

// Restore ends the ejection of a server, if it is ejected. It returns the same errors as Eject.
func (r *Registry) Restore(id string) error {
	return r.change(func(entries []Entry) ([]Entry, error) {
		for i := range entries {
			if entries[i].ID == id && entries[i].RestoredAt == 0 {
				entries[i].RestoredAt = time.Now().UnixMilli()
			}
		}
		return entries, nil
	})
}

// Contains reports whether a server is ejected, or was restored recently.
func (r *Registry) Contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.entries, func(e Entry) bool { return e.ID == id })
}

// Follow calls Refresh at each interval until ctx is done. It returns at once if the entries are in memory only.
func (r *Registry) Follow(ctx context.Context, interval time.Duration) {
	if r.path == "" {
		return
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Refresh()
		}
	}
}

// Refresh reads the file if it has changed since it was last read or written here.
func (r *Registry) Refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version, err := statVersion(r.path); err != nil || version == r.lastRead {
		return
	}
	entries, err := r.read()
	if err != nil || slices.Equal(entries, r.entries) {
		return
	}
	r.entries = entries
	r.onChange(slices.Clone(entries))
}

// change applies edit to the entries of the file, or to those in memory if the file has no valid ones, and stores the
// result.
func (r *Registry) change(edit func([]Entry) ([]Entry, error)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.path != "" {
		unlock, err := lock(r.path + lockSuffix)
		if err != nil {
			return err
		}
		defer unlock()
		entries, err := r.read()
		switch {
		case err == nil:
			r.entries = entries
		case !errors.Is(err, errNoEntries):
			return err // writing the entries in memory would lose the changes of other processes
		}
	}
	entries, err := edit(withoutExpired(r.entries))
	if err != nil {
		return err
	}
	if err := r.write(entries); err != nil {
		return err
	}
	r.entries = entries
	r.onChange(slices.Clone(entries))
	return nil
}

// withoutExpired returns a copy of entries without those restored more than restoredRetention ago.
func withoutExpired(entries []Entry) []Entry {
	cutoff := time.Now().Add(-restoredRetention).UnixMilli()
	return slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool {
		return e.RestoredAt != 0 && e.RestoredAt < cutoff
	})
}
