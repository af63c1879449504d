// Package cli implements the command line of the jasminegate binary.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/config"
	"jasminegate/internal/node"
)

// Streams are the input and output streams of a command. Results go to Out,
// everything else to Err.
type Streams struct {
	// In may be nil for commands that read nothing.
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// ErrIsTerminal reports whether Err is a terminal, on which progress can be shown.
	ErrIsTerminal bool
}

// Run runs the command that args name until it ends or ctx is done, and returns the
// exit code of the process. adapters are the platform adapters that settings can
// select, by name.
func Run(ctx context.Context, args []string, streams Streams, adapters map[string]node.AdapterFactory) ExitCode {
	root := rootCommand(streams, adapters)
	if err := root.Parse(args); err != nil {
		return reportParse(err, streams)
	}
	err := runUntilHangup(ctx, root, args)
	if errors.Is(err, errHelpShown) {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(streams.Err, messageOf(err))
	}
	return exitCodeOf(err)
}

// runUntilHangup ends a command at SIGHUP, except for a node, which loads its settings again.
func runUntilHangup(ctx context.Context, root *ffcli.Command, args []string) error {
	if len(args) > 0 && args[0] == nodeCommandName {
		return root.Run(ctx)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGHUP)
	defer stop()
	return root.Run(ctx)
}

func reportParse(err error, streams Streams) ExitCode {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	var group ffcli.NoExecError
	if errors.As(err, &group) {
		group.Command.FlagSet.Usage()
		if rest := group.Command.FlagSet.Args(); len(rest) > 0 {
			fmt.Fprintf(streams.Err, "unknown command %q: use one of the subcommands above\n", rest[0])
		}
		return ExitUsage
	}
	fmt.Fprintln(streams.Err, err)
	return ExitUsage
}

func messageOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}

func rootCommand(streams Streams, adapters map[string]node.AdapterFactory) *ffcli.Command {
	return &ffcli.Command{
		Name:       "jasminegate",
		ShortUsage: "jasminegate <subcommand> [flags] [arguments]",
		ShortHelp:  "Distributes configuration to a service mesh and carries its calls.",
		LongHelp:   exitCodeHelp,
		FlagSet:    newFlags("jasminegate", streams),
		Subcommands: []*ffcli.Command{
			nodeCommand(streams, adapters),
			ticketCommand(streams),
			configCommand(streams),
			statusCommand(streams),
			quarantineCommand(streams),
			rolloutCommand(streams),
			tenantsCommand(streams),
			explainCommand(streams),
			versionCommand(streams),
		},
	}
}

const exitCodeHelp = `EXIT CODES
  0  success
  1  failed for another reason
  2  usage error: the command line is wrong or a file cannot be read
  3  rejected: a ticket or settings file breaks a rule, or the fleet rejected the ticket
  4  not in force: the ticket is not in force yet, or was not before the timeout
  5  unreachable: the node or the platform did not respond

Each flag can be set by an environment variable: JASMINEGATE_ and the flag's name
in capitals, with _ for each dot and hyphen. Flags take precedence over environment
variables, and both over the settings file.`

// newFlags returns an empty flag set that writes its help to streams.Err.
func newFlags(name string, streams Streams) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(streams.Err)
	return flags
}

// fromEnv returns the option that sets flags from environment variables.
func fromEnv() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(config.EnvPrefix)}
}

// exactArguments returns the positional arguments. It fails with ErrUsage unless there
// are exactly count. Flags may come before, between and after them.
func exactArguments(flags *flag.FlagSet, args []string, count int) ([]string, error) {
	found, err := positionalArguments(flags, args)
	if err != nil {
		return nil, err
	}
	if len(found) != count {
		return nil, ErrUsage.New("%d arguments given instead of %d: see %s -h", len(found), count, flags.Name())
	}
	return found, nil
}

// positionalArguments parses the flags in args and returns the positional arguments.
// Flags may come before, between and after them.
func positionalArguments(flags *flag.FlagSet, args []string) ([]string, error) {
	var found []string
	for len(args) > 0 {
		found = append(found, args[0])
		if err := flags.Parse(args[1:]); err != nil {
			return nil, parseError(err)
		}
		args = flags.Args()
	}
	return found, nil
}

// errHelpShown means that the flag set has shown the requested help.
var errHelpShown = errors.New("help shown")

// parseError returns errHelpShown for a request for help, and otherwise ErrUsage.
func parseError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return errHelpShown
	}
	return ErrUsage.New("%v", err)
}
