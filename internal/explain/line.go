// Package explain extracts from the nodes' logs the events of one request, and the
// events that show the state which the nodes involved knew at that time.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxLineBytes limits the length of a line. Longer lines are skipped.
const maxLineBytes = 1 << 20

// Line is one event that a node logged.
type Line struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Event   int       `json:"event"`
	Message string    `json:"message"`
	// Fields are the fields that not every event has, as they were logged.
	Fields map[string]any `json:"fields,omitempty"`
}

// request returns the ID of the request that the line is about, or "".
func (l Line) request() string { return l.text("request") }

func (l Line) text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// isAbout reports whether the line is about the request or one of its nested calls,
// whose IDs begin with the request's ID and a dot. Another NestedSeparator of the
// header contract is not recognised.
func (l Line) isAbout(id string) bool {
	name := l.request()
	return name == id || strings.HasPrefix(name, id+".")
}

// commonFields are the fields that each event has.
var commonFields = []string{"time", "level", "node", "event", "message"}

// parseLine parses one line. Text before the event, which another program may have
// added, is skipped.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var line Line
	if json.Unmarshal(text[start:], &line) != nil || line.Event == 0 || line.Time.IsZero() {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber() // a float64 cannot represent all incarnations
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	for _, name := range commonFields {
		delete(fields, name)
	}
	line.Fields = fields
	return line, true
}

// readLines calls handle for each event and returns the number of other lines.
func readLines(in io.Reader, handle func(Line)) (skipped int, err error) {
	reader := bufio.NewReaderSize(in, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		for tooLong := err == bufio.ErrBufferFull; tooLong; tooLong = err == bufio.ErrBufferFull {
			text = nil
			_, err = reader.ReadSlice('\n')
		}
		if line, ok := parseLine(text); ok {
			handle(line)
		} else if len(bytes.TrimSpace(text)) > 0 || text == nil {
			skipped++
		}
		if err == io.EOF {
			return skipped, nil
		}
		if err != nil {
			return skipped, err
		}
	}
}
