package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// placeholder matches one placeholder, or the begin or end of a section.
var placeholder = regexp.MustCompile(`\{\{([#^/]?)([^}]*)\}\}`)

// render fills in a settings template as the deployment page says: sections that depend on whether a
// value is present, and placeholders with the filter json.
func render(text string, fields map[string]any) string {
	var out strings.Builder
	for {
		at := placeholder.FindStringSubmatchIndex(text)
		if at == nil {
			out.WriteString(text)
			return out.String()
		}
		kind, name := text[at[2]:at[3]], text[at[4]:at[5]]
		out.WriteString(text[:at[0]])
		rest := text[at[1]:]
		if kind == "" {
			out.WriteString(renderValue(name, fields))
			text = rest
			continue
		}
		end := "{{/" + name + "}}"
		body, after, _ := strings.Cut(rest, end)
		if present := isPresent(lookUp(name, fields)); present == (kind == "#") {
			out.WriteString(render(body, fields))
		}
		text = after
	}
}

func renderValue(name string, fields map[string]any) string {
	path, filter, _ := strings.Cut(name, "|")
	value := lookUp(path, fields)
	if filter == "json" {
		data, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(data)
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

func isPresent(value any) bool { return value != nil && value != false }

func lookUp(path string, fields map[string]any) any {
	var value any = fields
	for part := range strings.SplitSeq(path, ".") {
		switch typed := value.(type) {
		case map[string]any:
			value = typed[part]
		case []int:
			index, err := strconv.Atoi(part)
			if err != nil || index >= len(typed) {
				return nil
			}
			value = typed[index]
		default:
			return nil
		}
	}
	return value
}
