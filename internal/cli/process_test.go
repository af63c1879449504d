package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/platform"
	"jasminegate/internal/transport/platformlog"
)

// processSafetyNet only ends a test that hangs.
const processSafetyNet = 90 * time.Second

// operator runs commands against real nodes.
type operator struct {
	*is.I
	t     *testing.T
	ctx   context.Context
	fleet *fleet.Fleet
}

// newOperator starts two nodes in two failure domains with their platform.
func newOperator(t *testing.T) *operator {
	ctx, cancel := context.WithTimeout(context.Background(), processSafetyNet)
	t.Cleanup(cancel)
	o := &operator{I: is.New(t), t: t, ctx: ctx}
	paths, err := fleet.Build(ctx, t.TempDir(), "jasminegate", "standin")
	o.NoErr(err)
	o.fleet, err = fleet.Start(ctx, fleet.Plan{
		Node:    paths[0],
		Standin: paths[1],
		Nodes:   []fleet.NodePlan{{ID: "a", Domain: "casa-port"}, {ID: "b", Domain: "fes-medina"}},
	})
	o.NoErr(err)
	t.Cleanup(func() { _ = o.fleet.Close() })
	o.NoErr(o.fleet.AwaitReady(ctx))
	return o
}

// run runs a command against the node and returns its exit code and output.
func (o *operator) run(node int, args ...string) (ExitCode, []byte) {
	o.t.Helper()
	var out, errOut bytes.Buffer
	args = append(args, "--node", o.fleet.Nodes[node].AdminAddress, "-o", "json")
	code := Run(o.ctx, args, Streams{Out: &out, Err: &errOut}, nil)
	o.t.Logf("%v: exit code %d\n%s%s", args, code, &out, &errOut)
	return code, out.Bytes()
}

// outcomes returns the outcomes of all verdicts, in log order, when the node
// has judged every record of the log.
func (o *operator) outcomes(node int) []string {
	for {
		code, out := o.run(node, "ticket", "list")
		o.Equal(code, ExitOK)
		var list adminapi.VerdictList
		o.NoErr(json.Unmarshal(out, &list))
		if int64(len(list.Verdicts)) < o.records() {
			continue
		}
		var outcomes []string
		for _, verdict := range list.Verdicts {
			outcomes = append(outcomes, verdict.Outcome)
		}
		return outcomes
	}
}

// records returns how many records the tickets stream holds.
func (o *operator) records() int64 {
	o.NoErr(o.ctx.Err()) // what is waited for comes before the time is up
	bounds, err := o.fleet.Platform.Log.Bounds(o.ctx, platformlog.StreamTickets)
	o.NoErr(err)
	return bounds.Next
}

func ticketPath(name string) string {
	return filepath.Join("..", "..", "examples", "coulisses", "tickets", name)
}

// An operator publishes the reference tickets through one node and reads them
// back at another, while the platform fails, answers are lost and a node stands
// still.
func TestOperatorAgainstRealNodes(t *testing.T) {
	o := newOperator(t)
	first, second, third := ticketPath("0001-services-and-routes.yaml"), ticketPath("0002-longer-order-timeout.yaml"), ticketPath("0003-remove-stock-history.yaml")
	expect := func(want ExitCode, node int, args ...string) {
		t.Helper()
		code, _ := o.run(node, args...)
		o.Equal(code, want)
	}

	expect(ExitOK, 0, "ticket", "publish", first, "--wait")
	expect(ExitOK, 1, "ticket", "status", "1", "--wait")
	expect(ExitOK, 1, "ticket", "publish", first, "--wait") // a repeat through another node
	expect(ExitOK, 1, "status")
	o.Equal(o.outcomes(0), []string{"accepted", "repeated"})

	o.NoErr(o.fleet.Platform.SetMode(o.ctx, platform.Mode{Outage: true}))
	expect(ExitUnreachable, 0, "ticket", "publish", second, "--timeout", "300ms")
	expect(ExitOK, 0, "ticket", "status", "1", "--wait") // read-back goes on
	o.NoErr(o.fleet.Platform.SetMode(o.ctx, platform.Mode{LostResponses: true}))
	for o.records() < 3 {
		expect(ExitUnreachable, 0, "ticket", "publish", second, "--timeout", "300ms")
	}
	o.NoErr(o.fleet.Platform.SetMode(o.ctx, platform.Mode{}))
	expect(ExitOK, 0, "ticket", "publish", second, "--wait")
	outcomes := o.outcomes(0)
	o.Equal(outcomes[2], "accepted")
	o.True(len(outcomes) >= 4) // the lost answer's record and its repeat
	for _, outcome := range outcomes[3:] {
		o.Equal(outcome, "repeated")
	}

	o.NoErr(o.fleet.Nodes[1].Process().Pause())
	expect(ExitNotInForce, 0, "ticket", "publish", third, "--wait", "--timeout", "1s")
	o.NoErr(o.fleet.Nodes[1].Process().Resume())
	expect(ExitOK, 0, "ticket", "status", "3", "--wait")
}
