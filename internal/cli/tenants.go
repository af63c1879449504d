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

func tenantsCommand(streams Streams) *ffcli.Command {
	return &ffcli.Command{
		Name:        "tenants",
		ShortUsage:  "jasminegate tenants <subcommand>",
		ShortHelp:   "Show tenants with their quotas and use.",
		FlagSet:     newFlags("jasminegate tenants", streams),
		Subcommands: []*ffcli.Command{tenantsListCommand(streams)},
	}
}

const tenantsListHelp = `Lists the tenants with their quotas, the requests that the node had of them since its
start, and how many of these it refused with 429. The use of the whole fleet is known to
the coordinator of each failure domain, which the last line names: ask that node for it.

EXAMPLES
  jasminegate tenants list --node 10.0.0.7:8081`

func tenantsListCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate tenants list", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "jasminegate tenants list --node IP:PORT [flags]",
		ShortHelp:  "List the tenants with their quotas and use.",
		LongHelp:   tenantsListHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := exactArguments(flags, args, 0); err != nil {
				return err
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				list, err := client.Tenants(ctx)
				return writeTenants(streams, *format, list, err)
			})
		},
	}
}

func writeTenants(streams Streams, format string, list adminapi.TenantList, err error) error {
	if err != nil {
		return err
	}
	return write(streams.Out, format, list, func(out io.Writer) {
		rows := newTable(out, "TENANT", "RATE/S", "BURST", "REQUESTS", "REFUSED", "DEMAND/S", "LEFT", "STATE")
		for _, t := range list.Tenants {
			demand, level, state := "", "", ""
			if t.Fleet != nil {
				demand, level, state = decimal(t.Fleet.DemandPerS), decimal(t.Fleet.Level), "within"
				if t.Fleet.Over {
					state = "over"
				}
			}
			rows.row(t.Name, decimal(t.RatePerS), decimal(t.Burst), strconv.FormatInt(t.NodeRequests, 10),
				strconv.FormatInt(t.NodeRefused, 10), orDash(demand), orDash(level), orDash(state))
		}
		rows.flush()
		fmt.Fprintf(out, "tenants: %d, coordinator: %s\n", len(list.Tenants), list.Coordinator)
	})
}

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', 1, 64) }
