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
	// Path has the lines about the request and its nested calls, ordered by time.
	Path []Line `json:"path"`
	// Around has the lines, ordered by time, that show the state which the nodes of
	// the path knew: all such lines in the window and, from before the window, the
	// last line of each kind and node. It also has the fleet's first installation of
	// each version in the window.
	Around []Line `json:"around"`
	// LeftOut is the number of log lines that the nodes of the path dropped just
	// before the lines of the path. Skipped is the number of lines that are not
	// events.
	LeftOut int `json:"left_out"`
	Skipped int `json:"skipped"`
}

// beliefs are the events that show a change of the state that a node knows.
var beliefs = []logging.Event{
	logging.NodeStarted, logging.NodeStopping, logging.NodeStopped, logging.NodeFenced, logging.NodeUnfenced,
	logging.SnapshotInstalled, logging.UpdateRefused, logging.PlatformUnreachable, logging.PlatformReachable, logging.TicketUndecodable,
	logging.MemberJoined, logging.MemberSuspect, logging.MemberDead, logging.MemberLeft,
	logging.TargetReady, logging.TargetDraining, logging.TargetGone, logging.PathSilent,
}

// Collector reads logs and makes a report on one request.
type Collector struct {
	id      string
	window  time.Duration
	path    []Line
	beliefs []Line
	skipped int
}

// New returns a collector for the request. The report includes other lines up to
// window before and after the request's lines.
func New(id string, window time.Duration) *Collector {
	return &Collector{id: id, window: window}
}

// Read reads one log to its end. It fails if in does.
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

// Report returns the report on all logs read. Each line has the time of its node's
// clock, so lines of two nodes can be in the wrong order by as much as their clocks
// differ.
func (c *Collector) Report() Report {
	byTime(c.path)
	byTime(c.beliefs)
	r := Report{Request: c.id, Path: c.path, Skipped: c.skipped}
	if len(c.path) == 0 {
		return r
	}
	for _, line := range c.path {
		if n, ok := line.Fields["left_out"].(json.Number); ok {
			left, _ := n.Int64() // 0 if the field is not an integer
			r.LeftOut += int(left)
		}
	}
	r.Around = c.around(nodesOf(c.path))
	return r
}

// nodesOf returns the nodes that logged the lines and the gates that the lines name.
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

// around returns the lines that show the state which the nodes knew.
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

// subject identifies the kind of a line: its node, event, and the member or gate that
// it is about.
type subject struct {
	node, about string
	event       int
}

// view selects the lines that show the state which some nodes knew between two times.
type view struct {
	nodes    map[string]bool
	from, to time.Time
	// before has the last line of each kind before the time from.
	before map[subject]Line
	lines  []Line
	// versions are the versions that a node has installed. silent are the lost
	// connections, by node and gate, that already have a line.
	versions map[string]bool
	silent   map[subject]bool
}

// take selects the line or ignores it. Lines must come in the order of their times.
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

// firstOfVersion reports whether the line is the fleet's first installation of a
// version.
func (v *view) firstOfVersion(line Line) bool {
	version := line.text("version")
	if line.Event != logging.SnapshotInstalled.Code || v.versions[version] {
		return false
	}
	v.versions[version] = true
	return true
}

// repeatsSilence reports whether a lost connection from the same node to the same gate
// already has a line: nodes log one line per connection.
func (v *view) repeatsSilence(line Line) bool {
	if line.Event != logging.PathSilent.Code {
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
