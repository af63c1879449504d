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

const explainHelp = `Shows the log lines of all nodes about one failed request, given by its ID, and
about its nested calls, ordered by time. Nodes log failed requests only. Also shows
the state that the nodes involved knew around that time. Without files, or for -, it
reads standard input. Lines that are not events are skipped. Times are of each node's
own clock.

EXAMPLES
  jasminegate explain 9c41d07be2a35f68 node-*.log
  zcat logs/*.gz | jasminegate explain -o json 9c41d07be2a35f68`

// explainWindow is the default time before and after a request's lines of which
// other lines are shown. It is longer than the default intervals and timeouts after
// which a node detects the loss of another.
const explainWindow = 5 * time.Second

func explainCommand(streams Streams) *ffcli.Command {
	flags := newFlags("jasminegate explain", streams)
	format := outputFlag(flags)
	window := flags.Duration("window", explainWindow, "show the nodes' state this `DURATION` before and after the request's lines")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "jasminegate explain ID [FILE ...] [flags]",
		ShortHelp:  "Show the events of a request from the nodes' logs.",
		LongHelp:   explainHelp,
		FlagSet:    flags,
		Options:    fromEnv(),
		Exec: func(_ context.Context, args []string) error {
			args, err := positionalArguments(flags, args)
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return ErrUsage.New("no request ID given: name it as the first argument, see %s -h", flags.Name())
			}
			collector := explain.New(args[0], *window)
			if err := readLogs(collector, args[1:], streams.In); err != nil {
				return err
			}
			report := collector.Report()
			if len(report.RequestLines) == 0 {
				return ErrNotFound.New("no log line has the request ID %q: give the logs of all nodes; nodes log failed requests only, and each node leaves out lines above 20 per second after a burst of 100", args[0])
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
		fmt.Fprint(out, "\nstate that the nodes involved knew around that time\n\n")
		printLines(out, report.ContextLines)
	}
	if report.DroppedLines > 0 {
		fmt.Fprintf(out, "\nthe nodes left out %d log lines about failed requests just before these lines, because they limit the rate of such lines\n", report.DroppedLines)
	}
	if report.SkippedLines > 0 {
		fmt.Fprintf(out, "\n%d lines are not events and were skipped\n", report.SkippedLines)
	}
}

func printLines(out io.Writer, lines []explain.Line) {
	rows := newTable(out, "TIME", "NODE", "EVENT", "WHAT", "WITH")
	for _, line := range lines {
		rows.row(line.Time.Format("15:04:05.000"), orDash(line.Node), fmt.Sprint(line.Event), line.Message, orDash(formatFields(line)))
	}
	rows.flush()
}

func formatFields(line explain.Line) string {
	var fields []string
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		if name == "left_out" { // Report.DroppedLines has the sum
			continue
		}
		fields = append(fields, fmt.Sprintf("%s=%v", name, line.Fields[name]))
	}
	return strings.Join(fields, " ")
}
