// Package explain finds in the nodes' logs what became of one request and what
// the nodes on its way believed at that time.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxLineBytes bounds a line; longer ones are passed over.
const maxLineBytes = 1 << 20

// Line is one event of a node.
type Line struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Event   int       `json:"event"`
	Message string    `json:"message"`
	// Fields are the event's own, as they were written.
	Fields map[string]any `json:"fields,omitempty"`
}

// request returns the name of the request that the line is about, if any.
func (l Line) request() string { return l.text("request") }

func (l Line) text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// about reports whether the line is about the request or a call that it made.
func (l Line) about(id string) bool {
	name := l.request()
	return name == id || strings.HasPrefix(name, id+".")
}

// common are the fields that each line has.
var common = []string{"time", "level", "node", "event", "message"}

// parseLine reads one line. What stands before the event, as another program may
// put it there, is passed over.
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
	decoder.UseNumber() // incarnations do not fit a float
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	for _, name := range common {
		delete(fields, name)
	}
	line.Fields = fields
	return line, true
}

// readLines hands over each event, and returns how many lines were none.
func readLines(in io.Reader, take func(Line)) (skipped int, err error) {
	reader := bufio.NewReaderSize(in, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		for tooLong := err == bufio.ErrBufferFull; tooLong; tooLong = err == bufio.ErrBufferFull {
			text = nil
			_, err = reader.ReadSlice('\n')
		}
		if line, ok := parseLine(text); ok {
			take(line)
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
