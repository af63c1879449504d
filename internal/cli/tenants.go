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
		Name:       "tenants",
		ShortUsage: "jasminegate tenants <subcommand>",
		ShortHelp:  "Show the tenants that are in force, with their quotas and use.",
		FlagSet:    newFlags("jasminegate tenants", streams),
		Subcommands: []*ffcli.Command{
			tenantsListCommand(streams),
			tenantsShowCommand(streams),
		},
	}
}

const tenantsListHelp = `Lists the tenants that are in force at the node, with the number of their API keys, their
quotas, the requests that the node had of them since its start, and how many of these it
refused with 429. The use of the whole fleet is known to the coordinator of each failure
domain, which the last line names: ask that node for it.

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

const tenantsShowHelp = `Shows one tenant that is in force at the node as "tenants list" does, with the SHA-256
digests of its API keys.
To find out whether a key is one of them, compare its digest:
  printf %s "$KEY" | sha256sum

EXAMPLES
  jasminegate tenants show atelier-nord --node 10.0.0.7:8081`

func tenantsShowCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate tenants show", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "jasminegate tenants show NAME --node IP:PORT [flags]",
		ShortHelp:  "Show one tenant with its quota, its use and the digests of its keys.",
		LongHelp:   tenantsShowHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			names, err := exactArguments(flags, args, 1)
			if err != nil {
				return err
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				list, err := client.Tenant(ctx, names[0])
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
		rows := newTable(out, "TENANT", "KEYS", "PRIORITY", "RATE PER S", "BURST", "REQUESTS", "REFUSED", "DEMAND/S", "LEFT", "SHARE", "STATE")
		for _, t := range list.Tenants {
			demand, level, share, state := "", "", "", ""
			if t.Fleet != nil {
				demand, level, share, state = decimal(t.Fleet.DemandPerS), decimal(t.Fleet.Level), decimal(t.Fleet.DomainShare), "within"
				if t.Fleet.Over {
					state = "over"
				}
			}
			rows.row(t.Name, strconv.Itoa(t.Keys), strconv.Itoa(t.Priority), formatQuota(t.RatePerS), formatQuota(t.Burst),
				strconv.FormatInt(t.NodeRequests, 10), strconv.FormatInt(t.NodeRefused, 10),
				orDash(demand), orDash(level), orDash(share), orDash(state))
		}
		rows.flush()
		for _, t := range list.Tenants {
			for _, digest := range t.KeyDigests {
				fmt.Fprintf(out, "key digest: %s\n", digest)
			}
		}
		fmt.Fprintf(out, "tenants: %d, configuration %s, coordinator: %s\n", len(list.Tenants), list.Version, orDash(list.Coordinator))
	})
}

// formatQuota formats a number of a quota, of which 0 is no limit.
func formatQuota(value float64) string {
	if value == 0 {
		return "-"
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', 1, 64) }
