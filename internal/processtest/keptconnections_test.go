package processtest

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"jasminegate/internal/logging"
	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/platform"
	"jasminegate/internal/standin/target"
	"jasminegate/internal/state"
)

var (
	keptSeed = flag.Uint64("kept.seed", 1, "seed of TestKeptConnectionsGetResponses")
	keptTime = flag.Duration("kept.time", 12*time.Second, "time for which TestKeptConnectionsGetResponses sends requests")
	keptNode = flag.String("kept.node", "", "node program that TestKeptConnectionsGetResponses tests instead of the built one")
)

const (
	keptNodesPerDomain = 2
	keptCallersPerNode = 16
	keptStopGrace      = 6 * time.Second
	// keptTimeout is the least timeout of a route.
	keptTimeout = 3 * time.Second
	// largeRoutes is the number of further routes of a large configuration.
	largeRoutes = 2000
	// keptDescriptors is the number of files of a node with little room. Callers get three eighths
	// of it.
	keptDescriptors = 512
)

// disturbance is something that was done to a node. until is zero while it goes on.
type disturbance struct {
	kind        string
	from, until time.Time
}

const (
	kindKill = "kill"
	kindStop = "stop"
)

// keptNodeState is a node of a keptSoak with what was done to it.
type keptNodeState struct {
	*fleet.Node
	// restarting is held while the node is stopped or killed and started again.
	restarting sync.Mutex

	mu           sync.Mutex
	disturbances []disturbance
}

// begin notes the start of a disturbance and returns a function that notes its end.
func (n *keptNodeState) begin(kind string) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := len(n.disturbances)
	n.disturbances = append(n.disturbances, disturbance{kind: kind, from: time.Now()})
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.disturbances[i].until = time.Now()
	}
}

// between returns the disturbances of the node between the times.
func (n *keptNodeState) between(from, until time.Time) []disturbance {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []disturbance
	for _, d := range n.disturbances {
		if d.from.Before(until) && (d.until.IsZero() || d.until.After(from)) {
			found = append(found, d)
		}
	}
	return found
}

// keptResult is what a caller saw of one request.
type keptResult struct {
	rawResult
	node    *keptNodeState
	request rawRequest
	// number counts the requests of the connection from 0 on.
	number               int
	dialled, sent, ended time.Time
	// brokenOff says that the target breaks off its response, or a response before it, and
	// left that the caller closed the connection.
	brokenOff, left bool
}

// keptSoak sends requests on kept connections to nodes that are disturbed.
type keptSoak struct {
	h     *harness
	start time.Time
	nodes []*keptNodeState
	// idle and header are the limits that were published last.
	idle, header atomic.Int64

	mu      sync.Mutex
	results []keptResult
	// ended holds the ends of processes that were not told to end.
	ended []string
	// expected holds the processes that were told to end.
	expected map[*fleet.Process]bool
}

// at returns the time since the first request, for reports.
func (s *keptSoak) at(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3f", t.Sub(s.start).Seconds())
}

// random returns a generator for one of the soak's goroutines.
func (s *keptSoak) random(stream int) *rand.Rand {
	return rand.New(rand.NewPCG(*keptSeed, uint64(stream)))
}

// between returns a duration from low up to high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// pause waits for the duration and reports whether the context goes on.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// expectEnd notes that the process was told to end.
func (s *keptSoak) expectEnd(process *fleet.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected[process] = true
}

func (s *keptSoak) addEnded(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, text)
}

// watch reports the end of the node's process, unless it was told to end.
func (s *keptSoak) watch(ctx context.Context, process *fleet.Process) {
	select {
	case <-ctx.Done():
		return
	case <-process.Exited():
	}
	s.mu.Lock()
	expected := s.expected[process]
	s.mu.Unlock()
	if !expected {
		s.addEnded(fmt.Sprintf("%s ended by itself before %s: %v", process.Name, s.at(time.Now()), process.Wait(ctx)))
	}
}

// startNode starts the node's process again.
func (s *keptSoak) startNode(ctx context.Context, node *keptNodeState) {
	if err := node.Start(); err != nil {
		s.addEnded(fmt.Sprintf("%s was not started: %v", node.ID, err))
		return
	}
	go s.watch(ctx, node.Process())
}

