package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/config"
	"jasminegate/internal/logging"
	"jasminegate/internal/node"
)

const nodeHelp = `Runs the node beside a target. SIGTERM starts a planned shutdown: work in flight is
finished and new work is refused. SIGHUP reloads the settings file; only the log
level changes without a restart. Events are written to standard output as JSON
lines; docs/events.md lists them.

EXAMPLES
  jasminegate node --config /etc/jasminegate/node.yaml
  JASMINEGATE_NODE_ID=web-1 jasminegate node --config node.yaml --telemetry.log_level debug`

const nodeCommandName = "node"

func nodeCommand(streams Streams, adapters map[string]node.AdapterFactory) *ffcli.Command {
	flags := newFlags("jasminegate node", streams)
	path := flags.String("config", "", "settings `FILE` (required)")
	overrides := config.RegisterFlags(flags)
	return &ffcli.Command{
		Name:       nodeCommandName,
		ShortUsage: "jasminegate node --config FILE [flags]",
		ShortHelp:  "Run the node beside a target.",
		LongHelp:   nodeHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := exactArguments(flags, args, 0); err != nil {
				return err
			}
			if *path == "" {
				return ErrUsage.New("no settings file given: name it with --config FILE or JASMINEGATE_CONFIG")
			}
			return runNode(ctx, streams, adapters, *path, overrides.List)
		},
	}
}

func runNode(ctx context.Context, streams Streams, adapters map[string]node.AdapterFactory, path string, overrides []config.Override) error {
	// The runtime ends a process that writes to a closed standard output, unless the signal is
	// ignored. A node goes on without its log.
	signal.Ignore(syscall.SIGPIPE)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	loaded, err := config.LoadAll(path, overrides...)
	if err != nil {
		return logProblems(streams, path, err)
	}
	settings := loaded.Settings
	logger := logging.NewLossy(streams.Out, settings.Telemetry.LogLevel, settings.Node.ID)
	defer logger.Close()
	go reloadOnSignal(ctx, reloads, logger, func() (config.Settings, error) { return config.Load(path, overrides...) })
	for _, problem := range loaded.Ignored {
		logger.Event(logging.StatementIgnored).Str("problem", problem.String()).Send()
	}
	for _, d := range loaded.Derived {
		logger.Event(logging.SettingDerived).Str("key", d.Key).Str("value", d.Value).Str("from", d.From).Send()
	}
	return node.Run(ctx, settings, adapters, logger)
}

// reloadOnSignal loads the settings again at each signal and sets the log level. If the
// settings are rejected, nothing changes.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, logger *logging.Logger, load func() (config.Settings, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		var settings config.Settings
		err := logger.Guard("reload of the settings", func() (err error) {
			settings, err = load()
			return err
		})
		if err != nil {
			logger.Event(logging.SettingsRejected).Str("problem", err.Error()).Send()
			continue
		}
		logger.SetLevel(settings.Telemetry.LogLevel)
		logger.Event(logging.SettingsReloaded).Str("log_level", settings.Telemetry.LogLevel).Send()
	}
}

// logProblems logs one event for each problem of the settings and returns
// ErrRejected. It returns errors other than *config.Problems unchanged.
func logProblems(streams Streams, path string, err error) error {
	problems, ok := err.(*config.Problems)
	if !ok {
		return err
	}
	logger := logging.New(streams.Out, "info", "")
	for _, problem := range problems.List {
		logger.Event(logging.SettingsRejected).Str("problem", problem.String()).Send()
	}
	return ErrRejected.New("settings %s: problems found: %d, logged on standard output: correct them and check the file with jasminegate config check", path, len(problems.List))
}
