package processtest

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/target"
	"jasminegate/internal/state"
)

const (
	// responseTimeout is the longest wait of a raw caller for a response or for the
	// end of its connection.
	responseTimeout = 10 * time.Second
	// ledgerQuietTime is how long the ledgers must stay unchanged before they are
	// compared with what callers saw.
	ledgerQuietTime = 300 * time.Millisecond
	// rawSlots is enough for every raw caller to run a call at the same time.
	rawSlots = 400
)

// callersPlan returns a plan of one failure domain with a node for each of the two
// services. Whether a call's gate is the entry follows from its route.
func callersPlan() fleet.Plan {
	plan := fleetPlan(2)
	plan.Nodes = plan.Nodes[:2]
	for i := range plan.Nodes {
		plan.Nodes[i].Slots, plan.Nodes[i].Connections = rawSlots, rawSlots
	}
	return plan
}

// callersTicket returns the base ticket with room for all raw callers.
func callersTicket(limits *state.CallerLimits) state.Ticket {
	ticket := baseTicket()
	ticket.CallerLimits = limits
	for i := range ticket.Services {
		ticket.Services[i].Slots, ticket.Services[i].Connections, ticket.Services[i].QueueLength = rawSlots, rawSlots, rawSlots
	}
	return ticket
}

// startCallersHarness starts a fleet of callersPlan with callersTicket in force.
func startCallersHarness(t *testing.T, limits *state.CallerLimits) *harness {
	t.Helper()
	h := startHarness(t, callersPlan())
	h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], callersTicket(limits)))
	return h
}

// nextID returns a unique ID of a request.
func (h *harness) nextID(prefix string) string {
	return fmt.Sprintf("%s-%d", prefix, h.runs.Add(1))
}

// rawRequest is a request that a raw caller writes. A raw caller controls its
// connection, which http.Client does not allow.
type rawRequest struct {
	id     string
	method string
	uri    string
	body   string
	// chunked sends the body in chunks instead of with its length.
	chunked bool
	// parent is the ID of the running call that makes the request, empty if none does.
	parent string
	// timeout is how long the caller says that it waits; 0 leaves it out.
	timeout time.Duration
}

func (r rawRequest) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: callers.example\r\n%s: %s\r\n", r.method, r.uri, target.HeaderTestID, r.id)
	if r.timeout > 0 {
		fmt.Fprintf(&text, "%s: %d\r\n", target.HeaderTimeout, r.timeout.Milliseconds())
	}
	if r.parent != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", target.HeaderCallID, r.parent)
	}
	switch {
	case r.chunked:
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, part := range []string{r.body[:len(r.body)/2], r.body[len(r.body)/2:]} {
			fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
		}
		text.WriteString("0\r\n\r\n")
	case r.body != "":
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	default:
		text.WriteString("\r\n")
	}
	return text.String()
}

// head returns the part of text before the body.
func (r rawRequest) head() string {
	head, _, _ := strings.Cut(r.text(), "\r\n\r\n")
	return head + "\r\n\r\n"
}

// rawResponse is a complete response.
type rawResponse struct {
	status int
	header http.Header
	body   []byte
	// closes says that the response announces the end of the connection.
	closes bool
	at     time.Time
}

// rawCaller is a caller's connection.
type rawCaller struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

func dialCaller(node *fleet.Node) (*rawCaller, error) {
	conn, err := net.DialTimeout("tcp", node.CallersAddress, stepTimeout)
	if err != nil {
		return nil, err
	}
	return newRawCaller(conn), nil
}

func newRawCaller(conn net.Conn) *rawCaller {
	return &rawCaller{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

func (h *harness) dialCaller(node *fleet.Node) *rawCaller {
	h.t.Helper()
	caller, err := dialCaller(node)
	h.must(err)
	h.t.Cleanup(func() { _ = caller.conn.Close() })
	return caller
}

func (c *rawCaller) send(request rawRequest) error { return c.write(request.text()) }

func (c *rawCaller) write(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// receive reads one complete response.
func (c *rawCaller) receive(method string) (rawResponse, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		return rawResponse{}, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return rawResponse{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return rawResponse{}, err
	}
	return rawResponse{status: response.StatusCode, header: response.Header, body: body, closes: response.Close, at: time.Now()}, nil
}

func (c *rawCaller) roundTrip(request rawRequest) (rawResponse, error) {
	if err := c.send(request); err != nil {
		return rawResponse{}, err
	}
	return c.receive(request.method)
}

// awaitClose waits for the other end to close the connection.
func (c *rawCaller) awaitClose() error {
	if err := c.conn.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		return err
	}
	if _, err := c.reader.ReadByte(); err != io.EOF {
		return fmt.Errorf("the connection was not closed: %w", err)
	}
	return nil
}

// rawResult is what a raw caller saw of one request.
type rawResult struct {
	id string
	// err is nil if the response was complete.
	err      error
	response rawResponse
}

// rawResults collects the results of concurrent raw callers.
type rawResults struct {
	mu  sync.Mutex
	all []rawResult
}

func (r *rawResults) add(id string, response rawResponse, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, rawResult{id: id, err: err, response: response})
}

// records returns the records of all running targets by test ID, with the last start
// and the last end.
func (h *harness) records() map[string]target.RunRecord {
	h.t.Helper()
	records := make(map[string]target.RunRecord)
	for _, node := range h.Nodes {
		if !node.Target().Running() {
			continue
		}
		ledger, err := node.Ledger(h.ctx())
		h.must(err)
		for _, record := range ledger.Tests {
			sum := records[record.ID]
			sum.ID = record.ID
			sum.Count += record.Count
			sum.Finished += record.Finished
			sum.Cancelled += record.Cancelled
			sum.StartedMS = max(sum.StartedMS, record.StartedMS)
			sum.EndedMS = max(sum.EndedMS, record.EndedMS)
			records[record.ID] = sum
		}
	}
	return records
}

// settledRecords returns the records once they stay unchanged for ledgerQuietTime,
// so that they include the runs of requests whose connections were closed.
func (h *harness) settledRecords() map[string]target.RunRecord {
	h.t.Helper()
	last := h.records()
	h.await("the ledgers to stay unchanged", func() bool {
		time.Sleep(ledgerQuietTime)
		now := h.records()
		unchanged := maps.Equal(last, now)
		last = now
		return unchanged
	})
	return last
}

// checkRunsAnswered checks that every request whose run started at a target got a
// complete response. A request that crossed the close of its connection may get
// none if it did not run.
func (h *harness) checkRunsAnswered(what string, results []rawResult) {
	h.t.Helper()
	records := h.settledRecords()
	answered, ran, ranUnanswered := 0, 0, 0
	var examples []string
	for _, result := range results {
		record := records[result.id]
		if record.Count > 0 {
			ran++
		}
		if result.err == nil {
			answered++
			continue
		}
		if record.Count > 0 {
			ranUnanswered++
			if len(examples) < 3 {
				examples = append(examples, fmt.Sprintf("%s: %v, ledger %+v", result.id, result.err, record))
			}
		}
	}
	h.t.Logf("%s: %d requests, %d answered, %d ran, %d closed without a run", what, len(results), answered, ran, len(results)-answered-ranUnanswered)
	if answered == 0 {
		h.t.Errorf("%s: no request was answered", what)
	}
	if ranUnanswered > 0 {
		h.t.Errorf("%s: %d of %d requests that ran got no response: %s", what, ranUnanswered, ran, strings.Join(examples, "; "))
	}
}
