package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"jasminegate/internal/config"
	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/platform"
	"jasminegate/internal/standin/relay"
	"jasminegate/internal/standin/target"
)

// parentVariable is the environment variable with the plan, in JSON, of a fleet
// that the test program is to start.
const parentVariable = "FLEET_TEST_HARNESS"

// testTimeout limits the duration of a test that would otherwise hang.
const testTimeout = 60 * time.Second

var standinPath string

func TestMain(m *testing.M) {
	switch {
	case os.Getenv(fakeNodeVariable) != "":
		exitOnError(runFakeNode())
	case os.Getenv(parentVariable) != "":
		exitOnError(runParent())
	default:
		os.Exit(runTests(m))
	}
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fleet-test-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	paths, err := fleet.Build(context.Background(), dir, "standin")
	if err != nil {
		panic(err)
	}
	standinPath = paths[0]
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	return code
}

// fixture is a fleet of fake nodes in three failure domains, of which
// tanger-med has one node and the others have two.
type fixture struct {
	*is.I
	*fleet.Fleet
	ctx context.Context
}

func testPlan(t *testing.T) fleet.Plan {
	self, err := os.Executable()
	is.New(t).NoErr(err)
	return fleet.Plan{
		Node:    self,
		NodeEnv: []string{fakeNodeVariable + "=1"},
		Standin: standinPath,
		Dir:     t.TempDir(),
		Nodes: fleet.PlaceServices([]string{"casa-port", "fes-medina", "tanger-med"}, []fleet.ServicePlan{
			{Name: "rider-view", Targets: 3, Slots: 6, Connections: 120},
			{Name: "", Targets: 2},
		}),
		TargetArgs: []string{"-ttl", "60ms"},
	}
}

func newFixture(t *testing.T, plan fleet.Plan) *fixture {
	f := &fixture{I: is.New(t)}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	f.ctx = ctx
	started, err := fleet.Start(ctx, plan)
	f.NoErr(err)
	f.Fleet = started
	t.Cleanup(func() {
		f.NoErr(started.Close())
		cancel()
	})
	f.NoErr(started.AwaitReady(ctx))
	return f
}