// nextRequest returns a request that runs for 20 to 500 ms.
func (s *keptSoak) nextRequest(random *rand.Rand) (request rawRequest, brokenOff bool) {
	request = rawRequest{id: s.h.nextID("kept"), method: http.MethodPost}
	switch random.IntN(5) {
	case 0:
		request.method, request.uri = http.MethodGet, "/riders/1"
	case 1:
		request.uri, request.body, request.chunked = "/riders/1", "a body of some bytes", true
	case 2:
		request.uri, request.body = "/orders/1", strings.Repeat("x", 1+random.IntN(60_000))
	case 3:
		request.uri, request.body = "/orders/1", "one order"
	default:
		request.method, request.uri = http.MethodGet, "/shared/1"
	}
	request.uri += fmt.Sprintf("?service_ms=%d", 20+random.IntN(480))
	switch random.IntN(12) {
	case 0:
		request.uri += fmt.Sprintf("&bytes=%d", random.IntN(maxWholeBytes()))
	case 1:
		request.uri += "&bytes=2000&body_ms=100"
	case 2:
		brokenOff = true
		request.uri += fmt.Sprintf("&bytes=200000&abort_after=%d", random.IntN(200_000))
	}
	return request, brokenOff
}

// maxWholeBytes bounds the responses that targets do not break off. A target that resets idle
// connections discards what its node has not read, so there they are short.
func maxWholeBytes() int {
	if resetsIdle(*keptSeed) {
		return 20_000
	}
	return 200_000
}

// thinkTime returns the time from a response to the next request on the connection.
func (s *keptSoak) thinkTime(random *rand.Rand) time.Duration {
	near := between(random, -4*time.Millisecond, 4*time.Millisecond)
	switch random.IntN(10) {
	case 0, 1, 2:
		return 0
	case 3, 4, 5:
		return between(random, 0, 40*time.Millisecond)
	case 6:
		return time.Duration(s.idle.Load()) + near
	case 7:
		return time.Duration(s.idle.Load()+s.header.Load()) + near
	default:
		return between(random, 0, 600*time.Millisecond)
	}
}

// send writes the text, a third of those that may be split in two pieces. Two requests are not
// split: bytes that arrive after the connection was closed reset it, and with it a response that the
// caller has not read.
func (s *keptSoak) send(random *rand.Rand, caller *rawCaller, text string, maySplit bool) error {
	if maySplit && random.IntN(3) == 0 {
		first := 1 + random.IntN(len(text)-1)
		if _, err := io.WriteString(caller.conn, text[:first]); err != nil {
			return err
		}
		time.Sleep(between(random, 0, 30*time.Millisecond))
		text = text[first:]
	}
	_, err := io.WriteString(caller.conn, text)
	return err
}

// exchange sends a request, or two at once, and receives the responses. Some callers leave
// instead.
func (s *keptSoak) exchange(random *rand.Rand, caller *rawCaller, node *keptNodeState) []keptResult {
	results := make([]keptResult, 1+random.IntN(8)/7)
	text := ""
	for i := range results {
		request, brokenOff := s.nextRequest(random)
		results[i] = keptResult{node: node, request: request, brokenOff: brokenOff || i > 0 && results[i-1].brokenOff, sent: time.Now()}
		results[i].id = request.id
		text += request.text()
	}
	sendErr := s.send(random, caller, text, len(results) == 1)
	if sendErr == nil && random.IntN(20) == 0 {
		time.Sleep(between(random, 0, 200*time.Millisecond))
		_ = caller.conn.Close()
		for i := range results {
			results[i].left = true
		}
	}
	for i := range results {
		result := &results[i]
		if result.err = sendErr; sendErr == nil {
			result.response, result.err = caller.receive(result.request.method)
		}
		result.ended = time.Now()
	}
	return results
}

// runCaller sends requests to the node on kept connections until the context ends.
func (s *keptSoak) runCaller(ctx context.Context, node *keptNodeState, random *rand.Rand) {
	for ctx.Err() == nil {
		dialled := time.Now()
		caller, err := dialCaller(node.Node)
		if err != nil {
			pause(ctx, between(random, time.Millisecond, 40*time.Millisecond))
			continue
		}
		for number := 0; ctx.Err() == nil; number++ {
			results := s.exchange(random, caller, node)
			again := true
			for i := range results {
				results[i].number, results[i].dialled = number, dialled
				again = again && results[i].err == nil && !results[i].response.closes
			}
			s.mu.Lock()
			s.results = append(s.results, results...)
			s.mu.Unlock()
			if !again || !pause(ctx, s.thinkTime(random)) {
				break
			}
		}
		_ = caller.conn.Close()
	}
}

