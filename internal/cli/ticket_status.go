package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/adminclient"
)

const ticketStatusHelp = `Shows the state of a ticket; any node can be asked. States: unknown, pending,
rejected, accepted, in_force, unconfirmed; docs/operators/read-back.md explains what
to do in each. Exits 0 if the ticket is in force, 3 if it is rejected, 4 otherwise.

EXAMPLES
  jasminegate ticket status 7 --node 10.0.0.7:8081
  jasminegate ticket status 7 --node 10.0.0.7:8081 --content 6f1a52c09be4d370 --wait --timeout 1m`

func ticketStatusCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate ticket status", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	content := flags.String("content", "", "content `HASH` that publish printed; distinguishes tickets with the same number")
	wait := flags.Bool("wait", false, "wait until the ticket is in force")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "jasminegate ticket status NUMBER --node IP:PORT [flags]",
		ShortHelp:  "Show the state of a ticket.",
		LongHelp:   ticketStatusHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			numbers, err := exactArguments(flags, args, 1)
			if err != nil {
				return err
			}
			number, err := strconv.ParseUint(numbers[0], 10, 64)
			if err != nil {
				return ErrUsage.New("%q is not a ticket number: give a whole number such as 7", numbers[0])
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				if *wait {
					return waitInForce(ctx, client, streams, *format, number, *content)
				}
				return readBack(ctx, client, streams, *format, number, *content)
			})
		},
	}
}

func readBack(ctx context.Context, client *adminclient.Client, streams Streams, format string, number uint64, content string) error {
	status, err := client.TicketStatus(ctx, number, content)
	if err != nil {
		return err
	}
	return reportState(streams, format, status)
}

// waitInForce polls the ticket's state until it is final or ctx ends, and shows
// progress on a terminal.
func waitInForce(ctx context.Context, client *adminclient.Client, streams Streams, format string, number uint64, content string) error {
	progress := newProgress(streams)
	status, err := client.Wait(ctx, number, content, progress.show)
	progress.end()
	if err != nil {
		return err
	}
	return reportState(streams, format, status)
}

// reportState prints the ticket's state. It returns nil if the ticket is in force,
// ErrRejected if it is rejected, and otherwise ErrNotInForce.
func reportState(streams Streams, format string, status adminapi.TicketStatus) error {
	if err := write(streams.Out, format, status, func(out io.Writer) { printTicket(out, status) }); err != nil {
		return err
	}
	switch status.State {
	case adminapi.TicketInForce:
		return nil
	case adminapi.TicketRejected:
		return ErrRejected.New("ticket %d is rejected: %s", status.Number, status.Reason)
	}
	return ErrNotInForce.New("ticket %d is not in force: it is %s: see docs/operators/read-back.md, or wait longer with --wait --timeout", status.Number, status.State)
}

func printTicket(out io.Writer, status adminapi.TicketStatus) {
	rows := newTable(out)
	rows.row("ticket", formatUint(status.Number))
	rows.row("state", string(status.State)+durationSuffix(status.SinceMS))
	rows.row("content", orDash(status.Content))
	rows.row("version", state.FormatPosition(status.Position)) // a ticket's status has no digest
	if status.Reason != "" {
		rows.row("reason", status.Reason)
	}
	rows.flush()
	if len(status.Domains) > 0 {
		fmt.Fprintln(out)
		printDomains(out, status.Domains)
	}
}

// durationSuffix returns the time since the newest summary of a domain that has no
// fresh one, as text to append to the state. It is empty if there is no such domain.
func durationSuffix(milliseconds int64) string {
	if milliseconds <= 0 {
		return ""
	}
	return " for " + formatAge(milliseconds)
}

func formatUint(number uint64) string {
	return strconv.FormatUint(number, 10)
}
