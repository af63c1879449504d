package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/standin/target"
)

// crashExitCode is the exit code of a target that a request has crashed.
const crashExitCode = 70

func targetCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin target", flag.ExitOnError)
	address := flags.String("address", "127.0.0.1:0", "address to listen on")
	drainTimeout := flags.Duration("drain-timeout", 30*time.Second, "maximum duration of a graceful stop")
	reporting := flags.String("reporting", string(target.ReportHonest), "accuracy of health and load: honest, lagging, idle or failed")
	var options target.Options
	flags.StringVar(&options.Service, "service", "", "service that the target is an upstream of")
	flags.StringVar(&options.Version, "software-version", "", "software version to announce, empty for none")
	flags.IntVar(&options.Slots, "slots", 6, "maximum number of concurrent requests")
	flags.IntVar(&options.AnnouncedSlots, "announced-slots", 0, "number of slots to announce, 0 for the value of -slots")
	flags.IntVar(&options.Connections, "connections", 120, "maximum number of open connections, 0 for no limit")
	flags.DurationVar(&options.IdleTimeout, "idle-timeout", 0, "how long a connection may be idle, 0 for no limit")
	flags.BoolVar(&options.ResetIdle, "reset-idle", false, "close idle connections with a reset")
	flags.DurationVar(&options.ColdStart, "cold-start", 0, "period after the start with longer service times")
	flags.IntVar(&options.ColdFactor, "cold-factor", 5, "factor on service times during the cold start")
	flags.StringVar(&options.NodeAddress, "node", "", "admin address of the local node, empty for no announcements")
	flags.DurationVar(&options.TTL, "ttl", 3*time.Second, "time to live of an announcement")
	flags.IntVar(&options.Mode.ServiceMS, "service-ms", 0, "service time of a request in milliseconds")
	flags.BoolVar(&options.Mode.Shed, "shed", false, "respond with 503 when no slot is free")
	flags.IntVar(&options.Mode.LagMS, "lag-ms", 0, "age of lagging reports in milliseconds")
	flags.IntVar(&options.Mode.ProbeMS, "probe-ms", 0, "response time of health and load in milliseconds")
	return &ffcli.Command{
		Name:       "target",
		ShortUsage: "standin target -service NAME [flags]",
		ShortHelp:  "simulate an HTTP target that announces itself to its node",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			options.Crash = func() { os.Exit(crashExitCode) }
			options.Mode.Reporting = target.Reporting(*reporting)
			server, err := target.Start(*address, options)
			if err != nil {
				return err
			}
			if err := printReady(ready{Address: server.Address()}); err != nil {
				return err
			}
			<-ctx.Done()
			stopping, cancel := context.WithTimeout(context.Background(), *drainTimeout)
			defer cancel()
			return server.Stop(stopping)
		},
	}
}
