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
	exitSignal      = 128
)

// exitStatus is an error that ends the program with a status of its own.
type exitStatus int

func (e exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(e)) }

const (
	terminateAtPart = 3  // SIGTERM with a third of the lease left: renewals have failed for a third
	killAtPart      = 10 // SIGKILL with a tenth of it left
	checksPerLease  = 50 // how often the lease is checked in its duration
)

func leaseRun(file *string) *cobra.Command {
	c := &cobra.Command{Use: "run NAME -- COMMAND [ARG...]", Args: cobra.MinimumNArgs(2),
		Short: "Run a command while holding a lease, its token in $THISTLERUDDER_TOKEN",
		Long: "Run a command while holding a lease. $THISTLERUDDER_LEASE and $THISTLERUDDER_TOKEN are in its environment; whatever it\n" +
			"writes to should refuse a token below one that it has seen. When the lease can't be renewed, the command and all its\n" +
			"children get SIGTERM with a third of the lease left, and SIGKILL with a tenth left.\n\n" +
			"Exit status: the command's own; 128 and the signal's number if a signal ended it; 75 if the lease was not had in\n" +
			"time, so that nothing was run; 76 if the lease could not be kept, so that the command was ended."}
	wait := c.Flags().Duration("wait", 0, "how long to wait for the lease; 0: until it is had")
	c.SilenceErrors = true
	c.RunE = func(cmd *cobra.Command, args []string) (err error) {
		defer func() {
			if status := exitStatus(0); err != nil && !errors.As(err, &status) {
				cmd.PrintErrln("Error:", err)
			}
		}()
		client, f, err := clusterClient(*file)
		if err != nil {
			return err
		}
		defer client.Close()
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		waiting, enough := context.WithCancel(ctx)
		defer enough()
		if *wait > 0 {
			late := time.AfterFunc(*wait, enough)
			defer late.Stop()
		}
		result := error(exitStatus(exitNotAcquired))
		client.Hold(waiting, args[0], func(_ context.Context, held *cluster.HeldLease) bool {
			result = runUnderLease(ctx, cmd, held, f.Lease, args[0], args[1:])
			return false
		})
		return result
	}
	return c
}

// runUnderLease runs the command, and ends it while the lease is still held for sure.
func runUnderLease(ctx context.Context, cmd *cobra.Command, held *cluster.HeldLease, duration time.Duration, name string, args []string) error {
	runtime.LockOSThread() // Pdeathsig is tied to the thread that starts the child
	defer runtime.UnlockOSThread()
	c := exec.Command(args[0], args[1:]...)
	c.Stdin, c.Stdout, c.Stderr = cmd.InOrStdin(), cmd.OutOrStdout(), cmd.ErrOrStderr()
	c.Env = append(os.Environ(), "THISTLERUDDER_LEASE="+name, fmt.Sprintf("THISTLERUDDER_TOKEN=%d", held.Token()))
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if !held.MayAct(duration / terminateAtPart) {
		return exitStatus(exitNotAcquired)
	}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	signalGroup := func(s syscall.Signal) { _ = syscall.Kill(-c.Process.Pid, s) }
	check := time.NewTicker(max(time.Millisecond, duration/checksPerLease))
	defer check.Stop()
	stopped := ctx.Done()
	lost := false
	for {
		select {
		case err := <-ended:
			signalGroup(syscall.SIGKILL) // children that it left behind
			if lost {
				return exitStatus(exitLost)
			}
			return statusOf(err)
		case <-stopped: // our own end is asked for: the command's too, and its lease is kept until then
			stopped = nil
			signalGroup(syscall.SIGTERM)
		case <-check.C:
		}
		switch {
		case !held.MayAct(duration / killAtPart):
			lost = true
			signalGroup(syscall.SIGKILL)
		case !lost && !held.MayAct(duration/terminateAtPart):
			lost = true
			signalGroup(syscall.SIGTERM)
		}
	}
}

// statusOf turns the end of a command into the exit status of this program.
func statusOf(err error) error {
	exit := (*exec.ExitError)(nil)
	if !errors.As(err, &exit) {
		return err
	}
	if status := exit.Sys().(syscall.WaitStatus); status.Signaled() {
		return exitStatus(exitSignal + int(status.Signal()))
	}
	return exitStatus(exit.ExitCode())
}
