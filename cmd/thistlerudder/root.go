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

// configFileEnv names the configuration file when no flag does.
const configFileEnv = "BALANCER_CONFIG"

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:          "thistlerudder",
		Short:        "A router for fleets of cache servers",
		SilenceUsage: true,
	}
	configFile := c.PersistentFlags().String(
		"config",
		os.Getenv(configFileEnv),
		"the node's configuration file, JSON (default $"+configFileEnv+")",
	)
	c.AddCommand(serveCommand(configFile), checkCommand(configFile), emulateCommand(), fleetCommand(configFile), leaseCommand(configFile), budgetCommand(configFile), versionCommand())
	c.AddCommand(faultTests()...)
	return c
}

func serveCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run one node in the foreground; SIGTERM ends it well, SIGHUP reads its file anew",
		Args:  cobra.NoArgs,
	}
	logLevel := c.Flags().String("log-level", "info", "debug, info, warn or error")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		// Before anything else, and never undone: without a handler the signal ends the program.
		reloadSignals := make(chan os.Signal, 1)
		signal.Notify(reloadSignals, syscall.SIGHUP)
		settings, err := config.Read(*configFile)
		if err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		log, err := newLogger(*logLevel)
		if err != nil {
			return fmt.Errorf("log-level: %w", err)
		}
		defer func() { _ = log.Sync() }() // standard error may not support it
		// The transport writes there what a server sent too much, customers' bytes among it.
		defer zap.RedirectStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))()
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return node.Run(ctx, settings, reloadSignals, log)
	}
	return c
}

func checkCommand(configFile *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check a configuration and say what a node would start with",
		Long: "Check a configuration and say what a node would start with. At the start BALANCER_NAME,\n" +
			"BALANCER_LISTEN and BALANCER_DISCOVERY come before the file; at SIGHUP the file's discovery\n" +
			"address comes before the variable's.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := config.Read(*configFile)
			if err != nil {
				return fmt.Errorf("configuration: %w", err)
			}
			cmd.Printf(
				"%s listens on %s, asks %s, %d namespaces, %d partners, %g cores, %d MB, %d descriptors\n",
				settings.Name,
				settings.Listen,
				settings.Discovery,
				len(settings.Classes),
				len(settings.Tenants),
				settings.Cores,
				settings.MemoryMB,
				settings.Descriptors,
			)
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Say which build this is",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			cmd.Println(buildVersion())
		},
	}
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "thistlerudder, unknown build"
	}
	revision := ""
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = " " + setting.Value
		}
	}
	return "thistlerudder " + info.Main.Version + revision + " " + info.GoVersion
}

// logger writes JSON lines to standard error; lines of one kind are sampled, so that a fault that hits
// every request can't fill the log. At debug each line is written, since one request is followed there by its id.
func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	loggerConfig := zap.NewProductionConfig()
	loggerConfig.Level = zap.NewAtomicLevelAt(parsed)
	loggerConfig.Sampling = nil
	if parsed > zapcore.DebugLevel {
		loggerConfig.Sampling = &zap.SamplingConfig{Initial: 10, Thereafter: 100}
	}
	loggerConfig.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	loggerConfig.DisableStacktrace = true
	return loggerConfig.Build()
}