// await waits until the condition holds.
func (f *fixture) await(condition func() bool) {
	f.Helper()
	for !condition() {
		select {
		case <-f.ctx.Done():
			f.Fail() // timed out waiting for the condition
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// announcedState returns the target state that was last announced to the node, or
// "" without an announcement.
func (f *fixture) announcedState(n *fleet.Node) string {
	status, err := n.Status(f.ctx)
	if err != nil || len(status.Members) != 1 {
		return ""
	}
	return status.Members[0].Target
}

// exchange reports whether a line sent from one node to another is echoed.
func (f *fixture) exchange(from, to *fleet.Node) bool {
	_, err := from.AdminRequest(f.ctx, http.MethodGet, "/exchange?with="+to.AdvertisedControlAddress(), nil)
	return err == nil
}

// awaitExchange waits until an exchange succeeds, so that a slow machine does not
// fail the test.
func (f *fixture) awaitExchange(from, to *fleet.Node) {
	f.Helper()
	f.await(func() bool { return f.exchange(from, to) })
}

func TestNodeAndTargetProcesses(t *testing.T) {
	f := newFixture(t, testPlan(t))
	node := f.Node("casa-port-1")

	f.await(func() bool { return f.announcedState(node) == string(target.StateReady) })
	f.NoErr(node.DrainTarget(f.ctx))
	f.await(func() bool { return f.announcedState(node) == string(target.StateDraining) })
	f.NoErr(node.Target().Terminate(f.ctx)) // withdraws its announcement
	f.Equal(f.announcedState(node), "")
	f.NoErr(node.StartTarget())
	f.await(func() bool { return f.announcedState(node) == string(target.StateReady) })

	f.NoErr(node.Process().Pause())
	paused, cancel := context.WithTimeout(f.ctx, 50*time.Millisecond)
	f.True(!node.Ready(paused)) // connections stay open without a response
	cancel()
	f.NoErr(node.Process().Resume())
	f.NoErr(node.AwaitReady(f.ctx))

	f.True(node.Start() != nil) // already running
	pid := node.Process().PID()
	node.Process().Kill()
	f.True(!node.Process().Running())
	f.True(node.Process().Wait(f.ctx) != nil)
	f.True(node.AwaitReady(f.ctx) != nil) // fails at once because it has exited
	f.NoErr(node.Start())                 // restarts at the same address
	f.NoErr(node.AwaitReady(f.ctx))
	f.True(node.Process().PID() != pid)
	f.NoErr(node.Process().Terminate(f.ctx))

	usage, err := f.Platform.Process.Usage()
	f.NoErr(err)
	f.True(usage.ResidentBytes > 1<<20 && usage.PeakBytes >= usage.ResidentBytes)
}

func TestPublishAndPlatformOutage(t *testing.T) {
	f := newFixture(t, testPlan(t))
	node := f.Nodes[0]
	f.NoErr(node.AwaitTicket(f.ctx, 1, string(adminapi.TicketUnknown)))
	f.NoErr(f.Platform.SetMode(f.ctx, platform.Mode{Outage: true}))
	ticket := []byte("{}")
	_, err := node.Publish(f.ctx, ticket)
	f.True(err != nil)
	f.NoErr(f.Platform.SetMode(f.ctx, platform.Mode{}))
	response, err := node.Publish(f.ctx, ticket)
	f.NoErr(err)
	f.Equal(strings.TrimSpace(string(response)), `{"number":1,"content":"","offset":0}`)
	f.NoErr(f.Nodes[3].AwaitTicket(f.ctx, 1, string(adminapi.TicketInForce)))
	stats, err := f.Platform.Stats(f.ctx)
	f.NoErr(err)
	f.Equal(stats.Streams["tickets"].Appends, int64(1))
}

func TestPartitions(t *testing.T) {
	plan := testPlan(t)
	plan.NodeRelays = true
	plan.PlatformRelays = true
	f := newFixture(t, plan)
	casa, fes, tanger := f.NodesInDomain("casa-port"), f.NodesInDomain("fes-medina"), f.NodesInDomain("tanger-med")
	f.awaitExchange(casa[0], fes[0])
	for _, mode := range []relay.Mode{{Kind: relay.Refuse}, {Kind: relay.Silent, SilenceNew: true}} {
		f.NoErr(f.SetDomainMode("casa-port", mode))
		f.True(!f.exchange(casa[0], fes[0]))
		f.True(!f.exchange(fes[1], casa[1]))
		f.awaitExchange(casa[0], casa[1]) // paths within a domain stay open
		f.awaitExchange(fes[1], fes[0])
		f.awaitExchange(fes[0], tanger[0]) // so do paths between other domains
		f.NoErr(f.SetDomainMode("casa-port", relay.Mode{}))
		f.awaitExchange(casa[0], fes[0])
	}
	f.NoErr(f.SetPathMode("casa-port", "fes-medina", relay.Mode{Kind: relay.Refuse}))
	f.True(!f.exchange(casa[0], fes[0]))
	f.awaitExchange(fes[0], casa[0]) // in one direction only

	f.NoErr(f.SetPlatformPathMode("casa-port", relay.Mode{Kind: relay.Refuse}))
	f.True(!casa[0].Ready(f.ctx))
	f.True(fes[0].Ready(f.ctx))
}

func TestCloseLeavesNoProcess(t *testing.T) {
	f := newFixture(t, testPlan(t))
	started := pids(f.Fleet)
	f.Equal(len(started), 1+5+3)
	f.NoErr(f.Nodes[0].Process().Pause()) // a paused process is killed too
	f.NoErr(f.Close())
	for _, pid := range started {
		f.True(!alive(pid))
	}
	f.True(f.Nodes[0].Start() != nil) // no start after Close
}

func TestFailedStart(t *testing.T) {
	cases := map[string]struct {
		change    func(*fleet.Plan)
		wantError string
	}{
		"no nodes":          {func(p *fleet.Plan) { p.Nodes = nil }, "nodes"},
		"duplicate id":      {func(p *fleet.Plan) { p.Nodes[1].ID = p.Nodes[0].ID }, "unique id"},
		"missing program":   {func(p *fleet.Plan) { p.Node = "/does/not/exist" }, "casa-port-1"},
		"target that exits": {func(p *fleet.Plan) { p.TargetArgs = []string{"-reporting", "wild"} }, "reporting"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			plan := testPlan(t)
			tc.change(&plan)
			_, err := fleet.Start(ctx, plan)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tc.wantError)) // names the cause
		})
	}
}

