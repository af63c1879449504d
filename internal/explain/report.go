package explain

import (
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"jasminegate/internal/logging"
)

// Report has the logged events of one request.
type Report struct {
	Request string `json:"request"`
	// RequestLines has the lines about the request and its nested calls, ordered by
	// time.
	RequestLines []Line `json:"path"`
	// ContextLines has the lines, ordered by time, that show the state which the
	// nodes involved knew: those in the window (see New) and, from before it, the last
	// line of each kind and node. Lines about members that are not involved and
	// repeated connection losses are left out. It also has the fleet's first
	// installation of each version in the window.
	ContextLines []Line `json:"around"`
	// DroppedLines is the number of lines on failed requests, possibly this one, that
	// the nodes dropped just before the request lines, because nodes limit the rate
	// of such lines.
	DroppedLines int `json:"left_out"`
	// SkippedLines is the number of lines that are not events.
	SkippedLines int `json:"skipped"`
}

// stateEvents are the events that show a change of the state that a node knows.
var stateEvents = []logging.Event{
	logging.NodeStarted, logging.NodeStopping, logging.NodeStopped, logging.NodeFenced, logging.NodeUnfenced,
	logging.SnapshotInstalled, logging.UpdateRefused, logging.PlatformUnreachable, logging.PlatformReachable, logging.TicketUndecodable,
	logging.MemberJoined, logging.MemberSuspect, logging.MemberDead, logging.MemberLeft,
	logging.TargetReady, logging.TargetDraining, logging.TargetExpired, logging.TargetRateLimit, logging.TargetLeaving, logging.TargetCrashed,
	logging.RequestQuarantined, logging.QuarantineEnded,
	logging.PeerConnectionsDropped,
}

// Collector reads logs and makes a report on one request.
type Collector struct {
	id           string
	window       time.Duration
	requestLines []Line
	stateLines   []Line
	skipped      int
}

// New returns a collector for the request. The report includes other lines up to
// window before and after the request's lines.
func New(id string, window time.Duration) *Collector {
	return &Collector{id: id, window: window}
}

// Read reads one log to its end. It fails if in does.
func (c *Collector) Read(in io.Reader) error {
	skipped, err := readLines(in, c.add)
	c.skipped += skipped
	return err
}

func (c *Collector) add(line Line) {
	if line.isAbout(c.id) {
		c.requestLines = append(c.requestLines, line)
		return
	}
	if slices.ContainsFunc(stateEvents, func(e logging.Event) bool { return e.Code == line.Event }) {
		c.stateLines = append(c.stateLines, line)
	}
}

// Report returns the report on all logs read. Each line has the time of its node's
// clock, so lines of two nodes can be in the wrong order by as much as their clocks
// differ.
func (c *Collector) Report() Report {
	sortByTime(c.requestLines)
	sortByTime(c.stateLines)
	r := Report{Request: c.id, RequestLines: c.requestLines, SkippedLines: c.skipped}
	if len(c.requestLines) == 0 {
		return r
	}
	for _, line := range c.requestLines {
		if n, ok := line.Fields["left_out"].(json.Number); ok {
			dropped, _ := n.Int64() // 0 if the field is not an integer
			r.DroppedLines += int(dropped)
		}
	}
	r.ContextLines = c.contextLines(involvedNodes(c.requestLines))
	return r
}

// involvedNodes returns the nodes that logged the lines and the gates that the lines
// name.
func involvedNodes(lines []Line) map[string]bool {
	nodes := make(map[string]bool)
	for _, line := range lines {
		nodes[line.Node] = true
		for gate := range strings.SplitSeq(line.text("gates"), ",") {
			if gate != "" {
				nodes[gate] = true
			}
		}
	}
	return nodes
}

// contextLines returns the lines that show the state which the nodes knew.
func (c *Collector) contextLines(nodes map[string]bool) []Line {
	s := selection{
		nodes: nodes,
		from:  c.requestLines[0].Time.Add(-c.window), to: c.requestLines[len(c.requestLines)-1].Time.Add(c.window),
		before: make(map[lineKind]Line), versions: make(map[string]bool), lostConnections: make(map[lineKind]bool),
	}
	for _, line := range c.stateLines {
		s.add(line)
	}
	lines := slices.AppendSeq(s.lines, maps.Values(s.before))
	sortByTime(lines)
	return lines
}

// lineKind identifies the kind of a line by its node, its event and a peer: the
// member that it is about in selection.before, the gate in
// selection.lostConnections.
type lineKind struct {
	node, peer string
	event      int
}

// selection selects the lines that show the state which some nodes knew between two
// times.
type selection struct {
	nodes    map[string]bool
	from, to time.Time
	// before has the last line of each kind before the time from.
	before map[lineKind]Line
	lines  []Line
	// versions are the versions that any node has installed so far. lostConnections
	// are the connections, by node and gate, whose loss already has a line.
	versions        map[string]bool
	lostConnections map[lineKind]bool
}

// add selects the line or ignores it. Lines must come in the order of their times.
func (s *selection) add(line Line) {
	firstInstall := s.isFirstInstall(line)
	member := line.text("member")
	involved := s.nodes[line.Node] && (member == "" || s.nodes[member])
	switch {
	case line.Time.After(s.to):
	case line.Time.Before(s.from):
		if involved {
			s.before[lineKind{line.Node, member, line.Event}] = line
		}
	case firstInstall, involved && !s.repeatsConnectionLoss(line):
		s.lines = append(s.lines, line)
	}
}

// isFirstInstall reports whether the line is the fleet's first installation of a
// version, and records the version. It must be called for every line, also for those
// before the window.
func (s *selection) isFirstInstall(line Line) bool {
	version := line.text("version")
	if line.Event != logging.SnapshotInstalled.Code || s.versions[version] {
		return false
	}
	s.versions[version] = true
	return true
}

// repeatsConnectionLoss reports whether the loss of a connection from the same node to
// the same gate already has a line, and records the loss: nodes log one line per
// connection.
func (s *selection) repeatsConnectionLoss(line Line) bool {
	if line.Event != logging.PeerConnectionsDropped.Code {
		return false
	}
	kind := lineKind{line.Node, line.text("gate"), line.Event}
	repeated := s.lostConnections[kind]
	s.lostConnections[kind] = true
	return repeated
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		if order := a.Time.Compare(b.Time); order != 0 {
			return order
		}
		return strings.Compare(a.Node, b.Node)
	})
}
