package strictyaml

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// sizeSuffix is the suffix of keys whose values are sizes with a unit.
const sizeSuffix = "_bytes"

var durationType = reflect.TypeFor[time.Duration]()

// valueProblem is a problem with a scalar value, without its key.
type valueProblem struct {
	text   string
	remedy string
}

// isScalar reports whether a value of the type is written as a YAML scalar.
func isScalar(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.String, reflect.Bool, reflect.Int, reflect.Int64, reflect.Uint64, reflect.Float64:
		return true
	}
	return false
}

// isDuration reports whether the type is a duration: time.Duration or another
// package's type named Duration, which marshals as text.
func isDuration(t reflect.Type) bool {
	return t == durationType || t.Name() == "Duration"
}

func exampleOf(key string, t reflect.Type) string {
	switch {
	case isDuration(t):
		return "a duration with its unit, such as 500ms or 2s"
	case isSize(key):
		return "a size with its unit, such as 256KiB or 16MiB"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "a number, such as 0.1"
	case t.Kind() == reflect.String:
		return "text"
	}
	return "a whole number, such as 8"
}

func isSize(key string) bool { return strings.HasSuffix(key, sizeSuffix) }

// setScalar parses text and stores the result in value.
func setScalar(key, text string, value reflect.Value) *valueProblem {
	switch {
	case isDuration(value.Type()):
		return setDuration(text, value)
	case isSize(key):
		return setSize(text, value)
	}
	invalid := &valueProblem{fmt.Sprintf("%q is not a valid value", text), "write " + exampleOf(key, value.Type())}
	switch value.Kind() {
	case reflect.String:
		value.SetString(text)
	case reflect.Bool:
		if text != "true" && text != "false" {
			return invalid
		}
		value.SetBool(text == "true")
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return invalid
		}
		value.SetFloat(number)
	case reflect.Uint64:
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return invalid
		}
		value.SetUint(number)
	default:
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return invalid
		}
		value.SetInt(number)
	}
	return nil
}

var numberAndUnit = regexp.MustCompile(`^([0-9.]+) *([^0-9. ]*)$`)

// knownUnits are the units of durations and of sizes.
var knownUnits = []string{"ns", "us", "µs", "ms", "s", "m", "h", "B", "KiB", "MiB", "GiB"}

// unitProblem returns the problem of a text that is not an accepted number with a
// unit: malformed, no unit, unknown unit, or number out of range. units lists the
// accepted units.
func unitProblem(text, units string) *valueProblem {
	match := numberAndUnit.FindStringSubmatch(text)
	switch {
	case match == nil:
		return &valueProblem{fmt.Sprintf("%q is not a number with a unit", text), "use one of the units " + units}
	case match[2] == "":
		return &valueProblem{fmt.Sprintf("%q has no unit", text), "add one of the units " + units}
	case slices.Contains(knownUnits, match[2]):
		return &valueProblem{fmt.Sprintf("%q is malformed or out of range", text), "write a smaller number, or the number directly before one of the units " + units}
	}
	return &valueProblem{fmt.Sprintf("%q is not a known unit", match[2]), "use one of the units " + units}
}

func setDuration(text string, value reflect.Value) *valueProblem {
	duration, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return unitProblem(text, "ms, s, m, h, such as 500ms")
	}
	value.SetInt(int64(duration))
	return nil
}

// sizeUnits are the accepted units and their sizes. B comes last, because the other
// units end with B too.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

func setSize(text string, value reflect.Value) *valueProblem {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		number, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || number > (1<<62)/unit.bytes {
			break
		}
		value.SetInt(number * unit.bytes)
		return nil
	}
	return unitProblem(text, "B, KiB, MiB, GiB (whole numbers only), such as 16MiB")
}

// FormatSize formats a number of bytes in the largest unit of which it is a whole
// multiple.
func FormatSize(bytes int64) string {
	for i := len(sizeUnits) - 2; i >= 0; i-- {
		if unit := sizeUnits[i]; bytes != 0 && bytes%unit.bytes == 0 {
			return fmt.Sprintf("%d%s", bytes/unit.bytes, unit.name)
		}
	}
	return fmt.Sprintf("%dB", bytes)
}
