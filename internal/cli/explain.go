package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jasminegate/internal/explain"
)

const explainHelp = `Shows what the nodes' logs tell of one request, by its id: the lines about it
and about the calls that it made, over all nodes by time, and what the nodes on its
way believed around that time. Without files, or for -, it reads standard input.
Lines that are no events are passed over. Times are of each node's own clock.

EXAMPLES
  jasminegate explain 9c41d07be2a35f68 node-*.log
  zcat logs/*.gz | jasminegate explain -o json 9c41d07be2a35f68`

// explainWindow is how long before and after a request's lines others are shown,
// unless told otherwise: longer than the heartbeats and timeouts of the defaults.
const explainWindow = 5 * time.Second

func explainCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate explain", streams)
	format := outputFlag(flags)
	window := flags.Duration("window", explainWindow, "show what nodes believed this `LONG` before and after")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "jasminegate explain ID [FILE ...] [flags]",
		ShortHelp:  "Show what the logs tell of a request.",
		LongHelp:   explainHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(_ context.Context, args []string) error {
			args, err := positional(flags, args)
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return ErrUsage.New("the request's id is missing: see %s -h", flags.Name())
			}
			collector := explain.New(args[0], *window)
			if err := readLogs(collector, args[1:], streams.In); err != nil {
				return err
			}
			report := collector.Report()
			if len(report.RequestLines) == 0 {
				return ErrNotFound.New("no line bears the request %q: give the logs of all nodes; at most 20 lines a second and node are written of failed requests, and none of answered ones", args[0])
			}
			return write(streams.Out, *format, report, func(out io.Writer) { printReport(out, report) })
		},
	}
}

func readLogs(collector *explain.Collector, files []string, in io.Reader) error {
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, file := range files {
		if err := readLog(collector, file, in); err != nil {
			return ErrUsage.New("log %s: %v: give the path of a readable file, or - for standard input", file, err)
		}
	}
	return nil
}

func readLog(collector *explain.Collector, file string, standard io.Reader) (err error) {
	if file == "-" {
		return collector.Read(standard)
	}
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, in.Close()) }()
	return collector.Read(in)
}

func printReport(out io.Writer, report explain.Report) {
	fmt.Fprintf(out, "request %s\n\n", report.Request)
	printLines(out, report.RequestLines)
	if len(report.ContextLines) > 0 {
		fmt.Fprint(out, "\nwhat its nodes believed\n\n")
		printLines(out, report.ContextLines)
	}
	if report.DroppedLines > 0 {
		fmt.Fprintf(out, "\n%d lines about other requests were left out by the nodes just before\n", report.DroppedLines)
	}
	if report.SkippedLines > 0 {
		fmt.Fprintf(out, "\n%d lines were no events and were passed over\n", report.SkippedLines)
	}
}

func printLines(out io.Writer, lines []explain.Line) {
	rows := newTable(out, "TIME", "NODE", "EVENT", "WHAT", "WITH")
	for _, line := range lines {
		rows.row(line.Time.Format("15:04:05.000"), orDash(line.Node), fmt.Sprint(line.Event), line.Message, orDash(fieldsOf(line)))
	}
	rows.flush()
}

func fieldsOf(line explain.Line) string {
	var fields []string
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		if name == "left_out" {
			continue
		}
		fields = append(fields, fmt.Sprintf("%s=%v", name, line.Fields[name]))
	}
	return strings.Join(fields, " ")
}
