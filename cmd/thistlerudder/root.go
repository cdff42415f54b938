package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/node"
)

// fileVariable names the configuration file when no flag does.
const fileVariable = "BALANCER_CONFIG"

func root() *cobra.Command {
	c := &cobra.Command{
		Use:          "thistlerudder",
		Short:        "A router for fleets of cache servers",
		SilenceUsage: true,
	}
	file := c.PersistentFlags().String(
		"config",
		os.Getenv(fileVariable),
		"the node's configuration file, JSON (default $"+fileVariable+")",
	)
	c.AddCommand(serve(file), check(file), emulate(), fleetCommand(file), leaseCommand(file), budgetCommand(file), version())
	c.AddCommand(faultTests()...)
	return c
}

func serve(file *string) *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run one node in the foreground; SIGTERM ends it well, SIGHUP reads its file anew",
		Args:  cobra.NoArgs,
	}
	level := c.Flags().String("log-level", "info", "debug, info, warn or error")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		// Before anything else, and never undone: without a handler the signal ends the program.
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGHUP)
		settings, err := config.Read(*file)
		if err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		log, err := logger(*level)
		if err != nil {
			return fmt.Errorf("log-level: %w", err)
		}
		defer func() { _ = log.Sync() }() // standard error may not support it
		// The transport writes there what a server sent too much, customers' bytes among it.
		defer zap.RedirectStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))()
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return node.Run(ctx, settings, signals, log)
	}
	return c
}

func check(file *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check a configuration and say what a node would start with",
		Long: "Check a configuration and say what a node would start with. At the start BALANCER_NAME,\n" +
			"BALANCER_LISTEN and BALANCER_DISCOVERY come before the file; at SIGHUP the file's discovery\n" +
			"address comes before the variable's.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := config.Read(*file)
			if err != nil {
				return fmt.Errorf("configuration: %w", err)
			}
			cmd.Printf(
				"%s listens on %s, asks %s, %d namespaces, %d partners, %g cores, %d MB, %d descriptors\n",
				s.Name,
				s.ListenAddress,
				s.Discovery,
				len(s.Classes),
				len(s.Tenants),
				s.Cores,
				s.MemoryMB,
				s.Descriptors,
			)
			return nil
		},
	}
}

func version() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Say which build this is",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			cmd.Println(build())
		},
	}
}

func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "thistlerudder, unknown build"
	}
	revision := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = " " + s.Value
		}
	}
	return "thistlerudder " + info.Main.Version + revision + " " + info.GoVersion
}

// logger writes JSON lines to standard error; lines of one kind are sampled, so that a fault that hits
// every request can't fill the log. At debug each line is written, since one request is followed there by its id.
func logger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	z := zap.NewProductionConfig()
	z.Level = zap.NewAtomicLevelAt(l)
	z.Sampling = nil
	if l > zapcore.DebugLevel {
		z.Sampling = &zap.SamplingConfig{Initial: 10, Thereafter: 100}
	}
	z.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	z.DisableStacktrace = true
	return z.Build()
}
