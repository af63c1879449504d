package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/adminclient"
)

const statusHelp = `Shows a node's state and its view of the fleet: its version, its calls, the members
with their targets, and the progress of each failure domain with the age of that
information.

EXAMPLES
  jasminegate status --node 10.0.0.7:8081
  JASMINEGATE_NODE=10.0.0.7:8081 jasminegate status -o json`

func statusCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate status", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "jasminegate status --node IP:PORT [flags]",
		ShortHelp:  "Show a node's state and its view of the fleet.",
		LongHelp:   statusHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := exactArguments(flags, args, 0); err != nil {
				return err
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				status, err := client.Status(ctx)
				if err != nil {
					return err
				}
				return write(streams.Out, *format, status, func(out io.Writer) { printStatus(out, status) })
			})
		},
	}
}

func printStatus(out io.Writer, status adminapi.Status) {
	rows := newTable(out)
	rows.row("node", status.Node)
	rows.row("failure domain", status.Domain)
	rows.row("state", string(status.State))
	rows.row("version", state.FormatPosition(status.Version.Position)+"@"+status.Version.Digest)
	rows.row("incarnation", fmt.Sprint(status.Incarnation))
	rows.row("calls in flight", fmt.Sprint(status.CallsInFlight))
	rows.row("calls waiting", fmt.Sprint(status.QueueLength))
	rows.flush()
	fmt.Fprintln(out)
	printDomains(out, status.Domains)
	fmt.Fprintln(out)
	members := newTable(out, "MEMBER", "DOMAIN", "STATE", "SERVICE", "TARGET", "SLOTS")
	for _, member := range status.Members {
		members.row(member.ID, member.Domain, member.State, orDash(member.Service), orDash(member.Target), fmt.Sprint(member.Slots))
	}
	members.flush()
}

// printDomains prints the failure domains. HEARD is the age of the domain's newest
// summary; LEFT OUT lists the members that are no longer counted, with the reason.
func printDomains(out io.Writer, domains []adminapi.DomainProgress) {
	rows := newTable(out, "DOMAIN", "MEMBERS", "LEAST VERSION", "BEHIND", "HEARD", "LEFT OUT")
	for _, domain := range domains {
		rows.row(domain.Domain, fmt.Sprint(domain.Members), state.FormatPosition(domain.LeastPosition),
			orDash(strings.Join(domain.Laggards, ",")), formatAge(domain.AgeMS)+" ago", orDash(strings.Join(domain.LeftOut, "; ")))
	}
	rows.flush()
}
