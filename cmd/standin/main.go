// Command standin runs simulations of the systems around jasminegate for tests
// and demonstrations: the platform's log, a target and a network path.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := rootCommand().ParseAndRun(ctx, os.Args[1:])
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	fmt.Fprintln(os.Stderr, "standin:", err)
	os.Exit(1)
}

func rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "standin <subcommand> [flags]",
		ShortHelp:   "run a simulated platform, target or network path; each prints one JSON line when it listens and stops on SIGTERM",
		Subcommands: []*ffcli.Command{platformCommand(), targetCommand(), relayCommand()},
		Exec: func(context.Context, []string) error {
			return flag.ErrHelp
		},
	}
}