// suspendNodes takes the processor from nodes: at once for 50 to 150 ms, or in short
// pieces.
func (s *keptSoak) suspendNodes(ctx context.Context, random *rand.Rand) {
	for pause(ctx, between(random, 20*time.Millisecond, 300*time.Millisecond)) {
		node := s.nodes[random.IntN(len(s.nodes))]
		pieces, duration := 1, between(random, 50*time.Millisecond, 150*time.Millisecond)
		if random.IntN(3) == 0 {
			pieces, duration = 20, between(random, 2*time.Millisecond, 12*time.Millisecond)
		}
		process := node.Process()
		end := node.begin("suspend")
		for range pieces {
			if process.Pause() != nil {
				break
			}
			time.Sleep(duration)
			_ = process.Resume()
			time.Sleep(duration / 2)
		}
		end()
	}
}

// hangUp sends SIGHUP in series.
func (s *keptSoak) hangUp(ctx context.Context, random *rand.Rand) {
	for pause(ctx, between(random, 100*time.Millisecond, 1500*time.Millisecond)) {
		node := s.nodes[random.IntN(len(s.nodes))]
		end := node.begin("hangup")
		for range 1 + random.IntN(10) {
			s.hangUpStarted(node.Process())
			time.Sleep(between(random, 0, 50*time.Millisecond))
		}
		end()
	}
}

// hangUpStarted sends SIGHUP to the process, unless it is so new that its program could
// not set a handler yet.
func (s *keptSoak) hangUpStarted(process *fleet.Process) {
	if takesHangUp(process) {
		_ = process.SendHangUp()
	}
}

// hangUpStarting sends SIGHUP to a process that is starting, as early as it can take it.
func (s *keptSoak) hangUpStarting(ctx context.Context, random *rand.Rand, process *fleet.Process) {
	for ctx.Err() == nil && process.Running() && !takesHangUp(process) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(between(random, 0, 20*time.Millisecond))
	_ = process.SendHangUp()
}

// takesHangUp reports whether the process handles or ignores SIGHUP.
func takesHangUp(process *fleet.Process) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.PID()))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		signals, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if err == nil && signals&(1<<(syscall.SIGHUP-1)) != 0 {
			return true
		}
	}
	return false
}

// stopNodes stops nodes as planned, some with a second SIGTERM or a SIGHUP meanwhile,
// and starts them again.
func (s *keptSoak) stopNodes(ctx context.Context, random *rand.Rand) {
	for pause(ctx, between(random, 300*time.Millisecond, 2500*time.Millisecond)) {
		node := s.nodes[random.IntN(len(s.nodes))]
		if !node.restarting.TryLock() {
			continue
		}
		s.stopNode(ctx, random, node)
		node.restarting.Unlock()
	}
}

func (s *keptSoak) stopNode(ctx context.Context, random *rand.Rand, node *keptNodeState) {
	process := node.Process()
	s.expectEnd(process)
	end := node.begin(kindStop)
	_ = process.SendTerminate()
	for range random.IntN(4) {
		time.Sleep(between(random, 0, 1500*time.Millisecond))
		if !process.Running() {
			break
		}
		if random.IntN(2) == 0 {
			_ = process.SendTerminate()
			continue
		}
		s.hangUpStarted(process)
	}
	if err := process.Wait(s.h.ctx()); err != nil {
		s.addEnded(fmt.Sprintf("planned stop of %s: %v", node.ID, err))
	}
	end()
	time.Sleep(between(random, 0, 300*time.Millisecond))
	s.startNode(ctx, node)
	if random.IntN(2) == 0 {
		s.hangUpStarting(ctx, random, node.Process())
	}
	s.awaitReady(ctx, node)
}

// killNodes kills nodes and starts them again.
func (s *keptSoak) killNodes(ctx context.Context, random *rand.Rand) {
	for pause(ctx, between(random, time.Second, 5*time.Second)) {
		node := s.nodes[random.IntN(len(s.nodes))]
		if !node.restarting.TryLock() {
			continue
		}
		process := node.Process()
		s.expectEnd(process)
		end := node.begin(kindKill)
		process.Kill()
		end()
		time.Sleep(between(random, 0, 300*time.Millisecond))
		s.startNode(ctx, node)
		s.awaitReady(ctx, node)
		node.restarting.Unlock()
	}
}

