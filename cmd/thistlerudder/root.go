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

// configFileEnv is the environment variable that holds the path of the configuration file, unless --config is set.
const configFileEnv = "BALANCER_CONFIG"

// rootCommand returns the command line of the program.
func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:          "thistlerudder",
		Short:        "A router for fleets of cache servers",
		SilenceUsage: true,
	}
	configFile := c.PersistentFlags().String(
		"config",
		os.Getenv(configFileEnv),
		"path of the node's configuration file, JSON (default $"+configFileEnv+")",
	)
	c.AddCommand(
		serveCommand(configFile),
		checkCommand(configFile),
		emulateCommand(),
		fleetCommand(configFile),
		leaseCommand(configFile),
		budgetCommand(configFile),
		versionCommand(),
	)
	c.AddCommand(faultTestCommands()...)
	return c
}

func serveCommand(configFile *string) *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run one node in the foreground; SIGTERM shuts it down gracefully, SIGHUP reloads its configuration",
		Args:  cobra.NoArgs,
	}
	logLevel := c.Flags().String("log-level", "info", "debug, info, warn or error")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		// This comes first and is never undone, because SIGHUP ends a process that has no handler for it.
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
		defer func() { _ = log.Sync() }() // syncing standard error may be unsupported
		// net/http's transport logs unsolicited bytes of a server to the standard logger. They may contain customers' data, so
		// these lines are not written.
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
		Short: "Check a configuration and print what a node would start with",
		Long: "Check a configuration and print what a node would start with. At the start, BALANCER_NAME, BALANCER_LISTEN\n" +
			"and BALANCER_DISCOVERY override the file; at SIGHUP, the discovery address of the file overrides the variable.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := config.Read(*configFile)
			if err != nil {
				return fmt.Errorf("configuration: %w", err)
			}
			cmd.Printf(
				"%s listens on %s, asks %s, %d namespaces, %d partners, %g cores, %d MB, %d descriptors\n",
				settings.Name,
				settings.ListenAddress,
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
		Short: "Print the version of this build",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			cmd.Println(buildVersion())
		},
	}
}

// buildVersion returns the version and the commit of this build, and the Go version that compiled it.
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

// newLogger returns a logger that writes JSON lines to standard error. It samples lines with the same message, so that a fault
// that affects every request can't flood the log. At the debug level it writes every line, because an operator follows single
// requests by their ids there.
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
