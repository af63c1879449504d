package strictyaml

import (
	"fmt"
	"reflect"
	"strings"

	"gopkg.in/yaml.v3"
)

// decode decodes one YAML node into value and records problems under key.
func (d *Document) decode(key string, node *yaml.Node, value reflect.Value) {
	if !d.HasKey(key) {
		d.lines[key] = node.Line
	}
	switch {
	case node.Kind == yaml.AliasNode || node.Anchor != "":
		d.Reject(key, "anchors and aliases are not supported", "write the value out")
	case isScalar(value.Type()):
		d.decodeScalar(key, node, value)
	case value.Kind() == reflect.Struct:
		d.decodeStruct(key, node, value)
	case value.Kind() == reflect.Pointer:
		// A pointer holds an optional group.
		value.Set(reflect.New(value.Type().Elem()))
		d.decodeStruct(key, node, value.Elem())
	default:
		d.decodeList(key, node, value)
	}
}

func (d *Document) decodeStruct(key string, node *yaml.Node, value reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.Reject(key, "is not a group of keys", "write its keys below it, indented: "+strings.Join(keysOf(value.Type()), ", "))
		return
	}
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i]
		child := join(key, name.Value)
		if first, ok := seen[name.Value]; ok {
			d.rejectRepeated(child, name.Line, first)
			continue
		}
		seen[name.Value] = name.Line
		d.lines[child] = name.Line
		field, ok := fieldOf(value, name.Value)
		if !ok {
			d.Reject(child, "unknown key", "remove it or use one of: "+strings.Join(keysOf(value.Type()), ", "))
			continue
		}
		d.decode(child, node.Content[i+1], field)
	}
}

func (d *Document) rejectRepeated(key string, line, first int) {
	d.keysWithProblem[key] = true
	d.problems = append(d.problems, Problem{
		File: d.file, Line: line, Key: key,
		Text:   fmt.Sprintf("key is given twice, first on line %d", first),
		Remedy: "keep one of the two",
	})
}

func (d *Document) decodeList(key string, node *yaml.Node, value reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.Reject(key, "is not a list", "write each item on its own line after `- `")
		return
	}
	items := reflect.MakeSlice(value.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.decode(fmt.Sprintf("%s[%d]", key, i), item, items.Index(i))
	}
	value.Set(items)
}

func (d *Document) decodeScalar(key string, node *yaml.Node, value reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.Reject(key, "is not a single value", "write it as "+exampleOf(key, value.Type()))
		return
	}
	if node.Tag == "!!null" {
		d.Reject(key, "has no value", "write it as "+exampleOf(key, value.Type())+" or leave the key out")
		return
	}
	if value.Kind() == reflect.String && node.Tag != "!!str" {
		d.Reject(key, fmt.Sprintf("%s is not text", shownValue(node, value.Type())), "put it in quotes")
		return
	}
	if problem := setScalar(key, node.Value, value); problem != nil {
		d.Reject(key, problem.text, problem.remedy)
	}
}

// shownValue returns the value as problems show it. API keys (state.APIKey) are hidden.
func shownValue(node *yaml.Node, t reflect.Type) string {
	if t.Name() == "APIKey" {
		return "the key"
	}
	return node.Value
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func fieldOf(value reflect.Value, name string) (reflect.Value, bool) {
	for i := range value.NumField() {
		if tagOf(value.Type().Field(i)) == name {
			return value.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(t reflect.Type) []string {
	keys := make([]string, t.NumField())
	for i := range keys {
		keys[i] = tagOf(t.Field(i))
	}
	return keys
}

func tagOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}
