//go:build linux

package processtest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/state"
)

// The crowds are clients that do not behave: they open many connections at once and send what
// makes a node hold as much as possible. Each test checks that every node lives, that its memory
// and its open descriptors stay under those of its machine, and that an ordinary request is
// answered while the connections that the node has left open are still there.

const (
	// crowdMachineBytes and crowdMachineDescriptors are what the machine of each node has, and what
	// is stated to the node.
	crowdMachineBytes       = 128_000_000
	crowdMachineDescriptors = 1024
	// crowdHeaderBytes and crowdBodyBytes are the limits of the configuration.
	crowdHeaderBytes = 16 << 10
	crowdBodyBytes   = 64 << 20
	// crowdStreamBytes is what a client sends of something that has no end.
	crowdStreamBytes = 4 << 20
	// crowdWriteTime bounds one client's writing: a node need not read on.
	crowdWriteTime = 5 * time.Second
	// crowdDialTime bounds opening a connection: a node need not accept it.
	crowdDialTime = 2 * time.Second
	// crowdSampleInterval is the time between two looks at the open descriptors.
	crowdSampleInterval = 10 * time.Millisecond
)

// crowd is a number of clients that do the same at the same time.
type crowd struct {
	clients int
	// rounds is how often a client begins again after its connection has ended; 0 means once.
	rounds int
	// send writes what the client sends. Its connection stays open afterwards.
	send func(w io.Writer, client int) error
	// unread is set if the clients read no response.
	unread bool
	// address returns where the clients connect to; nil is the first node's address for callers.
	address func(node *fleet.Node) string
	// beforeConfiguration plays the crowd while the nodes have no configuration yet.
	beforeConfiguration bool
}

func crowdPlan() fleet.Plan {
	plan := callersPlan()
	plan.NodeEnv = append(plan.NodeEnv,
		fmt.Sprintf("JASMINEGATE_DEPLOYMENT_MEMORY_BYTES=%dB", crowdMachineBytes),
		fmt.Sprintf("JASMINEGATE_DEPLOYMENT_DESCRIPTORS=%d", crowdMachineDescriptors),
		fmt.Sprintf("JASMINEGATE_CALLS_MAX_BODY_BYTES=%dMiB", crowdBodyBytes>>20),
	)
	return plan
}

func crowdTicket() state.Ticket {
	return callersTicket(&state.CallerLimits{HeaderBytes: crowdHeaderBytes, BodyBytes: crowdBodyBytes})
}

// startCrowdHarness starts the nodes, with the configuration in force unless the crowd comes before it.
func startCrowdHarness(t *testing.T, c crowd) *harness {
	t.Helper()
	if !c.beforeConfiguration {
		h := startHarness(t, crowdPlan())
		h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], crowdTicket()))
		return h
	}
	h := &harness{t: t}
	started, err := fleet.Start(h.ctx(), crowdPlan())
	if err != nil {
		t.Fatal(err)
	}
	h.Fleet = started
	t.Cleanup(func() { h.close() })
	h.must(h.AwaitReady(h.ctx()))
	return h
}

// playCrowds plays the crowds at the first node, all at the same time, and checks the nodes.
func playCrowds(t *testing.T, crowds ...crowd) {
	t.Helper()
	h := startCrowdHarness(t, crowds[0])
	descriptors := h.watchDescriptors()
	released := make(chan struct{})
	var sent, ended sync.WaitGroup
	for _, c := range crowds {
		address := h.Nodes[0].CallersAddress
		if c.address != nil {
			address = c.address(h.Nodes[0])
		}
		for client := range c.clients {
			sent.Add(1)
			ended.Go(func() { c.play(address, client, &sent, released) })
		}
	}
	sent.Wait()
	if crowds[0].beforeConfiguration {
		h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], crowdTicket()))
	}
	h.awaitOrdinaryRequest()
	close(released)
	ended.Wait()
	h.awaitOrdinaryRequest()
	h.checkMachines(descriptors())
}

// play plays one client until released is closed. sent is done when it has nothing left to send.
func (c crowd) play(address string, client int, sent *sync.WaitGroup, released <-chan struct{}) {
	for round := 0; ; round++ {
		last := round >= c.rounds-1
		closed, conn := c.playOnce(address, client)
		if conn == nil || last {
			sent.Done()
		}
		if conn == nil {
			return
		}
		if last {
			<-released
			_ = conn.Close()
			return
		}
		select {
		case <-closed:
		case <-time.After(crowdDialTime):
		}
		_ = conn.Close()
	}
}

