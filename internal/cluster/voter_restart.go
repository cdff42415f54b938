package cluster

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	"go.uber.org/zap"
)

// The backoff between two attempts to restart a voter; it doubles.
const (
	minRestartDelay = 250 * time.Millisecond
	maxRestartDelay = 5 * time.Second
)

// transientErrors are the errors of a folder that may pass, as write(2), fsync(2) and open(2) document them. A folder that is
// damaged or another's stays unused until a person has looked at it.
var transientErrors = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.EROFS, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR, syscall.EBUSY}

func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// restartVoter restarts the voter each time it has ended by a transient error of its folder, until the context ends.
func (m *Member) restartVoter(ctx context.Context) {
	for delay := minRestartDelay; ; delay = min(2*delay, maxRestartDelay) {
		if v := m.voter(); v != nil {
			select {
			case <-ctx.Done():
				return
			case <-v.down:
			}
		}
		if failure := m.voterFailure(); failure == nil || !isTransient(failure) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		if err := rewriteLog(m.config.Folder); err != nil {
			m.log.Info("voter restart failed, will be retried", zap.Error(err))
			continue
		}
		m.openVoter()
		if m.voterFailure() == nil {
			delay = minRestartDelay
			m.log.Info("voter restarted", zap.String("voter", m.voterID()))
		}
	}
}

// voterFailure returns why this node has no voter although it has a folder; nil: it has one, or it leaves.
func (m *Member) voterFailure() error {
	v, err := m.voterOrError()
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

// rewriteLog writes a folder's log anew and syncs it, before anything builds on it. After a failed sync the kernel takes pages
// as clean that the disk may not have, and no later sync writes them; a copy is written and synced by itself.
func rewriteLog(folder string) error {
	path := filepath.Join(folder, logFile)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil // the voter never started
	}
	if err := checkLog(path); err != nil {
		return err
	}
	copyPath := path + ".new"
	if err := copyLog(path, copyPath); err != nil {
		_ = os.Remove(copyPath)
		return fmt.Errorf("fleet.folder: %s can't be rewritten: %w", path, err)
	}
	if err := checkLog(copyPath); err != nil {
		_ = os.Remove(copyPath)
		return err
	}
	if err := os.Rename(copyPath, path); err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	return syncDirectory(folder)
}

// copyLog copies a log and syncs the copy.
func copyLog(from, to string) error {
	db, err := bbolt.Open(from, 0o600, &bbolt.Options{ReadOnly: true, Timeout: logOpenTimeout})
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
