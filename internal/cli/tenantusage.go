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

const tenantsUsageHelp = `Lists the tenants with their quotas, the requests that the node had of them since its
start, and how many of these it refused with 429. The use of the whole fleet is known to
the coordinator of each failure domain, which the last line names: ask that node for it.

EXAMPLES
  jasminegate tenants usage --node 10.0.0.7:8081`

func tenantsUsageCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate tenants usage", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	return &ffcli.Command{
		Name:       "usage",
		ShortUsage: "jasminegate tenants usage --node IP:PORT [flags]",
		ShortHelp:  "List the tenants with their quotas and use.",
		LongHelp:   tenantsUsageHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := exactArguments(flags, args, 0); err != nil {
				return err
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				list, err := client.TenantUsage(ctx)
				return writeTenantUsage(streams, *format, list, err)
			})
		},
	}
}

func writeTenantUsage(streams Streams, format string, list adminapi.TenantUsageList, err error) error {
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
