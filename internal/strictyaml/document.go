// Package strictyaml decodes YAML files written by operators into structs with
// yaml tags. It rejects unknown and repeated keys, durations and sizes without a
// unit, and values of another type. It reports all problems at once, each with
// file, line, key and remedy.
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

// MaxFileBytes is the size limit of a file. A larger file is reported as a
// problem and not parsed.
const MaxFileBytes = 16 << 20

// Document is one decoded file, with the line of each key and the problems found.
type Document struct {
	file            string
	parsed          bool
	sources         map[string]string // source of each overridden key
	lines           map[string]int    // line of each key in the file
	problems        []Problem
	keysWithProblem map[string]bool
}

// Decode decodes data into the struct that into points to. Fields whose key is not
// in the file keep their value. Problems are returned by Err.
func Decode(file string, data []byte, into any) *Document {
	d := &Document{file: file, lines: make(map[string]int), sources: make(map[string]string), keysWithProblem: make(map[string]bool)}
	root, ok := d.parse(data)
	d.parsed = ok
	if root != nil {
		d.decode("", root, reflect.ValueOf(into).Elem())
	}
	return d
}

// Parsed reports whether the file was parsed as YAML, so that its values can be
// checked. An empty file counts as parsed.
func (d *Document) Parsed() bool { return d.parsed }

// HasKey reports whether the file has the key.
func (d *Document) HasKey(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Given reports whether the file or an override has the key.
func (d *Document) Given(key string) bool {
	_, overridden := d.sources[key]
	return overridden || d.HasKey(key)
}

// Valid reports whether neither the keys nor the groups that contain them have a
// problem. Without keys it reports whether there are no problems at all.
func (d *Document) Valid(keys ...string) bool {
	if len(keys) == 0 {
		return len(d.problems) == 0
	}
	return !slices.ContainsFunc(keys, d.hasProblem)
}

// Reject adds a problem with the key, unless the key or a group that contains it
// already has one. A key that is not in the file is reported on the line of the
// innermost group that is.
func (d *Document) Reject(key, text, remedy string) {
	if d.hasProblem(key) {
		return
	}
	d.keysWithProblem[key] = true
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
	d.rejectFile(line, "not YAML: "+text, "correct the indentation or quoting near this line")
}

func (d *Document) rejectFile(line int, text, remedy string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Text: text, Remedy: remedy})
}

func (d *Document) hasProblem(key string) bool {
	for ; key != ""; key = parentOf(key) {
		if d.keysWithProblem[key] {
			return true
		}
	}
	return d.keysWithProblem[""]
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