func (s *keptSoak) awaitReady(ctx context.Context, node *keptNodeState) {
	process := node.Process()
	for ctx.Err() == nil && process.Running() && !node.Ready(ctx) {
		time.Sleep(20 * time.Millisecond)
	}
}

// disturbLog makes the log slow, silent or refusing for a time.
func (s *keptSoak) disturbLog(ctx context.Context, random *rand.Rand) {
	modes := []platform.Mode{{Outage: true}, {Silent: true}, {SlowMS: 300}, {LostResponses: true}}
	for pause(ctx, between(random, 500*time.Millisecond, 3*time.Second)) {
		s.setLogMode(modes[random.IntN(len(modes))])
		pause(ctx, between(random, 200*time.Millisecond, 1500*time.Millisecond))
		s.setLogMode(platform.Mode{})
	}
}

func (s *keptSoak) setLogMode(mode platform.Mode) {
	if err := s.h.Platform.SetMode(s.h.ctx(), mode); err != nil {
		s.h.t.Errorf("mode of the log: %v", err)
	}
}

// keptTicket returns the base ticket of the soak with room for all callers.
func keptTicket(idle, header time.Duration) state.Ticket {
	ticket := callersTicket(&state.CallerLimits{HeaderTimeout: state.Duration(header), IdleTimeout: state.Duration(idle)})
	ticket.Routes = append(ticket.Routes, sharedRoute(1, 1))
	return ticket
}

// sharedRoute is a route to both services.
func sharedRoute(weights ...int) state.Route {
	route := readRoute(keptTimeout)
	route.Name, route.PathPrefix, route.Service = "shared", "/shared", ""
	route.Destinations = []state.Destination{{Service: "rider-view", Weight: weights[0]}, {Service: "order-desk", Weight: weights[1]}}
	return route
}

// changeConfiguration publishes tickets in series: other limits, routes, weights, and
// large configurations.
func (s *keptSoak) changeConfiguration(ctx context.Context, random *rand.Rand) {
	for pause(ctx, between(random, 30*time.Millisecond, 600*time.Millisecond)) {
		idle := between(random, 60*time.Millisecond, 900*time.Millisecond)
		header := between(random, 100*time.Millisecond, 500*time.Millisecond)
		ticket := state.Ticket{Author: "test"}
		switch random.IntN(6) {
		case 0, 1:
			ticket.CallerLimits = keptTicket(idle, header).CallerLimits
		case 2:
			ticket.Routes = []state.Route{sharedRoute(random.IntN(5), 1+random.IntN(5))}
		case 3:
			ticket.Routes = []state.Route{readRoute(keptTimeout + between(random, 0, time.Second))}
		case 4:
			ticket = keptTicket(idle, header)
			ticket.Replace = true
			for i := range largeRoutes {
				route := readRoute(keptTimeout)
				route.Name, route.PathPrefix = fmt.Sprintf("large-%d", i), fmt.Sprintf("/large/%d/%d", i, random.IntN(1000))
				ticket.Routes = append(ticket.Routes, route)
			}
		default:
			ticket = keptTicket(idle, header)
			ticket.Replace = true
		}
		node := s.nodes[random.IntN(len(s.nodes))]
		s.h.number++
		ticket.Number = s.h.number
		if _, err := s.h.tryPublish(node.Node, ticket); err == nil && ticket.CallerLimits != nil {
			s.idle.Store(int64(idle))
			s.header.Store(int64(header))
		}
	}
}

// isExcused reports whether the caller's connection may have ended without a response:
// its node was killed or its grace was over, the target broke off, or the time was up.
func (r keptResult) isExcused() bool {
	if r.brokenOff || r.left || r.ended.Sub(r.sent) >= keptTimeout {
		return true
	}
	return slices.ContainsFunc(r.node.between(r.dialled, r.ended), func(d disturbance) bool {
		return d.kind == kindKill || d.kind == kindStop && r.ended.Sub(d.from) > keptStopGrace
	})
}

