package ticketfile

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"jasminegate/internal/state"
	"jasminegate/internal/strictyaml"
)

const validTicket = `number: 7
author: casa operations
services:
  - name: stock-book
    slots: 6
    connections: 120
    queue_length: 12
    queue_timeout: 300ms
routes:
  - name: stock
    path_prefix: /stock
    methods: [GET]
    service: stock-book
    class: interactive
    timeout: 1s
    idempotent: true
    max_attempts: 3
remove_routes: [stock-history]
`

func TestParse(t *testing.T) {
	is := is.New(t)
	ticket, err := Parse("t.yaml", []byte(validTicket))
	is.NoErr(err)
	is.Equal(ticket, state.Ticket{
		Number: 7,
		Author: "casa operations",
		Services: []state.Service{{
			Name: "stock-book", Slots: 6, Connections: 120, QueueLength: 12, QueueTimeout: state.Duration(300 * time.Millisecond),
		}},
		Routes: []state.Route{{
			Name: "stock", PathPrefix: "/stock", Methods: []string{"GET"}, Service: "stock-book", Class: state.ClassInteractive,
			Timeout: state.Duration(time.Second), Idempotent: true, MaxAttempts: 3,
		}},
		RemoveRoutes: []string{"stock-history"},
	})
}

func TestParseReportsEachProblem(t *testing.T) {
	cases := map[string]struct {
		old, new string
		want     []string
	}{
		"unknown key":        {"slots: 6", "slot: 6", []string{"4: services[0].slots: is 0: use 1 to", "5: services[0].slot: unknown key"}},
		"repeated key":       {"slots: 6", "slots: 6\n    slots: 7", []string{"6: services[0].slots: key is given twice, first on line 5"}},
		"missing unit":       {"300ms", "300", []string{`8: services[0].queue_timeout: "300" has no unit`}},
		"wrong unit":         {"300ms", "300msec", []string{`8: services[0].queue_timeout: "msec" is not a known unit`}},
		"two problems":       {"slots: 6\n    connections: 120", "slots: 0\n    connections: -1", []string{"5: services[0].slots: is 0", "6: services[0].connections: is -1"}},
		"name for a list":    {"[stock-history]", "stock-history", []string{"18: remove_routes: is not a list"}},
		"given and removed":  {"[stock-history]", "[stock]", []string{`18: remove_routes[0]: gives "stock" again, first given at routes[0]`}},
		"unknown class":      {"interactive", "urgent", []string{`14: routes[0].class: is "urgent": use interactive or background`}},
		"negative number":    {"number: 7", "number: -7", []string{`1: number: "-7" is not a valid value`}},
		"no number":          {"number: 7\n", "", []string{"1: number: is missing"}},
		"no changes":         {validTicket, "number: 1", []string{"1: changes nothing"}},
		"item not a group":   {validTicket, "number: 1\nservices: [x]", []string{"2: services[0]: is not a group of keys"}},
		"too large":          {validTicket, "number: 1\nremove_routes:\n" + longList(), []string{"ticket has"}},
		"limits not a group": {validTicket, "number: 1\ncaller_limits: 5", []string{"2: caller_limits: is not a group of keys"}},
		"limit too high":     {validTicket, "number: 1\ncaller_limits: {header_bytes: 2MiB}", []string{"2: caller_limits.header_bytes: is 2097152 bytes: use 0B to 1024KiB"}},
		"not YAML":           {validTicket, "\x00\x01", []string{"not YAML"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("t.yaml", []byte(strings.Replace(validTicket, tc.old, tc.new, 1)))
			problems, ok := err.(*strictyaml.Problems)
			is.True(ok)
			t.Log(problems)
			is.Equal(len(problems.List), len(tc.want))
			for i, want := range tc.want {
				got := strings.TrimPrefix(strings.TrimPrefix(problems.List[i].String(), "t.yaml"), ":")
				is.True(strings.HasPrefix(strings.TrimSpace(got), want))
			}
		})
	}
}

// longList returns a list of names that is longer than state.MaxTicketBytes.
func longList() string {
	var b strings.Builder
	for i := range state.MaxTicketBytes / 100 {
		fmt.Fprintf(&b, "  - n%0100d\n", i)
	}
	return b.String()
}

func TestLoadUnreadable(t *testing.T) {
	is := is.New(t)
	_, err := Load(filepath.Join(t.TempDir(), "none.yaml"))
	is.True(errorx.IsOfType(err, ErrUnreadable))
}

// FuzzParse checks that state.DecodeTicket, which nodes use for records of the
// log, accepts every ticket that Parse accepts.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{validTicket, "", "number: 1", "number: 1\nremove_routes: [a]", "number: 0x1\nremove_routes: [a]", "a: &a [*a]", "\xff", "- number: 1", "number: 1\nauthor: \"\\0\"\nremove_routes: [a]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := Parse("fuzz.yaml", data)
		if err != nil {
			if _, ok := err.(*strictyaml.Problems); !ok {
				t.Fatalf("not a list of problems: %v", err)
			}
			return
		}
		encoded, err := ticket.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := state.DecodeTicket(encoded); err != nil {
			t.Fatalf("DecodeTicket rejects a ticket that Parse accepted: %v", err)
		}
	})
}
