package cluster

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	"go.uber.org/zap"
)

const (
	minRejoinDelay = 250 * time.Millisecond // after a voter has ended, until its folder is tried again; it doubles
	maxRejoinDelay = 5 * time.Second
)

// transientErrors are the errors of a folder that may go by, as write(2), fsync(2) and open(2) document them. A folder that is damaged, or
// another's, stays out until a person has looked at it.
var transientErrors = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.EROFS, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM,
	syscall.EAGAIN, syscall.EINTR, syscall.EBUSY}

func isTransient(err error) bool {
	for _, one := range transientErrors {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

// rejoin starts the voter anew when it has ended by an error of its folder that may have gone by, until the context ends.
func (f *Member) rejoin(ctx context.Context) {
	for wait := minRejoinDelay; ; wait = min(2*wait, maxRejoinDelay) {
		v := f.voter()
		if v != nil {
			select {
			case <-ctx.Done():
				return
			case <-v.down:
			}
		}
		why := f.voterFailure()
		if why == nil || !isTransient(why) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if err := rewriteLog(f.config.Folder); err != nil {
			f.log.Info("the voter's folder can't be used yet", zap.Error(err))
			continue
		}
		if f.openVoter(); f.voterFailure() == nil {
			wait = minRejoinDelay
			f.log.Info("votes again, with what its folder holds", zap.String("voter", f.voterID()))
		}
	}
}

// voterFailure says why this node doesn't vote, though it has a folder; nil: it does, or it leaves.
func (f *Member) voterFailure() error {
	f.mu.Lock()
	v, err := f.currentVoter, f.voterError
	f.mu.Unlock()
	if v == nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if errors.Is(v.endReason, errNodeLeaves) {
		return nil
	}
	return v.endReason
}

// rewriteLog writes a folder's log anew, whole, and brings it to the disk, before anything is built on it. After a sync that failed the kernel
// holds pages as clean that the disk may not have, so that no later sync would write them; a copy is written and synced by itself.
func rewriteLog(folder string) error {
	path := filepath.Join(folder, logFile)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil // it never began
	}
	if err := checkLog(path); err != nil {
		return err
	}
	aside := path + ".new"
	if err := copyLog(path, aside); err != nil {
		_ = os.Remove(aside)
		return fmt.Errorf("fleet.folder: %s can't be written anew: %w", path, err)
	}
	if err := checkLog(aside); err != nil {
		_ = os.Remove(aside)
		return err
	}
	if err := os.Rename(aside, path); err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	return syncDirectory(folder)
}

// copyLog copies a log and syncs the copy.
func copyLog(from, to string) error {
	db, err := bbolt.Open(from, 0o600, &bbolt.Options{ReadOnly: true, Timeout: openTimeout})
	if err != nil {
		return err
	}
	defer db.Close()
	f, err := os.OpenFile(to, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	err = db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(f)
		return err
	})
	return errors.Join(err, f.Sync(), f.Close())
}

// syncDirectory brings a folder's own entries to the disk.
func syncDirectory(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