// playOnce opens a connection and sends. closed is closed when the node has ended the connection.
// The connection is nil if it could not be opened.
func (c crowd) playOnce(address string, client int) (closed <-chan struct{}, conn net.Conn) {
	conn, err := net.DialTimeout("tcp", address, crowdDialTime)
	if err != nil {
		return nil, nil
	}
	done := make(chan struct{})
	if !c.unread {
		go func() {
			defer close(done)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTime))
	if c.send != nil {
		w := bufio.NewWriterSize(conn, 32<<10)
		if c.send(w, client) == nil {
			_ = w.Flush()
		}
	}
	return done, conn
}

// watchDescriptors follows the open descriptors of each node. The function that it returns ends
// that and returns the largest number for each.
func (h *harness) watchDescriptors() (stop func() []int) {
	most := make([]int, len(h.Nodes))
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			for i, node := range h.Nodes {
				if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.Process().PID())); err == nil {
					most[i] = max(most[i], len(entries))
				}
			}
			select {
			case <-quit:
				return
			case <-time.After(crowdSampleInterval):
			}
		}
	}()
	return func() []int {
		close(quit)
		<-done
		return most
	}
}

// awaitOrdinaryRequest waits until the first node answers a request on a new connection. A caller
// may be refused and come back.
func (h *harness) awaitOrdinaryRequest() {
	h.t.Helper()
	h.await("an ordinary request to be answered", func() bool {
		client := keptClient()
		defer client.CloseIdleConnections()
		status, err := readOnce(client, h.Nodes[0])
		return err == nil && status == http.StatusOK
	})
}

// checkMachines checks that the nodes run and have stayed within their machines.
func (h *harness) checkMachines(descriptors []int) {
	h.t.Helper()
	for i, node := range h.Nodes {
		process := node.Process()
		if !process.Running() {
			h.t.Fatalf("%s has ended", node.ID)
		}
		usage, err := process.Usage()
		h.must(err)
		h.t.Logf("%s: at most %d MB of %d MB and %d descriptors of %d", node.ID, usage.PeakBytes/1_000_000, crowdMachineBytes/1_000_000, descriptors[i], crowdMachineDescriptors)
		if usage.PeakBytes > crowdMachineBytes {
			h.t.Errorf("%s took %d bytes of memory, its machine has %d", node.ID, usage.PeakBytes, crowdMachineBytes)
		}
		if descriptors[i] > crowdMachineDescriptors {
			h.t.Errorf("%s had %d descriptors open, its machine has %d", node.ID, descriptors[i], crowdMachineDescriptors)
		}
	}
}

const (
	crowdRequestLine = "GET /riders/1 HTTP/1.1\r\nHost: callers.example\r\n"
	crowdUpload      = "POST /riders/1 HTTP/1.1\r\nHost: callers.example\r\n"
)

