package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/protocol/ticketfile"
	"jasminegate/internal/transport/adminclient"
)

const ticketPublishHelp = `Publishes a ticket through any node. While the node or the platform does not
respond, the command retries until the timeout. Retries are safe, also by running
the command again: a ticket with the same number and content is the same ticket.
Without --wait the command ends when the ticket is on the log; with --wait it ends
when the ticket is in force on every node or rejected, or at the timeout.

EXAMPLES
  jasminegate ticket publish 0007-timeouts.yaml --node 10.0.0.7:8081
  jasminegate ticket publish 0007-timeouts.yaml --node 10.0.0.7:8081 --wait --timeout 1m`

func ticketPublishCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate ticket publish", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	wait := flags.Bool("wait", false, "wait until the ticket is in force")
	return &ffcli.Command{
		Name:       "publish",
		ShortUsage: "jasminegate ticket publish FILE --node IP:PORT [--wait] [--timeout DURATION]",
		ShortHelp:  "Publish a ticket.",
		LongHelp:   ticketPublishHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			files, err := exactArguments(flags, args, 1)
			if err != nil {
				return err
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				return publish(ctx, client, streams, *format, files[0], *wait)
			})
		},
	}
}

func publish(ctx context.Context, client *adminclient.Client, streams Streams, format, file string, wait bool) error {
	ticket, err := ticketfile.Load(file)
	if err != nil {
		return err
	}
	response, err := client.Publish(ctx, ticket)
	if err != nil {
		return err
	}
	if wait {
		return waitInForce(ctx, client, streams, format, response.Number, response.Content)
	}
	return write(streams.Out, format, response, func(out io.Writer) { printPublished(out, response) })
}

func printPublished(out io.Writer, response adminapi.PublishResponse) {
	fmt.Fprintf(out, "ticket %d with content %s is on the log at offset %d; read it back with jasminegate ticket status %d\n",
		response.Number, response.Content, response.Offset, response.Number)
}
