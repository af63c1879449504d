package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/standin/platform"
)

func platformCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin platform", flag.ExitOnError)
	address := flags.String("address", "127.0.0.1:0", "address to listen on")
	var options platform.Options
	flags.IntVar(&options.RetainRecords, "retain-records", 0, "maximum number of records that a stream keeps, 0 for no limit")
	flags.DurationVar(&options.RetainFor, "retain-for", 0, "how long a record is kept, 0 for no limit")
	flags.IntVar(&options.MaxRecordBytes, "max-record-bytes", platform.DefaultMaxRecordBytes, "maximum size of a record in bytes")
	flags.Float64Var(&options.Mode.AppendsPerSecond, "appends-per-second", 0, "maximum rate of appends, 0 for no limit")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "standin platform [flags]",
		ShortHelp:  "simulate the platform's append-only log, in memory",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			server, err := platform.Start(*address, options)
			if err != nil {
				return err
			}
			if err := printReady(ready{Address: server.Address()}); err != nil {
				return err
			}
			<-ctx.Done()
			return server.Close()
		},
	}
}