// shortLines writes distinct header lines of a few bytes, size bytes in all.
func shortLines(w io.Writer, size int) error {
	for line := 0; size > 0; line++ {
		n, err := fmt.Fprintf(w, "a%x:\r\n", line)
		if err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// repeated writes the text, about size bytes in all.
func repeated(w io.Writer, text string, size int) error {
	block := strings.Repeat(text, 1+4096/len(text))
	for ; size > 0; size -= len(block) {
		if _, err := io.WriteString(w, block); err != nil {
			return err
		}
	}
	return nil
}

// sends returns a function that writes the parts in order.
func sends(parts ...func(io.Writer) error) func(io.Writer, int) error {
	return func(w io.Writer, _ int) error {
		for _, part := range parts {
			if err := part(w); err != nil {
				return err
			}
		}
		return nil
	}
}

func text(s string) func(io.Writer) error {
	return func(w io.Writer) error { _, err := io.WriteString(w, s); return err }
}

func lines(size int) func(io.Writer) error {
	return func(w io.Writer) error { return shortLines(w, size) }
}

func stream(s string, size int) func(io.Writer) error {
	return func(w io.Writer) error { return repeated(w, s, size) }
}

// pieces writes a body of size bytes in chunks of piece bytes, without its end.
func pieces(size, piece int) func(io.Writer) error {
	return stream(fmt.Sprintf("%x\r\n%s\r\n", piece, strings.Repeat("b", piece)), size/piece*(piece+6))
}

// upload returns a request with the length whose body lacks the last short bytes.
func upload(length, short int) func(io.Writer) error {
	return func(w io.Writer) error {
		if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", crowdUpload, length); err != nil {
			return err
		}
		left := length - short
		block := strings.Repeat("b", 4096)
		for left > 0 {
			n, err := io.WriteString(w, block[:min(left, len(block))])
			if err != nil {
				return err
			}
			left -= n
		}
		return nil
	}
}

const chunkedUpload = crowdUpload + "Transfer-Encoding: chunked\r\n\r\n"

func TestCrowdOfEndlessShortLines(t *testing.T) {
	playCrowds(t, crowd{clients: 100, send: sends(text(crowdRequestLine), lines(crowdStreamBytes))})
}

func TestCrowdOfHeldShortLines(t *testing.T) {
	playCrowds(t, crowd{clients: 100, send: sends(text(crowdRequestLine), lines(state.MaxHeaderBytes-1024))})
}

func TestCrowdOfShortLinesBeforeConfiguration(t *testing.T) {
	playCrowds(t, crowd{clients: 100, beforeConfiguration: true, send: sends(text(crowdRequestLine), lines(state.MaxHeaderBytes-1024))})
}

func TestCrowdOfEndlessValues(t *testing.T) {
	playCrowds(t, crowd{clients: 300, send: sends(text(crowdRequestLine+"A: "), stream("b", crowdStreamBytes))})
}

func TestCrowdOfEndlessRequestLines(t *testing.T) {
	playCrowds(t, crowd{clients: 300, send: sends(text("GET /riders/1?"), stream("b", crowdStreamBytes))})
}

func TestCrowdOfFoldedLines(t *testing.T) {
	playCrowds(t, crowd{clients: 300, send: sends(text(crowdRequestLine+"A: b\r\n"), stream(" b\r\n", crowdStreamBytes))})
}

func TestCrowdOfEmptyLines(t *testing.T) {
	playCrowds(t, crowd{clients: 300, send: sends(stream("\r\n", crowdStreamBytes))})
}

// legalLines is the size of the header lines of a head of legal size.
const legalLines = crowdHeaderBytes - 200

func TestCrowdOfLegalShortLines(t *testing.T) {
	playCrowds(t, crowd{clients: 400, rounds: 3, send: sends(text(crowdRequestLine), lines(legalLines), text("\r\n"))})
}

func TestCrowdOfLegalRepeatedNames(t *testing.T) {
	playCrowds(t, crowd{clients: 400, rounds: 3, send: sends(text(crowdRequestLine), stream("a: b\r\n", legalLines-4096), text("\r\n"))})
}

func TestCrowdOfHeldLegalHeads(t *testing.T) {
	playCrowds(t, crowd{clients: 900, send: sends(text(crowdRequestLine), lines(legalLines))})
}

func TestCrowdOfWholeBodies(t *testing.T) {
	playCrowds(t, crowd{clients: 300, rounds: 2, send: sends(upload(4<<20, 0))})
}

// TestCrowdOfOrders sends whole bodies to a route whose calls must not run again, and whose records
// the gates therefore keep.
func TestCrowdOfOrders(t *testing.T) {
	order := strings.Replace(crowdUpload, "/riders/1", "/orders/1", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n", 200<<10)
	playCrowds(t, crowd{clients: 200, rounds: 6, send: sends(text(order), stream("b", 200<<10))})
}

func TestCrowdOfBodiesShortOfTheirEnd(t *testing.T) {
	playCrowds(t, crowd{clients: 300, send: sends(upload(4<<20, 1))})
}

func TestCrowdOfSmallBodiesShortOfTheirEnd(t *testing.T) {
	playCrowds(t, crowd{clients: 900, send: sends(upload(200<<10, 1))})
}

func TestCrowdOfChunkedBodiesShortOfTheirEnd(t *testing.T) {
	playCrowds(t, crowd{clients: 300, send: sends(text(chunkedUpload), pieces(4<<20, 4000))})
}

func TestCrowdOfBodiesInSmallPieces(t *testing.T) {
	playCrowds(t, crowd{clients: 300, send: sends(text(chunkedUpload), pieces(512<<10, 3))})
}

func TestCrowdOfChunkExtensions(t *testing.T) {
	playCrowds(t, crowd{clients: 300, send: sends(text(chunkedUpload+"4;a="), stream("b", crowdStreamBytes))})
}

func TestCrowdOfTrailers(t *testing.T) {
	playCrowds(t, crowd{clients: 300, send: sends(text(chunkedUpload+"4\r\nbody\r\n0\r\n"), lines(crowdStreamBytes))})
}

func TestCrowdOfPipelinedRequests(t *testing.T) {
	playCrowds(t, crowd{clients: 300, unread: true, send: sends(text("GET /riders/1?service_ms=1000 HTTP/1.1\r\nHost: callers.example\r\n\r\n"),
		stream("GET /riders/1?bytes=250000 HTTP/1.1\r\nHost: callers.example\r\n\r\n", 64<<10))})
}

func TestCrowdOfUnreadResponses(t *testing.T) {
	playCrowds(t, crowd{clients: 600, unread: true, send: sends(text("GET /riders/1?bytes=8000000 HTTP/1.1\r\nHost: callers.example\r\n\r\n"))})
}

func TestCrowdOfSilentConnections(t *testing.T) {
	playCrowds(t, crowd{clients: 2500})
}

func TestCrowdOfIdleConnections(t *testing.T) {
	playCrowds(t, crowd{clients: 2500, send: sends(text(crowdRequestLine + "\r\n"))})
}

// TestCrowdsAtOtherListeners plays crowds at the addresses for operators and for other nodes.
func TestCrowdsAtOtherListeners(t *testing.T) {
	admin := func(node *fleet.Node) string { return node.AdminAddress }
	control := func(node *fleet.Node) string { return node.ControlAddress }
	calls := func(node *fleet.Node) string { return node.CallsAddress }
	playCrowds(t,
		crowd{clients: 300, address: admin, send: sends(text(crowdRequestLine), lines(60<<10))},
		crowd{clients: 600, address: admin},
		crowd{clients: 600, address: control},
		crowd{clients: 600, address: calls},
	)
}

// TestCrowdsTogether plays crowds of several kinds at the same time. Each begins again when the
// node has ended its connection.
func TestCrowdsTogether(t *testing.T) {
	playCrowds(t,
		crowd{clients: 100, rounds: 3, send: sends(text(crowdRequestLine), lines(legalLines))},
		crowd{clients: 100, rounds: 3, send: sends(text(crowdRequestLine), lines(legalLines), text("\r\n"))},
		crowd{clients: 100, rounds: 3, send: sends(upload(4<<20, 1))},
		crowd{clients: 100, rounds: 3, send: sends(upload(4<<20, 0))},
		crowd{clients: 100, rounds: 3, send: sends(text(chunkedUpload), pieces(512<<10, 3))},
		crowd{clients: 200, rounds: 3, unread: true, send: sends(text("GET /riders/1?bytes=8000000 HTTP/1.1\r\nHost: callers.example\r\n\r\n"))},
		crowd{clients: 600},
	)
}

// TestHeadOfLegalSizeIsServed sends single heads of the largest legal size, by their bytes on the
// wire, and a single body of the largest legal size. All are served in calm.
func TestHeadOfLegalSizeIsServed(t *testing.T) {
	h := startCrowdHarness(t, crowd{})
	for name, line := range map[string]string{
		"short lines": "a%x:\r\n", "repeated name": "a:\r\n", "long value": "a%04x: " + strings.Repeat("b", 1000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var head strings.Builder
			head.WriteString(crowdRequestLine)
			for i := 0; ; i++ {
				next := line
				if strings.Contains(line, "%") {
					next = fmt.Sprintf(line, i)
				}
				if head.Len()+len(next)+len("\r\n") > crowdHeaderBytes {
					break
				}
				head.WriteString(next)
			}
			head.WriteString("\r\n")
			caller := h.dialCaller(h.Nodes[0])
			_, err := io.WriteString(caller.conn, head.String())
			h.must(err)
			response, err := caller.receive(http.MethodGet)
			if err != nil || response.status != http.StatusOK {
				t.Errorf("a head of %d bytes: status %d, error %v, %s", head.Len(), response.status, err, response.body)
			}
		})
	}
	caller := h.dialCaller(h.Nodes[0])
	go func() {
		w := bufio.NewWriter(caller.conn)
		_ = errors.Join(upload(crowdBodyBytes, 0)(w), w.Flush())
	}()
	response, err := caller.receive(http.MethodPost)
	if err != nil || response.status != http.StatusOK {
		t.Errorf("a body of %d bytes: status %d, error %v, %s", crowdBodyBytes, response.status, err, response.body)
	}
}
