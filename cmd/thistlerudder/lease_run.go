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

// Exit statuses of "lease run" in addition to those of the command. 75 is EX_TEMPFAIL of sysexits.h, 76 is the next one.
const (
	exitNotAcquired = 75  // the lease was not acquired in time, and the command was not started
	exitLost        = 76  // the lease was lost, and the command was terminated
	exitSignalBase  = 128 // plus the number of the signal that ended the command
)

// exitCode is an error that makes the program exit with this status.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit status %d", int(e)) }

const (
	terminateDivisor = 3  // SIGTERM when a third of the lease is left; renewals have failed for a third of its duration by then
	killDivisor      = 10 // SIGKILL when a tenth of the lease is left
	checksPerLease   = 50 // checks of the lease in one lease duration
)

func leaseRunCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{Use: "run NAME -- COMMAND [ARG...]", Args: cobra.MinimumNArgs(2),
		Short: "Run a command while holding a lease, with its fencing token in $THISTLERUDDER_TOKEN",
		Long: "Run a command while holding a lease. Its environment has the lease's name in $THISTLERUDDER_LEASE and the fencing token in\n" +
			"$THISTLERUDDER_TOKEN. Any resource that the command writes to should refuse a token lower than the highest it has seen.\n" +
			"If the lease can't be renewed, the command and its children get SIGTERM when a third of the lease is left, and SIGKILL when\n" +
			"a tenth is left.\n\n" +
			"Exit status: that of the command; 128 plus the number of the signal, if a signal ended the command; 75 if the lease was not\n" +
			"acquired in time, so that the command was not started; 76 if the lease was lost, so that the command was terminated."}
	maxWait := c.Flags().Duration("wait", 0, "how long to wait for the lease; 0: no limit")
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

// runUnderLease runs the command while cluster.Client.Hold renews the lease. If renewals fail, it ends the command while the lease is still
// certain to be held. If ctx ends, it sends SIGTERM to the command and returns, which releases the lease, only when the command has exited.
func runUnderLease(ctx context.Context, cmd *cobra.Command, heldLease *cluster.HeldLease, leaseDuration time.Duration, leaseName string,
	args []string,
) error {
	runtime.LockOSThread() // the kernel sends Pdeathsig when the thread that started the child ends
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
			signalGroup(syscall.SIGKILL) // children that outlived the command
			if leaseLost {
				return exitCode(exitLost)
			}
			return commandExitCode(err)
		case <-shutdown: // this program was told to end: it ends the command, and holds the lease until the command exits
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

// commandExitCode converts the error of exec.Cmd.Wait to the exit status of this program. A nil error stays nil.
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
