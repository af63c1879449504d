package logging

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// entry is one event as declared in events.go or listed in docs/events.md.
type entry struct {
	name  string
	code  int
	level string
}

// TestCatalogue checks that docs/events.md lists exactly the events of events.go,
// with the same name, code and level, and that each code is used once.
func TestCatalogue(t *testing.T) {
	is := is.New(t)
	declared := declaredEvents(t)
	listed := listedEvents(t)
	is.True(len(declared) > 0)
	codes := make(map[int]string)
	for _, event := range declared {
		if other, taken := codes[event.code]; taken {
			t.Errorf("code %d is used by %s and %s: give each event its own code", event.code, other, event.name)
		}
		codes[event.code] = event.name
		if listed[event.name] != event {
			t.Errorf("docs/events.md lists %+v for %s, events.go declares %+v: correct the row", listed[event.name], event.name, event)
		}
		delete(listed, event.name)
	}
	for name := range listed {
		t.Errorf("docs/events.md lists %s, which events.go does not declare: remove the row", name)
	}
}

// declaredEvents returns the events declared in events.go.
func declaredEvents(t *testing.T) []entry {
	is := is.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	is.NoErr(err)
	var events []entry
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		literal := spec.Values[0].(*ast.CompositeLit)
		code, err := strconv.Atoi(literal.Elts[0].(*ast.BasicLit).Value)
		is.NoErr(err)
		level := literal.Elts[1].(*ast.SelectorExpr).Sel.Name
		text, err := strconv.Unquote(literal.Elts[2].(*ast.BasicLit).Value)
		is.NoErr(err)
		is.True(text != "")
		events = append(events, entry{spec.Names[0].Name, code, strings.ToLower(strings.TrimSuffix(level, "Level"))})
		return true
	})
	return events
}

var catalogueRow = regexp.MustCompile(`^\| (\d+) \| (\w+) \| (\w+) \| ([^|]+) \| ([^|]+) \|$`)

// listedEvents returns the events listed in docs/events.md, by name. Each row must
// also have a meaning and a remedy.
func listedEvents(t *testing.T) map[string]entry {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/events.md")
	is.NoErr(err)
	events := make(map[string]entry)
	for _, line := range strings.Split(string(data), "\n") {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| Code") {
			continue
		}
		row := catalogueRow.FindStringSubmatch(line)
		if row == nil {
			t.Errorf("docs/events.md: not a row of code, name, level, meaning and remedy: %s", line)
			continue
		}
		code, err := strconv.Atoi(row[1])
		is.NoErr(err)
		if _, twice := events[row[2]]; twice {
			t.Errorf("docs/events.md lists %s twice", row[2])
		}
		events[row[2]] = entry{row[2], code, row[3]}
	}
	return events
}
