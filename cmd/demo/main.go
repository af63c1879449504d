// Command demo starts a fleet of real processes on loopback and checks the main
// functions: a ticket is published and read back as in force, and calls are
// answered while one node is killed and another is shut down. The last line of
// its output is one JSON object. It exits with status 1 when a check fails.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// demoTimeout bounds the whole run.
const demoTimeout = 55 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	result, err := run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
	}
	line, marshalErr := json.Marshal(result)
	if marshalErr != nil {
		fmt.Fprintln(os.Stderr, marshalErr)
		os.Exit(1)
	}
	fmt.Println(string(line))
	if err != nil {
		os.Exit(1)
	}
}
