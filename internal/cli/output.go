package cli

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// outputFlag defines the flag -o, which selects the output format.
func outputFlag(flags *flag.FlagSet) *string {
	format := formatTable
	flags.Func("o", "output `FORMAT`: table or json (default table)", func(value string) error {
		if value != formatTable && value != formatJSON {
			return fmt.Errorf("use %s or %s", formatTable, formatJSON)
		}
		format = value
		return nil
	})
	return &format
}

// write writes the value as JSON, or calls table to write it as a table.
func write(out io.Writer, format string, value any, table func(io.Writer)) error {
	if format != formatJSON {
		table(out)
		return nil
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table writes rows in aligned columns.
type table struct {
	writer *tabwriter.Writer
}

func newTable(out io.Writer, headings ...string) *table {
	t := &table{writer: tabwriter.NewWriter(out, 0, 2, 2, ' ', 0)}
	if len(headings) > 0 {
		t.row(headings...)
	}
	return t
}

func (t *table) row(cells ...string) {
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

func (t *table) flush() {
	_ = t.writer.Flush()
}

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func formatAge(milliseconds int64) string {
	return (time.Duration(milliseconds) * time.Millisecond).String()
}
