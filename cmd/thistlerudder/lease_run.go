package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
)

// Exit statuses of `lease run` beside the command's own. They lie where sysexits.h has "try again" and its neighbour.
const (
	exitNotAcquired = 75 // the lease was not had in time: nothing was run
	exitLost        = 76 // the lease could not be kept: the command was ended
	exitSignalBase  = 128
)

// exitCode is an error that ends the program with a status of its own.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit status %d", int(e)) }

const (
	terminateDivisor = 3  // SIGTERM with a third of the lease left: renewals have failed for a third
	killDivisor      = 10 // SIGKILL with a tenth of it left
	checksPerLease   = 50 // how often the lease is checked in its duration
)

func leaseRunCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{Use: "run NAME -- COMMAND [ARG...]", Args: cobra.MinimumNArgs(2),
		Short: "Run a command while holding a lease, its token in $THISTLERUDDER_TOKEN",
		Long: "Run a command while holding a lease. $THISTLERUDDER_LEASE and $THISTLERUDDER_TOKEN are in its environment; whatever it\n" +
			"writes to should refuse a token below one that it has seen. When the lease can't be renewed, the command and all its\n" +
			"children get SIGTERM with a third of the lease left, and SIGKILL with a tenth left.\n\n" +
			"Exit status: the command's own; 128 and the signal's number if a signal ended it; 75 if the lease was not had in\n" +
			"time, so that nothing was run; 76 if the lease could not be kept, so that the command was ended."}
	maxWait := c.Flags().Duration("wait", 0, "how long to wait for the lease; 0: until it is had")
	c.SilenceErrors = true
	c.RunE = func(cmd *cobra.Command, args []string) (err error) {
		defer func() {
			if code := exitCode(0); err != nil && !errors.As(err, &code) {
				cmd.PrintErrln("Error:", err)
			}
		}()
		client, settings, err := clusterClient(*configFile)
		if err != nil {
			return err
		}
		defer client.Close()
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		acquireCtx, stopAcquire := context.WithCancel(ctx)
		defer stopAcquire()
		if *maxWait > 0 {
			timer := time.AfterFunc(*maxWait, stopAcquire)
			defer timer.Stop()
		}
		result := error(exitCode(exitNotAcquired))
		client.Hold(acquireCtx, args[0], func(_ context.Context, heldLease *cluster.HeldLease) bool {
			result = runUnderLease(ctx, cmd, heldLease, settings.Lease, args[0], args[1:])
			return false
		})
		return result
	}
	return c
}

// runUnderLease runs the command, and ends it while the lease is still held for sure.
func runUnderLease(ctx context.Context, cmd *cobra.Command, heldLease *cluster.HeldLease, leaseDuration time.Duration, leaseName string, args []string) error {
	runtime.LockOSThread() // Pdeathsig is tied to the thread that starts the child
	defer runtime.UnlockOSThread()
	c := exec.Command(args[0], args[1:]...)
	c.Stdin, c.Stdout, c.Stderr = cmd.InOrStdin(), cmd.OutOrStdout(), cmd.ErrOrStderr()
	c.Env = append(os.Environ(), "THISTLERUDDER_LEASE="+leaseName, fmt.Sprintf("THISTLERUDDER_TOKEN=%d", heldLease.Token()))
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if !heldLease.MayAct(leaseDuration / terminateDivisor) {
		return exitCode(exitNotAcquired)
	}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() { exited <- c.Wait() }()
	signalGroup := func(s syscall.Signal) { _ = syscall.Kill(-c.Process.Pid, s) }
	checkTicker := time.NewTicker(max(time.Millisecond, leaseDuration/checksPerLease))
	defer checkTicker.Stop()
	shutdown := ctx.Done()
	leaseLost := false
	for {
		select {
		case err := <-exited:
			signalGroup(syscall.SIGKILL) // children that it left behind
			if leaseLost {
				return exitCode(exitLost)
			}
			return commandExitCode(err)
		case <-shutdown: // our own end is asked for: the command's too, and its lease is kept until then
			shutdown = nil
			signalGroup(syscall.SIGTERM)
		case <-checkTicker.C:
		}
		switch {
		case !heldLease.MayAct(leaseDuration / killDivisor):
			leaseLost = true
			signalGroup(syscall.SIGKILL)
		case !leaseLost && !heldLease.MayAct(leaseDuration/terminateDivisor):
			leaseLost = true
			signalGroup(syscall.SIGTERM)
		}
	}
}

// commandExitCode turns the end of a command into the exit status of this program.
func commandExitCode(err error) error {
	exitErr := (*exec.ExitError)(nil)
	if !errors.As(err, &exitErr) {
		return err
	}
	if status := exitErr.Sys().(syscall.WaitStatus); status.Signaled() {
		return exitCode(exitSignalBase + int(status.Signal()))
	}
	return exitCode(exitErr.ExitCode())
}
