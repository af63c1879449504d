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

// Report is what the logs tell of one request.
type Report struct {
	Request string `json:"request"`
	// RequestLines are the lines about the request and the calls that it made, by time.
	RequestLines []Line `json:"path"`
	// ContextLines are the lines, by time, that tell what the nodes of the path believed:
	// before it each node's last one of its kind, and all in the window. The first
	// node of the fleet to install a version in the window is among them.
	ContextLines []Line `json:"around"`
	// DroppedLines is how many lines the nodes of the path say they did not write just
	// before those of the path, and Skipped how many lines were no events.
	DroppedLines int `json:"left_out"`
	SkippedLines int `json:"skipped"`
}

// beliefs are the events that change what a node believes.
var beliefs = []logging.Event{
	logging.NodeStarted, logging.NodeStopping, logging.NodeStopped, logging.NodeFenced, logging.NodeUnfenced,
	logging.SnapshotInstalled, logging.UpdateRefused, logging.PlatformUnreachable, logging.PlatformReachable, logging.TicketUndecodable,
	logging.MemberJoined, logging.MemberSuspect, logging.MemberDead, logging.MemberLeft,
	logging.TargetReady, logging.TargetDraining, logging.TargetExpired, logging.PeerConnectionsDropped,
}

// Collector takes in logs and then reports.
type Collector struct {
	id      string
	window  time.Duration
	path    []Line
	beliefs []Line
	skipped int
}

// New returns a collector for the request. Window is how long before and after
// its lines others are shown.
func New(id string, window time.Duration) *Collector {
	return &Collector{id: id, window: window}
}

// Read takes in one log.
func (c *Collector) Read(in io.Reader) error {
	skipped, err := readLines(in, c.take)
	c.skipped += skipped
	return err
}

func (c *Collector) take(line Line) {
	if line.about(c.id) {
		c.path = append(c.path, line)
		return
	}
	if slices.ContainsFunc(beliefs, func(e logging.Event) bool { return e.Code == line.Event }) {
		c.beliefs = append(c.beliefs, line)
	}
}

// Report returns what was found. Times are the nodes' own: lines of two nodes may
// stand in the wrong order by as much as their clocks differ.
func (c *Collector) Report() Report {
	byTime(c.path)
	byTime(c.beliefs)
	r := Report{Request: c.id, RequestLines: c.path, SkippedLines: c.skipped}
	if len(c.path) == 0 {
		return r
	}
	for _, line := range c.path {
		if n, ok := line.Fields["left_out"].(json.Number); ok {
			left, _ := n.Int64() // what is no number tells of no line
			r.DroppedLines += int(left)
		}
	}
	r.ContextLines = c.around(nodesOf(c.path))
	return r
}

// nodesOf returns the nodes that wrote the lines and the gates that they name.
func nodesOf(path []Line) map[string]bool {
	nodes := make(map[string]bool)
	for _, line := range path {
		nodes[line.Node] = true
		for gate := range strings.SplitSeq(line.text("gates"), ",") {
			if gate != "" {
				nodes[gate] = true
			}
		}
	}
	return nodes
}

// around returns what the nodes of the path believed.
func (c *Collector) around(nodes map[string]bool) []Line {
	v := view{
		nodes: nodes,
		from:  c.path[0].Time.Add(-c.window), to: c.path[len(c.path)-1].Time.Add(c.window),
		before: make(map[subject]Line), versions: make(map[string]bool), silent: make(map[subject]bool),
	}
	for _, line := range c.beliefs {
		v.take(line)
	}
	lines := slices.AppendSeq(v.lines, maps.Values(v.before))
	byTime(lines)
	return lines
}

// subject is what a line is about.
type subject struct {
	node, about string
	event       int
}

// view chooses the lines that tell what some nodes believed between two times.
type view struct {
	nodes    map[string]bool
	from, to time.Time
	// before holds each node's last line of its kind before that time.
	before map[subject]Line
	lines  []Line
	// versions are those that some node has installed, and silent the paths of
	// which one line was chosen.
	versions map[string]bool
	silent   map[subject]bool
}

// take takes in the lines by their time.
func (v *view) take(line Line) {
	first := v.firstOfVersion(line)
	member := line.text("member")
	own := v.nodes[line.Node] && (member == "" || v.nodes[member])
	switch {
	case line.Time.After(v.to):
	case line.Time.Before(v.from):
		if own {
			v.before[subject{line.Node, member, line.Event}] = line
		}
	case first, own && !v.repeatsSilence(line):
		v.lines = append(v.lines, line)
	}
}

// firstOfVersion reports whether the line is the fleet's first on a version.
func (v *view) firstOfVersion(line Line) bool {
	version := line.text("version")
	if line.Event != logging.SnapshotInstalled.Code || v.versions[version] {
		return false
	}
	v.versions[version] = true
	return true
}

// repeatsSilence reports whether a line about the same silent path was chosen:
// there is one for each connection.
func (v *view) repeatsSilence(line Line) bool {
	if line.Event != logging.PeerConnectionsDropped.Code {
		return false
	}
	path := subject{line.Node, line.text("gate"), line.Event}
	known := v.silent[path]
	v.silent[path] = true
	return known
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		if order := a.Time.Compare(b.Time); order != 0 {
			return order
		}
		return strings.Compare(a.Node, b.Node)
	})
}
