package ejection

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

const (
	fileSuffix = ".bans"
	lockSuffix = ".lock" // appended to fileSuffix

	maxFileBytes         = 1 << 20 // larger than a file with maxEntries
	readErrorLogInterval = 5 * time.Second
	lockTimeout          = 500 * time.Millisecond // so that an operator's call is answered within 1 s
	lockRetryInterval    = 5 * time.Millisecond
)

var (
	// errNoEntries is returned by read if there is no file, or if its contents are invalid.
	errNoEntries      = errors.New("ejections: the file has no valid entries")
	errFileTooLong    = fmt.Errorf("ejections: the file is longer than %d bytes", maxFileBytes)
	errTooManyEntries = fmt.Errorf("ejections: the file has more than %d entries", maxEntries)
)

// fileVersion changes with each write of the file, as a write replaces it by a new one.
type fileVersion struct {
	inode    uint64
	size     int64
	modified time.Time
}

func statVersion(path string) (fileVersion, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}, err
	}
	version := fileVersion{size: info.Size(), modified: info.ModTime()}
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		version.inode = stat.Ino
	}
	return version, nil
}

// read returns the entries of the file. It returns errNoEntries if the file is missing or invalid, and another error if
// reading it failed, which may be temporary.
func (r *Registry) read() ([]Entry, error) {
	version, err := statVersion(r.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, errNoEntries
	}
	var text []byte
	if err == nil && version.size <= maxFileBytes {
		text, err = kernel.ReadFileContents(r.path)
	}
	if err != nil {
		r.logReadError(err) // lastRead is unchanged, so that the next Refresh reads the file again
		return nil, fmt.Errorf("ejections: file cannot be read: %w", err)
	}
	knownInvalid := r.lastRead == version
	r.lastRead = version
	entries, err := parse(text, version.size)
	if err != nil {
		if !knownInvalid {
			r.log.Error("ejections file is invalid, keeping the ejections in memory", zap.Error(err))
		}
		return nil, errNoEntries
	}
	return entries, nil
}

// parse returns the entries in the text of a file. size is the size of the file; text is empty if that is too large.
func parse(text []byte, size int64) ([]Entry, error) {
	if size > maxFileBytes {
		return nil, errFileTooLong
	}
	var entries []Entry
	if err := json.Unmarshal(text, &entries); err != nil {
		return nil, err
	}
	if len(entries) > maxEntries {
		return nil, errTooManyEntries
	}
	return entries, nil
}

func (r *Registry) logReadError(err error) {
	now := time.Now()
	if now.Sub(r.readErrorLoggedAt) < readErrorLogInterval {
		return
	}
	r.readErrorLoggedAt = now
	r.log.Error("ejections file cannot be read, keeping the ejections in memory", zap.Error(err))
}

// write replaces the file. If the process is killed meanwhile, the file has either the old or the new contents.
func (r *Registry) write(entries []Entry) error {
	if r.path == "" {
		return nil
	}
	text, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	if err := kernel.ReplaceFile(r.path, text); err != nil {
		return err
	}
	if r.lastRead, err = statVersion(r.path); err != nil {
		r.logReadError(err) // the write itself succeeded; the next Refresh reads the file
	}
	return nil
}

// lock prevents other processes from writing until unlock is called or this process ends.
func lock(path string) (unlock func(), err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { _ = file.Close() }, nil
		}
		if !retriable(err) || time.Now().After(deadline) {
			_ = file.Close()
			return nil, fmt.Errorf("ejections: file is locked: %w", err)
		}
	}
}

func retriable(err error) bool {
	return errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR)
}
