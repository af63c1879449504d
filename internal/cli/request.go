package cli

import (
	"context"
	"flag"
	"time"

	"jasminegate/internal/transport/adminclient"
)

// defaultRequestTimeout is the default time limit of a command that sends requests to
// a node.
const defaultRequestTimeout = 30 * time.Second

// nodeRequest holds the flags of a command that sends requests to a node.
type nodeRequest struct {
	node    string
	timeout time.Duration
}

func nodeRequestFlags(flags *flag.FlagSet) *nodeRequest {
	r := &nodeRequest{}
	flags.StringVar(&r.node, "node", "", "admin address of any node, as `IP:PORT` (required)")
	flags.DurationVar(&r.timeout, "timeout", defaultRequestTimeout, "time limit of the whole command, including retries")
	return r
}

// run runs the command with a client for the node and a context that ends after the
// timeout. It fails with ErrUsage if a flag is missing or invalid.
func (r *nodeRequest) run(ctx context.Context, command func(context.Context, *adminclient.Client) error) error {
	if r.node == "" {
		return ErrUsage.New("no node given: name any node's admin address with --node IP:PORT or JASMINEGATE_NODE")
	}
	if r.timeout <= 0 {
		return ErrUsage.New("--timeout %s is not above 0: give a duration such as 30s", r.timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	return command(ctx, adminclient.New(r.node))
}
