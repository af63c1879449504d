package processtest

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
)

const (
	// stepTimeout bounds the wait for one condition. It is long, so that no
	// test depends on the speed of the machine.
	stepTimeout  = 60 * time.Second
	buildTimeout = 5 * time.Minute
)

// programs holds the paths of the built programs that the tests start.
var programs struct {
	node    string
	standin string
}

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	paths, err := fleet.Build(ctx, dir, "jasminegate", "standin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	programs.node, programs.standin = paths[0], paths[1]
	return m.Run()
}