// check reports the requests that reached a target and got no complete response.
func (s *keptSoak) check() {
	records := s.h.settledRecords()
	counts := make(map[string]int)
	for _, result := range s.results {
		record := records[result.id]
		switch {
		case result.err == nil:
			counts[fmt.Sprintf("status %d", result.response.status)]++
		case record.Count == 0:
			counts["closed, not run"]++
		case result.isExcused():
			counts["closed, run, excused"]++
		default:
			counts["violations"]++
			s.report(result, record)
		}
		if result.err == nil && result.number > 0 {
			counts["answered on a kept connection"]++
		}
	}
	s.h.t.Logf("seed %d: %d requests: %v", *keptSeed, len(s.results), counts)
	if counts["status 200"] == 0 || counts["answered on a kept connection"] == 0 {
		s.h.t.Error("no request was answered, or none on a kept connection")
	}
}

func (s *keptSoak) report(result keptResult, record target.RunRecord) {
	s.h.t.Errorf("seed %d: no response to %s (%v), arrived %s, run ended %s, %+v\nbeside: %s\nlog:\n%s",
		*keptSeed, s.describe(result), result.err, s.at(time.UnixMilli(record.StartedMS)), s.at(time.UnixMilli(record.EndedMS)), record, s.beside(result),
		strings.Join(s.logLines(result.node, result.sent.Add(-300*time.Millisecond), result.ended.Add(300*time.Millisecond)), "\n"))
}

// describe returns a request and its times.
func (s *keptSoak) describe(result keptResult) string {
	return fmt.Sprintf("%s %s, request %d of a connection to %s: dialled %s, sent %s, ended %s", result.request.method, result.request.uri, result.number, result.node.ID,
		s.at(result.dialled), s.at(result.sent), s.at(result.ended))
}

// beside returns what was done to the nodes from a second before the request on.
func (s *keptSoak) beside(result keptResult) string {
	var beside []string
	for _, node := range s.nodes {
		for _, d := range node.between(result.sent.Add(-time.Second), result.ended) {
			beside = append(beside, fmt.Sprintf("%s of %s %s to %s", d.kind, node.ID, s.at(d.from), s.at(d.until)))
		}
	}
	return strings.Join(beside, "; ")
}

// keptLogLine holds the fields of a log line that the soak reads.
type keptLogLine struct {
	Time  string `json:"time"`
	Event int    `json:"event"`
	Cause string `json:"cause"`
	Gates string `json:"gates"`
}

// eachLogLine calls f with each line of the node's log; line is nil if it is no event.
func (s *keptSoak) eachLogLine(node *keptNodeState, f func(text string, line *keptLogLine)) {
	file, err := os.Open(node.Process().LogPath)
	s.h.must(err)
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line keptLogLine
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			f(lines.Text(), nil)
			continue
		}
		f(lines.Text(), &line)
	}
}

// logLines returns the lines of the node's log between the times.
func (s *keptSoak) logLines(node *keptNodeState, from, until time.Time) []string {
	var found []string
	s.eachLogLine(node, func(text string, line *keptLogLine) {
		if line == nil {
			found = append(found, text)
			return
		}
		at, err := time.Parse(time.RFC3339Nano, line.Time)
		if err == nil && at.After(from) && at.Before(until) {
			found = append(found, text)
		}
	})
	return found
}

// checkLogs checks that no node reports a fault of the program.
func (s *keptSoak) checkLogs() {
	causes := make(map[string]int)
	for _, node := range s.nodes {
		s.eachLogLine(node, func(text string, line *keptLogLine) {
			switch {
			case line == nil && (strings.Contains(text, "panic") || strings.Contains(text, "fatal error") || strings.Contains(text, "DATA RACE")),
				line != nil && (line.Event == logging.PanicRecovered.Code || line.Event == logging.NodeFailed.Code):
				s.h.t.Errorf("%s: %s", node.ID, text)
			case line != nil && line.Event == logging.CallerCutOff.Code:
				causes[fmt.Sprintf("%s, sent to a gate %v", line.Cause, line.Gates != "")]++
			}
		})
	}
	s.h.t.Logf("callers cut off by cause: %v", causes)
}

