package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/transport/adminclient"
)

func quarantineCommand(streams Streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "quarantine",
		ShortUsage: "jasminegate quarantine <subcommand>",
		ShortHelp:  "Show and lift the quarantine of requests that crash targets.",
		FlagSet:    newFlags("jasminegate quarantine", streams),
		Subcommands: []*ffcli.Command{
			quarantineListCommand(streams),
			quarantineLiftCommand(streams),
		},
	}
}

const quarantineListHelp = `Lists the requests under which targets crashed: those that are refused, and those that
are only suspected, which are served. Any node can be asked.

EXAMPLES
  jasminegate quarantine list --node 10.0.0.7:8081`

func quarantineListCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate quarantine list", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "jasminegate quarantine list --node IP:PORT [flags]",
		ShortHelp:  "List the requests under which targets crashed.",
		LongHelp:   quarantineListHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := exactArguments(flags, args, 0); err != nil {
				return err
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				list, err := client.Quarantine(ctx)
				return writeQuarantine(streams, *format, list, err)
			})
		},
	}
}

const quarantineLiftHelp = `Lets a request through again at all nodes, for example after a release that mends the
target, and forgets the crashes noted with it. Prints the requests that remain. Exits 3
if the ID is malformed, and 1 if the node knows of no crash under that request.

EXAMPLES
  jasminegate quarantine lift 6f1a52c09be4d370 --node 10.0.0.7:8081`

func quarantineLiftCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate quarantine lift", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	return &ffcli.Command{
		Name:       "lift",
		ShortUsage: "jasminegate quarantine lift ID --node IP:PORT [flags]",
		ShortHelp:  "Let a request through again.",
		LongHelp:   quarantineLiftHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			ids, err := exactArguments(flags, args, 1)
			if err != nil {
				return err
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				list, err := client.LiftQuarantine(ctx, ids[0])
				return writeQuarantine(streams, *format, list, err)
			})
		},
	}
}

func writeQuarantine(streams Streams, format string, list adminapi.QuarantineList, err error) error {
	if err != nil {
		return err
	}
	return write(streams.Out, format, list, func(out io.Writer) {
		rows := newTable(out, "ID", "STATE", "CRASHES", "ENDS IN", "CALLER SERVICE", "METHOD", "URI")
		for _, r := range list.Requests {
			state := "suspected"
			if r.Refused {
				state = "refused"
			}
			rows.row(r.ID, state, strconv.Itoa(r.Crashes), formatAge(r.RemainingMS), orDash(r.CallerService), orDash(r.Method), orDash(r.URI))
		}
		rows.flush()
		fmt.Fprintf(out, "requests: %d\n", len(list.Requests))
	})
}
