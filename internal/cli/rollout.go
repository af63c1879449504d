package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/transport/adminclient"
)

func rolloutCommand(streams Streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "rollout",
		ShortUsage: "jasminegate rollout <subcommand>",
		ShortHelp:  "Show and abort rollouts of new versions of targets' software.",
		FlagSet:    newFlags("jasminegate rollout", streams),
		Subcommands: []*ffcli.Command{
			rolloutListCommand(streams),
			rolloutShowCommand(streams),
			rolloutAbortCommand(streams),
		},
	}
}

const rolloutListHelp = `Lists the last rollout of each service, with its phase and the reason for it. Any node can
be asked.

EXAMPLES
  jasminegate rollout list --node 10.0.0.7:8081`

func rolloutListCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate rollout list", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "jasminegate rollout list --node IP:PORT [flags]",
		ShortHelp:  "List the last rollout of each service.",
		LongHelp:   rolloutListHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := exactArguments(flags, args, 0); err != nil {
				return err
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				list, err := client.Rollouts(ctx)
				return writeRollouts(streams, *format, list, err)
			})
		},
	}
}

const rolloutShowHelp = `Shows the last rollout of a service: its phase and the reason for it, and the versions of
the service's targets with their use and the attempts of calls that the asked node sent.
Exits 1 if there was none.

EXAMPLES
  jasminegate rollout show order-desk --node 10.0.0.7:8081`

func rolloutShowCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate rollout show", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "jasminegate rollout show SERVICE --node IP:PORT [flags]",
		ShortHelp:  "Show the last rollout of a service.",
		LongHelp:   rolloutShowHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			services, err := exactArguments(flags, args, 1)
			if err != nil {
				return err
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				list, err := client.Rollouts(ctx)
				if err != nil {
					return err
				}
				index := slices.IndexFunc(list.Rollouts, func(r adminapi.Rollout) bool { return r.Service == services[0] })
				if index < 0 {
					return fmt.Errorf("the node knows of no rollout of service %q: take one of `jasminegate rollout list`", services[0])
				}
				return writeRollout(streams, *format, list.Rollouts[index])
			})
		},
	}
}

const rolloutAbortHelp = `Rolls a running rollout back: the new version gets no more calls, at all nodes, until a
later order names it. Prints the last rollout of each service. Exits 1 if no rollout of the
service is running.

EXAMPLES
  jasminegate rollout abort order-desk --node 10.0.0.7:8081`

func rolloutAbortCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate rollout abort", streams)
	format := outputFlag(flags)
	request := nodeRequestFlags(flags)
	return &ffcli.Command{
		Name:       "abort",
		ShortUsage: "jasminegate rollout abort SERVICE --node IP:PORT [flags]",
		ShortHelp:  "Roll a running rollout back.",
		LongHelp:   rolloutAbortHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			services, err := exactArguments(flags, args, 1)
			if err != nil {
				return err
			}
			return request.run(ctx, func(ctx context.Context, client *adminclient.Client) error {
				list, err := client.AbortRollout(ctx, services[0])
				return writeRollouts(streams, *format, list, err)
			})
		},
	}
}

func writeRollouts(streams Streams, format string, list adminapi.RolloutList, err error) error {
	if err != nil {
		return err
	}
	return write(streams.Out, format, list, func(out io.Writer) {
		rows := newTable(out, "SERVICE", "ORDER", "VERSION", "PREVIOUS", "PHASE", "ELAPSED", "LIMIT", "REASON")
		for _, r := range list.Rollouts {
			rows.row(r.Service, strconv.FormatUint(r.Order, 10), r.Version, orDash(r.Previous), r.Phase, formatAge(r.ElapsedMS), formatAge(r.DurationMS), orDash(r.Reason))
		}
		rows.flush()
		if !list.Enabled {
			fmt.Fprintln(out, "rollouts are not enabled at this node")
			return
		}
		fmt.Fprintf(out, "rollouts: %d\n", len(list.Rollouts))
	})
}

func writeRollout(streams Streams, format string, r adminapi.Rollout) error {
	return write(streams.Out, format, r, func(out io.Writer) {
		fmt.Fprintf(out, "service: %s\norder: %d\nversion: %s\nprevious: %s\nphase: %s\nreason: %s\nelapsed: %s of %s\ncoordinator: %s\n",
			r.Service, r.Order, r.Version, orDash(r.Previous), r.Phase, orDash(r.Reason), formatAge(r.ElapsedMS), formatAge(r.DurationMS), orDash(r.Coordinator))
		rows := newTable(out, "VERSION", "TARGETS", "USE", "ATTEMPTS", "FAILED", "NOT COUNTED")
		for _, v := range r.Versions {
			rows.row(orDash(v.Version), strconv.Itoa(v.Targets), v.Use, strconv.FormatUint(v.Attempts, 10), strconv.FormatUint(v.Failed, 10), strconv.FormatUint(v.NotCounted, 10))
		}
		rows.flush()
	})
}
