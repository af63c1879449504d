package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
)

// Problem is one problem in a file, with its remedy.
type Problem struct {
	// File is the path as the user gave it, or the source of an overriding value.
	File string `json:"file"`
	// Line is the line number, from 1. It is 0 if the problem has no line.
	Line int `json:"line,omitempty"`
	// Key is the dotted path of the value, such as "node.seeds[0].id".
	Key    string `json:"key,omitempty"`
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// String writes the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	fmt.Fprintf(&b, "%s: %s", p.Text, p.Remedy)
	return b.String()
}

// Problems is the error that lists all problems of a file.
type Problems struct {
	List []Problem
}

// Error writes one problem per line.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, problem := range p.List {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// TakeProblems removes the problems of the group and of the keys below it from the document, and
// returns them.
func (d *Document) TakeProblems(group string) []Problem {
	var taken, kept []Problem
	for _, problem := range d.problems {
		if problem.Key == group || strings.HasPrefix(problem.Key, group+".") {
			delete(d.keysWithProblem, problem.Key)
			taken = append(taken, problem)
			continue
		}
		kept = append(kept, problem)
	}
	d.problems = kept
	return taken
}

// Reset sets the key's value in the struct that into points to as it is in from. A key that the
// struct does not have is left alone.
func (d *Document) Reset(into, from any, key string) {
	target, source := reflect.ValueOf(into).Elem(), reflect.ValueOf(from)
	for _, name := range strings.Split(key, ".") {
		field, ok := fieldOf(target, name)
		if !ok {
			return
		}
		source, _ = fieldOf(source, name)
		target = field
	}
	target.Set(source)
}
