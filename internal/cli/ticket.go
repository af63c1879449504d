package cli

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/protocol/ticketfile"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/adminclient"
)

func ticketCommand(streams Streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "ticket",
		ShortUsage: "jasminegate ticket <subcommand>",
		ShortHelp:  "Publish tickets and show their state.",
		FlagSet:    newFlags("jasminegate ticket", streams),
		Subcommands: []*ffcli.Command{
			ticketPublishCommand(streams),
			ticketStatusCommand(streams),
			ticketListCommand(streams),
			ticketCheckCommand(streams),
		},
	}
}

const ticketCheckHelp = `Checks a ticket file without contacting a node. Lists all problems at once. Whether
the number is new and each route's service exists is checked only when the ticket
is published. Exits 3 if there is a problem.

EXAMPLES
  jasminegate ticket check 0007-timeouts.yaml`

func ticketCheckCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate ticket check", streams)
	format := outputFlag(flags)
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "jasminegate ticket check FILE [-o json]",
		ShortHelp:  "Check a ticket file offline.",
		LongHelp:   ticketCheckHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			files, err := exactArguments(flags, args, 1)
			if err != nil {
				return err
			}
			_, err = ticketfile.Load(files[0])
			return reportCheck(streams, *format, files[0], err)
		},
	}
}

const ticketListHelp = `Lists the most recent verdicts on tickets that a node has, the newest last.

EXAMPLES
  jasminegate ticket list --node 10.0.0.7:8081`

func ticketListCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate ticket list", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "jasminegate ticket list --node IP:PORT [flags]",
		ShortHelp:  "List recent verdicts on tickets.",
		LongHelp:   ticketListHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := exactArguments(flags, args, 0); err != nil {
				return err
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				list, err := client.Verdicts(ctx)
				if err != nil {
					return err
				}
				return write(streams.Out, *format, list, func(out io.Writer) { printVerdicts(out, list) })
			})
		},
	}
}

func printVerdicts(out io.Writer, list adminapi.VerdictList) {
	rows := newTable(out, "NUMBER", "CONTENT", "POSITION", "OUTCOME", "REASON")
	for _, verdict := range list.Verdicts {
		rows.row(formatUint(verdict.Number), verdict.Content, state.FormatPosition(verdict.Position), verdict.Outcome, orDash(verdict.Reason))
	}
	rows.flush()
}
