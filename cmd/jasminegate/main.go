// Command jasminegate is the node beside a target and the operator's tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"jasminegate/internal/cli"
	"jasminegate/internal/node"
	"jasminegate/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], cli.Streams{
		In:            os.Stdin,
		Out:           os.Stdout,
		Err:           os.Stderr,
		ErrIsTerminal: isTerminal(os.Stderr),
	}, map[string]node.AdapterFactory{platform.Name: platform.New})
	stop()
	os.Exit(int(code))
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
