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

const logOpenTimeout = time.Second // for a log that another process may still have open

// transientErrors are the errors of a folder that may pass, as write(2), fsync(2) and open(2) document them. A folder that is
// damaged or another's stays unused until a person has looked at it.
var transientErrors = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.EROFS, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR, syscall.EBUSY}

// IsTransient reports whether an error of a folder may pass by itself.
func IsTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// CheckLog reads all of a log, so that a truncated or corrupted one is found here and not by the library, which ends the
// process over it. A log that doesn't exist is no error.
func CheckLog(path string) (err error) {
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a mapped file that is too short faults
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("fleet.folder: %s is damaged: %v", path, r)
		}
	}()
	// With the free list: the library reads it only when a log is opened for writing, and panics if it is corrupted.
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, PreLoadFreelist: true, Timeout: logOpenTimeout})
	if err != nil {
		return fmt.Errorf("fleet.folder: %s is damaged or in use: %w", path, err)
	}
	defer db.Close()
	return db.View(readAllPages)
}

func readAllPages(tx *bbolt.Tx) error {
	return tx.ForEach(func(_ []byte, bucket *bbolt.Bucket) error {
		sum := 0
		return bucket.ForEach(func(_, value []byte) error {
			for _, b := range value {
				sum += int(b) // touches each byte
			}
			return nil
		})
	})
}

// RewriteLog writes a folder's log anew and syncs it, before anything builds on it. After a failed sync the kernel takes pages
// as clean that the disk may not have, and no later sync writes them; a copy is written and synced by itself.
func RewriteLog(folder string) error {
	path := filepath.Join(folder, LogFile)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil // the voter never started
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
