// Package cli is the command line of the jasminegate binary.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/config"
	"jasminegate/internal/node"
)

// Streams are where a command reads and writes: results to Out, all else to Err.
type Streams struct {
	// In may be nil for commands that read nothing.
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// ErrIsTerminal says that a person watches Err, so that progress is shown there.
	ErrIsTerminal bool
}

// Run runs the command that args name until it ends or ctx does. Nodes may use
// the adapters to platforms by their names.
func Run(ctx context.Context, args []string, streams Streams, adapters map[string]node.AdapterFactory) ExitCode {
	root := rootCommand(streams, adapters)
	if err := root.Parse(args); err != nil {
		return reportParse(err, streams)
	}
	err := root.Run(ctx)
	if errors.Is(err, errHelpShown) {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(streams.Err, messageOf(err))
	}
	return exitCodeOf(err)
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
			explainCommand(streams),
			versionCommand(streams),
		},
	}
}

const exitCodeHelp = `EXIT CODES
  0  fine
  1  failed for another reason
  2  wrong usage: the command line or a file's path
  3  rejected: a ticket or settings file breaks a rule, or the fleet rejected the ticket
  4  not in force when the time was up
  5  unreachable: the node or the platform did not answer

Each flag can be set by the environment: JASMINEGATE_ and its name in capitals,
with _ for each dot and hyphen. Flags go before the environment, and both go
before the settings file.`

// newFlags returns an empty flag set whose help goes to Err.
func newFlags(name string, streams Streams) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(streams.Err)
	return flags
}

// fromEnv lets the environment set the flags.
func fromEnv() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(config.EnvPrefix)}
}

// arguments returns the count arguments that are not flags. Flags may stand
// before, between and after them.
func arguments(flags *flag.FlagSet, args []string, count int) ([]string, error) {
	found, err := positional(flags, args)
	if err != nil {
		return nil, err
	}
	if len(found) != count {
		return nil, ErrUsage.New("%d arguments given instead of %d: see %s -h", len(found), count, flags.Name())
	}
	return found, nil
}

// positional returns the arguments that are no flags; flags may stand anywhere.
func positional(flags *flag.FlagSet, args []string) ([]string, error) {
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

// errHelpShown says that the flag set has shown the help that was asked for.
var errHelpShown = errors.New("help shown")

// parseError keeps a request for help apart from a wrong command line.
func parseError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return errHelpShown
	}
	return ErrUsage.New("%v", err)
}
