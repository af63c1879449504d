// Command measure starts fleets of real processes on loopback and prints
// measurements as JSON lines, with those of a baseline in the same run where
// there is one. The load and the run time are bounded, and every process that
// it starts is stopped.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// section is one group of measurements.
type section struct {
	name string
	text string
	run  func(ctx context.Context, out *output) error
}

var sections = []section{
	{"latency", "latency that two nodes add to a call; CPU time and memory", measureLatency},
	{"convergence", "time from an acknowledged append until a node has applied the ticket, over all tickets and nodes", measureConvergence},
	{"bytes", "control traffic when idle, per ticket, per join and after a mass restart", measureBytes},
	{"overload", "goodput and latency by class at 0.5 to 4 times capacity", measureOverload},
	{"rolling", "call outcomes while every node and target is replaced", measureRolling},
	{"failover", "call outcomes when an instance fails or drains; retries in an outage", measureFailover},
	{"keyed", "latency of calls with and without an idempotency key", measureKeyed},
	{"scale", "idle cost against the number of nodes and of services", measureScale},
	{"tickets", "CPU time and control traffic against the ticket rate", measureTickets},
}

func main() {
	names := flag.String("sections", "", "comma-separated sections; empty runs all")
	layouts := flag.String("layouts", "", "comma-separated layouts for the sections convergence and bytes; empty runs all")
	timeout := flag.Duration("timeout", 20*time.Minute, "time limit for the whole run")
	flag.Usage = usage
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	selectLayouts(*layouts)
	if err := run(ctx, *names); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func usage() {
	fmt.Fprintln(os.Stderr, "measure [-sections a,b] [-layouts a,b] [-timeout 20m]")
	for _, section := range sections {
		fmt.Fprintf(os.Stderr, "  %-12s %s\n", section.name, section.text)
	}
}

func run(ctx context.Context, names string) error {
	selected := make(map[string]bool)
	for name := range strings.SplitSeq(names, ",") {
		selected[name] = name != ""
	}
	var failures []string
	for _, section := range sections {
		if names != "" && !selected[section.name] {
			continue
		}
		if err := section.run(ctx, &output{section: section.name}); err != nil {
			failures = append(failures, section.name+": "+err.Error())
		}
	}
	if len(failures) > 0 {
		return fmt.Errorf("%s", strings.Join(failures, "; "))
	}
	return nil
}

// output prints the JSON lines of one section.
type output struct {
	section string
}

// field is one key of a JSON line with its value.
type field struct {
	key   string
	value any
}

// line prints one JSON object: the section, then the fields in order. A value
// that cannot be encoded is printed as null.
func (o *output) line(fields ...field) {
	var text strings.Builder
	fmt.Fprintf(&text, `{"section":%q`, o.section)
	for _, f := range fields {
		value, err := json.Marshal(f.value)
		if err != nil {
			value = []byte("null")
		}
		fmt.Fprintf(&text, `,%q:%s`, f.key, value)
	}
	text.WriteString("}")
	fmt.Println(text.String())
}
