package strictyaml

import (
	"reflect"
	"strings"
)

// Override is a value from outside the file that replaces the file's value.
type Override struct {
	// Key is the dotted path of a scalar value, such as "node.id".
	Key string
	// Value is written as in the file.
	Value string
	// Source names the origin of the value in problems.
	Source string
}

// Override sets the value in the struct that into points to and removes the
// problems of the value that the file has for the key.
func (d *Document) Override(into any, override Override) {
	value := reflect.ValueOf(into).Elem()
	d.removeValueProblems(override.Key)
	d.sources[override.Key] = override.Source
	for _, name := range strings.Split(override.Key, ".") {
		field, ok := fieldOf(value, name)
		if !ok {
			d.Reject(override.Key, "unknown key", "see docs/settings-reference.md")
			return
		}
		value = field
	}
	if problem := setScalar(override.Key, override.Value, value); problem != nil {
		d.Reject(override.Key, problem.text, problem.remedy)
	}
}

// removeValueProblems removes the problems of the value that the file has for an
// overridden key. A repeated key remains a problem.
func (d *Document) removeValueProblems(key string) {
	delete(d.keysWithProblem, key)
	kept := d.problems[:0]
	for _, problem := range d.problems {
		if problem.Key != key || strings.Contains(problem.Text, "given twice") {
			kept = append(kept, problem)
		}
	}
	d.problems = kept
}

// Scalar is one scalar value of a struct.
type Scalar struct {
	// Key is the dotted path of the value.
	Key   string
	Value any
}

// Scalars returns all scalar values of the struct and its nested structs, in the
// order of the fields. Lists and optional groups are not included.
func Scalars(of any) []Scalar {
	return scalars("", reflect.ValueOf(of))
}

func scalars(prefix string, value reflect.Value) []Scalar {
	var found []Scalar
	for i := range value.NumField() {
		field := value.Field(i)
		key := join(prefix, tagOf(value.Type().Field(i)))
		switch {
		case isScalar(field.Type()):
			found = append(found, Scalar{Key: key, Value: field.Interface()})
		case field.Kind() == reflect.Struct:
			found = append(found, scalars(key, field)...)
		}
	}
	return found
}