func TestSettingsAreValid(t *testing.T) {
	plan := testPlan(t)
	plan.NodeRelays = true
	f := newFixture(t, plan)
	for _, node := range f.Nodes {
		data, err := os.ReadFile(node.SettingsPath())
		f.NoErr(err)
		settings, err := config.Parse(node.SettingsPath(), data)
		f.NoErr(err)
		f.Equal(settings.Node.ID, node.ID)
		f.Equal(settings.Node.AdvertisedControlAddress(), node.AdvertisedControlAddress())
		f.True(settings.Node.AdvertisedCallsAddress() != settings.Node.CallsAddress)
		f.Equal(settings.Platform.URL, f.Platform.URL())
		f.Equal(len(settings.Node.Seeds), 4)
	}
}

func TestLayouts(t *testing.T) {
	cases := map[string]struct {
		nodes     []fleet.NodePlan
		total     int
		perDomain map[string]int
	}{
		"teranga":   {fleet.Teranga(), 11, map[string]int{"plateau-dc": 4, "almadies-dc": 4, "rufisque-dc": 3}},
		"coulisses": {fleet.Coulisses(), 12, map[string]int{"casa-port": 3, "rabat-agdal": 3, "tanger-med": 3, "fes-medina": 3}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			perDomain := make(map[string]int)
			ids := make(map[string]bool)
			for _, node := range tc.nodes {
				perDomain[node.Domain]++
				ids[node.ID] = true
			}
			is.Equal(perDomain, tc.perDomain)
			is.Equal(len(ids), tc.total)
		})
	}
}

// TestKilledParent kills the program that started a fleet and expects the kernel
// to kill the fleet's processes.
func TestKilledParent(t *testing.T) {
	is := is.New(t)
	plan, err := json.Marshal(testPlan(t))
	is.NoErr(err)
	parent := exec.Command(testPlan(t).Node)
	parent.Env = append(os.Environ(), parentVariable+"="+string(plan))
	output, err := parent.StdoutPipe()
	is.NoErr(err)
	is.NoErr(parent.Start())
	var pids []int
	err = json.NewDecoder(output).Decode(&pids)
	parent.Process.Kill()
	parent.Wait()
	is.NoErr(err)
	defer killAll(pids)
	is.Equal(len(pids), 1+5+3)
	deadline := time.Now().Add(testTimeout)
	for _, pid := range pids {
		for alive(pid) && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		is.True(!alive(pid)) // killed with its parent
	}
}

// killAll kills the processes that a failed test has left running.
func killAll(pids []int) {
	for _, pid := range pids {
		if alive(pid) {
			syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}

// alive reports whether a process exists and is not a zombie.
func alive(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, state, _ := bytes.Cut(stat, []byte(") "))
	return state[0] != 'Z' && state[0] != 'X'
}

// pids returns the process IDs of a fleet.
func pids(f *fleet.Fleet) []int {
	ids := []int{f.Platform.Process.PID()}
	for _, node := range f.Nodes {
		ids = append(ids, node.Process().PID())
		if node.Target() != nil {
			ids = append(ids, node.Target().PID())
		}
	}
	return ids
}

// runParent starts the fleet of the plan in the environment, prints its process
// IDs and waits until it is killed.
func runParent() error {
	var plan fleet.Plan
	if err := json.Unmarshal([]byte(os.Getenv(parentVariable)), &plan); err != nil {
		return err
	}
	f, err := fleet.Start(context.Background(), plan)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(pids(f)); err != nil {
		return err
	}
	time.Sleep(testTimeout)
	return f.Close()
}
