package strictyaml

import (
	"fmt"
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
