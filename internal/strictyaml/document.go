// Package strictyaml decodes YAML files written by operators into structs with
// yaml tags. It accepts no unknown or repeated key, no value without its unit
// and no value of another type, and reports all faults at once with file,
// line, key and remedy.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// MaxFileBytes bounds a file; a longer one is a problem and is not parsed.
const MaxFileBytes = 1 << 20

// Document is one decoded file with the lines of its keys and its problems.
type Document struct {
	file     string
	parsed   bool
	sources  map[string]string // keys that were overridden, with their source
	lines    map[string]int
	problems []Problem
	failed   map[string]bool
}

// Decode reads data into the struct that into points to. Keys that the file
// leaves out keep the value that they have. Faults are kept for Err.
func Decode(file string, data []byte, into any) *Document {
	d := &Document{file: file, lines: make(map[string]int), sources: make(map[string]string), failed: make(map[string]bool)}
	root, ok := d.parse(data)
	d.parsed = ok
	if root != nil {
		d.decode("", root, reflect.ValueOf(into).Elem())
	}
	return d
}

// Parsed reports whether the file is YAML at all, so that its values can be
// checked.
func (d *Document) Parsed() bool { return d.parsed }

// HasKey reports whether the file or an override holds the key.
func (d *Document) HasKey(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Valid reports whether neither the keys nor those around them have a problem.
// Without keys it reports whether the whole file has none.
func (d *Document) Valid(keys ...string) bool {
	if len(keys) == 0 {
		return len(d.problems) == 0
	}
	return !slices.ContainsFunc(keys, d.hasProblem)
}

// Reject adds a problem of the key, unless the key or one around it has one
// already. A key that the file leaves out is reported on the line of the
// nearest key around it.
func (d *Document) Reject(key, text, remedy string) {
	if d.hasProblem(key) {
		return
	}
	d.failed[key] = true
	problem := Problem{File: d.file, Line: d.nearestLine(key), Key: key, Text: text, Remedy: remedy}
	if source, ok := d.sources[key]; ok {
		problem.File, problem.Line = source, 0
	}
	d.problems = append(d.problems, problem)
}

// Err returns all problems, ordered by line, as *Problems, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	list := slices.Clone(d.problems)
	slices.SortStableFunc(list, func(a, b Problem) int { return a.Line - b.Line })
	return &Problems{List: list}
}

func (d *Document) parse(data []byte) (*yaml.Node, bool) {
	if len(data) > MaxFileBytes {
		d.rejectFile(0, fmt.Sprintf("file has %d bytes", len(data)), fmt.Sprintf("keep it under %d bytes", MaxFileBytes))
		return nil, false
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return nil, true
	}
	if err != nil {
		d.rejectSyntax(err)
		return nil, false
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		d.rejectFile(second.Line, "a second document follows the first", "keep one document in the file and remove the line `---`")
		return nil, false
	}
	return document.Content[0], true
}

var syntaxLine = regexp.MustCompile(`^line (\d+): `)

func (d *Document) rejectSyntax(err error) {
	line := 0
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if match := syntaxLine.FindStringSubmatch(text); match != nil {
		line, _ = strconv.Atoi(match[1])
		text = strings.TrimPrefix(text, match[0])
	}
	d.rejectFile(line, "not YAML: "+text, "mend the indentation or quoting near this line")
}

func (d *Document) rejectFile(line int, text, remedy string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Text: text, Remedy: remedy})
}

func (d *Document) hasProblem(key string) bool {
	for ; key != ""; key = parentOf(key) {
		if d.failed[key] {
			return true
		}
	}
	return d.failed[""]
}

func (d *Document) nearestLine(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = parentOf(key)
	}
	return d.lines[""]
}

func parentOf(key string) string {
	for i := len(key) - 1; i > 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}