// keptPlan returns the plan of the seed: nodes of three failure domains with different limits, and
// targets that keep idle connections, close them or reset them, with room for all calls or few.
func keptPlan() fleet.Plan {
	seed := *keptSeed
	plan := fleet.Plan{Node: programs.node, Standin: programs.standin, NodeEnv: []string{"GOMAXPROCS=1"}}
	if *keptNode != "" {
		plan.Node = *keptNode
	}
	slots := rawSlots
	if seed%2 == 1 {
		slots = 6
	}
	for _, domain := range []string{"plateau-dc", "almadies-dc", "rufisque-dc"} {
		for i := range keptNodesPerDomain {
			plan.Nodes = append(plan.Nodes, fleet.NodePlan{
				ID: fmt.Sprintf("%s-%d", domain, i), Domain: domain, Service: []string{"rider-view", "order-desk"}[i%2],
				Slots: slots, Connections: rawSlots,
			})
		}
	}
	plan.NodeArgs = []string{"-deployment.stop_grace", keptStopGrace.String()}
	if seed%4 < 2 {
		plan.NodeArgs = append(plan.NodeArgs, "-overload.enabled", "true")
	}
	if isCrowded(seed) {
		plan.NodeArgs = append(plan.NodeArgs, "-node.descriptors", strconv.Itoa(keptDescriptors))
	}
	switch {
	case resetsIdle(seed):
		plan.TargetArgs = []string{"-idle-timeout", "100ms", "-reset-idle"}
	case seed%3 == 1:
		plan.TargetArgs = []string{"-idle-timeout", "100ms"}
	}
	return plan
}

// resetsIdle reports whether the seed's targets reset idle connections.
func resetsIdle(seed uint64) bool { return seed%3 == 2 }

// isCrowded reports whether the seed has more connections than nodes have room for.
func isCrowded(seed uint64) bool { return seed%4 == 3 }

// crowd opens more connections to a node than it has room for, for a time.
func (s *keptSoak) crowd(ctx context.Context, random *rand.Rand) {
	for pause(ctx, between(random, 200*time.Millisecond, 1500*time.Millisecond)) {
		node := s.nodes[random.IntN(len(s.nodes))]
		end := node.begin("crowd")
		var crowd []*rawCaller
		for range keptDescriptors / 2 {
			if caller, err := dialCaller(node.Node); err == nil {
				crowd = append(crowd, caller)
			}
		}
		pause(ctx, between(random, 0, 800*time.Millisecond))
		for _, caller := range crowd {
			_ = caller.conn.Close()
		}
		end()
	}
}

// startKeptSoak starts the fleet of a soak.
func startKeptSoak(t *testing.T) *keptSoak {
	t.Helper()
	s := &keptSoak{h: startHarness(t, keptPlan()), expected: make(map[*fleet.Process]bool)}
	for _, node := range s.h.Nodes {
		s.nodes = append(s.nodes, &keptNodeState{Node: node})
	}
	idle, header := 400*time.Millisecond, 400*time.Millisecond
	s.idle.Store(int64(idle))
	s.header.Store(int64(header))
	s.h.awaitInForce(s.h.Nodes[0], s.h.publish(s.h.Nodes[0], keptTicket(idle, header)))
	return s
}

// disturbances returns what the seed has disturb the nodes: always short suspensions and
// changes of the configuration, the others in turn.
func (s *keptSoak) disturbances() []func(context.Context, *rand.Rand) {
	list := []func(context.Context, *rand.Rand){s.suspendNodes, s.suspendNodes, s.hangUp, s.changeConfiguration}
	if *keptSeed%5 < 3 {
		list = append(list, s.stopNodes, s.stopNodes, s.killNodes)
	}
	if *keptSeed%6 < 3 {
		list = append(list, s.disturbLog)
	}
	if isCrowded(*keptSeed) {
		list = append(list, s.crowd)
	}
	return list
}

// TestKeptConnectionsGetResponses sends requests on kept connections while nodes are
// suspended, stopped, killed and reloaded and their configuration changes. Every request
// that reaches a target must get a complete response, unless its node was killed or at
// the end of its grace, and no process may end unless it is told to.
func TestKeptConnectionsGetResponses(t *testing.T) {
	t.Parallel()
	s := startKeptSoak(t)
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	for _, node := range s.nodes {
		go s.watch(watching, node.Process())
	}
	s.start = time.Now()
	ctx, cancel := context.WithTimeout(watching, *keptTime)
	defer cancel()
	var callers, disturbers sync.WaitGroup
	stream := 0
	for i, disturb := range s.disturbances() {
		disturbers.Go(func() { disturb(ctx, s.random(1000+i)) })
	}
	for _, node := range s.nodes {
		for range keptCallersPerNode {
			stream++
			random := s.random(stream)
			callers.Go(func() { s.runCaller(ctx, node, random) })
		}
	}
	callers.Wait()
	disturbers.Wait()
	stopWatching()
	s.check()
	s.checkLogs()
	for _, text := range s.ended {
		t.Errorf("seed %d: %s", *keptSeed, text)
	}
}
