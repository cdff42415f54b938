package voterstore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
)

const logOpenTimeout = time.Second // time to wait for the file lock of a log that another process still has open

// transientErrors are the errors that can disappear without an operator's action, according to write(2), fsync(2) and open(2). A
// folder that is damaged or belongs to another node, in contrast, stays unused until an operator has examined it.
var transientErrors = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.EROFS, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR, syscall.EBUSY}

// IsTransient reports whether an error in accessing a folder can disappear without an operator's action.
func IsTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// CheckLog reads a whole log to detect truncation and corruption. Otherwise the library would find them, and it ends the process
// then. A log that doesn't exist is not an error.
func CheckLog(path string) (err error) {
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // reading a memory-mapped file beyond its end causes a fault
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("fleet.folder: %s is damaged: %v", path, r)
		}
	}()
	// PreLoadFreelist checks the free list too. The library reads it only when it opens a log for writing, and panics if it is
	// corrupt.
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, PreLoadFreelist: true, Timeout: logOpenTimeout})
	if err != nil {
		return fmt.Errorf("fleet.folder: %s is damaged or in use: %w", path, err)
	}
	defer db.Close()
	return db.View(readAllPages)
}

// readAllPages reads each byte of each value in all buckets.
func readAllPages(tx *bbolt.Tx) error {
	return tx.ForEach(func(_ []byte, bucket *bbolt.Bucket) error {
		sum := 0
		return bucket.ForEach(func(_, value []byte) error {
			for _, b := range value {
				sum += int(b) // forces a read of the mapped page
			}
			return nil
		})
	})
}

// RewriteLog replaces the log in a folder by a synced copy. It must be called before a voter restarts after a failed write. After
// a failed sync, the kernel marks pages as clean that may not be on disk, and no later sync writes them. The pages of the copy are
// new, so its own sync writes all of them.
func RewriteLog(folder string) error {
	path := filepath.Join(folder, LogFile)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil // the voter has never started
	}
	if err := CheckLog(path); err != nil {
		return err
	}
	copyPath := path + ".new"
	if err := copyLog(path, copyPath); err != nil {
		_ = os.Remove(copyPath)
		return fmt.Errorf("fleet.folder: %s can't be rewritten: %w", path, err)
	}
	if err := CheckLog(copyPath); err != nil {
		_ = os.Remove(copyPath)
		return err
	}
	if err := os.Rename(copyPath, path); err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	return syncDir(folder)
}

// copyLog copies a log and syncs the copy.
func copyLog(srcPath, dstPath string) error {
	db, err := bbolt.Open(srcPath, 0o600, &bbolt.Options{ReadOnly: true, Timeout: logOpenTimeout})
	if err != nil {
		return err
	}
	defer db.Close()
	f, err := os.OpenFile(dstPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	err = db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(f)
		return err
	})
	return errors.Join(err, f.Sync(), f.Close())
}
