package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/standin/fleet"
)

// lonelyNode is one node process whose platform does not respond.
type lonelyNode struct {
	*is.I
	t       *testing.T
	program string
	cmd     *exec.Cmd
	admin   string
	// ended gets the result of the process.
	ended chan error
}

// newLonelyNode prepares a node on loopback addresses, and changes its settings by replacing text.
func newLonelyNode(t *testing.T, replace ...string) *lonelyNode {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), processTestTimeout)
	t.Cleanup(cancel)
	n := &lonelyNode{I: is.New(t), t: t, ended: make(chan error, 1)}
	paths, err := fleet.Build(ctx, t.TempDir(), "jasminegate")
	n.NoErr(err)
	n.program = paths[0]
	n.admin = freeAddress(t)
	settings := fmt.Sprintf(`node:
  id: n-1
  domain: zone-1
  callers_address: "%s"
  admin_address: "%s"
  control_address: "%s"
  calls_address: "%s"
platform:
  url: "http://127.0.0.1:9"
`, freeAddress(t), n.admin, freeAddress(t), freeAddress(t))
	path := filepath.Join(t.TempDir(), "node.yaml")
	n.NoErr(os.WriteFile(path, []byte(strings.NewReplacer(replace...).Replace(settings)), 0o600))
	n.cmd = exec.CommandContext(ctx, n.program, "node", "--config", path)
	return n
}

// freeAddress returns a loopback address whose port is free now.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// start starts the process.
func (n *lonelyNode) start() {
	n.t.Helper()
	n.NoErr(n.cmd.Start())
	go func() { n.ended <- n.cmd.Wait() }()
	n.t.Cleanup(func() { _ = n.cmd.Process.Kill() })
}

// awaitServing waits until the process serves operators. It fails the test if the process ends.
func (n *lonelyNode) awaitServing() {
	n.t.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(processTestTimeout / 3); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + n.admin + "/metrics")
		if err == nil {
			response.Body.Close()
			return
		}
		select {
		case err := <-n.ended:
			n.t.Fatalf("the node ended by itself: %v", err)
		default:
		}
	}
	n.t.Fatal("the node does not serve")
}
