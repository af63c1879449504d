package acceptance

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"jasminegate/internal/state"
)

func service(name string, slots int) state.Service {
	return state.Service{Name: name, Slots: slots, Connections: 120, QueueLength: 12, QueueTimeout: state.Duration(time.Second)}
}

func route(name, service string) state.Route {
	return state.Route{
		Name: name, PathPrefix: "/" + name, Service: service, Class: state.ClassInteractive,
		Timeout: state.Duration(time.Second), MaxAttempts: 1,
	}
}

func encoded(t testing.TB, ticket state.Ticket) []byte {
	t.Helper()
	data, err := ticket.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// first returns a valid ticket with number 5, which the tests apply at offset 0.
func first() state.Ticket {
	return state.Ticket{
		Number:   5,
		Author:   "a",
		Services: []state.Service{service("order-desk", 6)},
		Routes:   []state.Route{route("orders", "order-desk")},
	}
}

// TestFoldDecidesEachRecordAtomically checks the verdict of each kind of record, and
// that a rejected ticket changes nothing, also when a part of it is valid.
func TestFoldDecidesEachRecordAtomically(t *testing.T) {
	other := first()
	other.Author = "b"
	cases := map[string]struct {
		ticket  state.Ticket
		data    []byte
		outcome Outcome
		reason  string
		number  uint64
	}{
		"newer":                {ticket: state.Ticket{Number: 9, Services: []state.Service{service("stock-book", 6)}}, outcome: Accepted, number: 9},
		"repeated":             {ticket: first(), outcome: Repeated, number: 5},
		"conflicting":          {ticket: other, outcome: Conflicting, reason: "number above 5", number: 5},
		"stale":                {ticket: state.Ticket{Number: 4, RemoveRoutes: []string{"orders"}}, outcome: Stale, reason: "higher number", number: 4},
		"dangling route":       {ticket: state.Ticket{Number: 6, Routes: []state.Route{route("riders", "rider-view")}}, outcome: Dangling, reason: "add the service", number: 6},
		"dangling by removal":  {ticket: state.Ticket{Number: 6, RemoveServices: []string{"order-desk"}}, outcome: Dangling, reason: "remove the route", number: 6},
		"partly valid":         {ticket: state.Ticket{Number: 6, Services: []state.Service{service("order-desk", 9), service("bad", 0)}}, outcome: Invalid, reason: "slots", number: 6},
		"no number":            {ticket: state.Ticket{RemoveRoutes: []string{"orders"}}, outcome: Invalid, reason: "number is missing"},
		"changes nothing":      {ticket: state.Ticket{Number: 6}, outcome: Invalid, reason: "changes nothing", number: 6},
		"not a ticket":         {data: []byte("\xff\xfe not a ticket"), outcome: Undecodable, reason: "not a ticket"},
		"unknown key":          {data: []byte(`{"number":6,"sevices":[]}`), outcome: Undecodable, reason: "sevices", number: 6},
		"unknown key, long":    {data: []byte(`{"number":6,"` + strings.Repeat("é", 1000) + `":1}`), outcome: Undecodable, reason: "unknown", number: 6},
		"truncated":            {data: []byte(`{"number":6,"remove_routes":["ord`), outcome: Undecodable, reason: "unexpected EOF"},
		"two tickets":          {data: []byte(`{"number":6,"remove_routes":["orders"]} {}`), outcome: Undecodable, reason: "one ticket a record"},
		"empty":                {data: []byte{}, outcome: Undecodable, reason: "not a ticket"},
		"oversized bytes":      {data: bytes.Repeat([]byte(" "), state.MaxTicketBytes+1), outcome: Oversized, reason: "split it"},
		"oversized ticket":     {ticket: state.Ticket{Number: 6, Services: services(state.MaxTicketBytes / 60)}, outcome: Oversized, reason: "split it"},
		"replaces and removes": {ticket: state.Ticket{Number: 6, RemoveServices: []string{"order-desk"}, RemoveRoutes: []string{"orders"}}, outcome: Accepted, number: 6},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fold := New()
			_, decided, err := fold.Apply(0, encoded(t, first()))
			is.NoErr(err)
			is.True(decided)
			before := fold.Version()
			data := tc.data
			if data == nil {
				data = encoded(t, tc.ticket)
			}
			result, decided, err := fold.Apply(1, data)
			is.NoErr(err)
			is.True(decided)
			is.Equal(result.Verdict.Outcome, tc.outcome)
			is.Equal(result.Verdict.Number, tc.number)
			is.Equal(result.Verdict.Position, uint64(2))
			is.True(strings.Contains(result.Verdict.Reason, tc.reason)) // the reason names the remedy
			is.True(len(result.Verdict.Reason) <= MaxReasonBytes)
			is.True(utf8.ValidString(result.Verdict.Reason))
			is.Equal(fold.Version() != before, tc.outcome == Accepted) // a rejected ticket changes nothing
			is.Equal(fold.NextOffset(), int64(2))
		})
	}
}

func services(count int) []state.Service {
	var all []state.Service
	for i := range count {
		all = append(all, service(fmt.Sprint("s", i), 6))
	}
	return all
}

// TestFoldLimitsResources checks that the configuration stays within
// state.MaxResources even though each single ticket is small enough.
func TestFoldLimitsResources(t *testing.T) {
	is := is.New(t)
	fold := New()
	const perTicket = 1000
	outcome := Accepted
	for i := 0; outcome == Accepted; i++ {
		ticket := state.Ticket{Number: uint64(i) + 1}
		for j := range perTicket {
			ticket.Services = append(ticket.Services, service(fmt.Sprintf("s%d-%d", i, j), 6))
		}
		result, _, err := fold.Apply(int64(i), encoded(t, ticket))
		is.NoErr(err)
		outcome = result.Verdict.Outcome
	}
	is.Equal(outcome, Oversized)
	is.Equal(len(fold.Snapshot().Services()), state.MaxResources)
}

func TestFoldAppliesRecordsOnceAndInOrder(t *testing.T) {
	is := is.New(t)
	fold := New()
	_, _, err := fold.Apply(1, encoded(t, first()))
	is.True(errorx.IsOfType(err, ErrGap)) // record 0 is missing
	is.Equal(fold.NextOffset(), int64(0))
	_, decided, err := fold.Apply(0, encoded(t, first()))
	is.NoErr(err)
	is.True(decided)
	_, decided, err = fold.Apply(0, encoded(t, state.Ticket{Number: 9, RemoveRoutes: []string{"orders"}}))
	is.NoErr(err)
	is.True(!decided) // record 0 was applied before
	is.Equal(len(fold.Verdicts()), 1)
}

// TestApplyUpdateRejectsInvalidUpdates checks that a damaged, inconsistent or outdated
// update changes nothing.
func TestApplyUpdateRejectsInvalidUpdates(t *testing.T) {
	source := New()
	for i := range 3 {
		ticket := state.Ticket{Number: uint64(i) + 1, Services: []state.Service{service("stock-book", i+1)}}
		if _, _, err := source.Apply(int64(i), encoded(t, ticket)); err != nil {
			t.Fatal(err)
		}
	}
	whole := source.FullUpdate()
	cases := map[string]struct {
		change func(*Update)
		fails  *errorx.Type
	}{
		"full":               {change: func(*Update) {}},
		"outdated":           {change: func(u *Update) { u.NextOffset = 0 }, fails: ErrOutdated},
		"negative offset":    {change: func(u *Update) { u.NextOffset = -1 }, fails: ErrOutdated},
		"tickets missing":    {change: func(u *Update) { u.From.Position, u.Verdicts = 2, u.Verdicts[2:] }, fails: ErrGap},
		"resource missing":   {change: func(u *Update) { u.Resources = nil }, fails: state.ErrDigestMismatch},
		"resource changed":   {change: func(u *Update) { u.Resources[0].Data = bytes.Replace(u.Resources[0].Data, []byte("3"), []byte("4"), 1) }, fails: state.ErrDigestMismatch},
		"resource truncated": {change: func(u *Update) { u.Resources[0].Data = u.Resources[0].Data[:9] }, fails: state.ErrUndecodable},
		"resource misnamed":  {change: func(u *Update) { u.Resources[0].Name = "order-desk" }, fails: state.ErrUndecodable},
		"unknown kind":       {change: func(u *Update) { u.Resources[0].Kind = 9 }, fails: state.ErrUndecodable},
		"position too high":  {change: func(u *Update) { u.To.Position = 9 }, fails: ErrMalformed},
		"verdicts unordered": {change: func(u *Update) { u.Verdicts[0], u.Verdicts[1] = u.Verdicts[1], u.Verdicts[0] }, fails: ErrMalformed},
		"verdict too high":   {change: func(u *Update) { u.Verdicts[2].Position = 9 }, fails: ErrMalformed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			update := whole
			update.Resources = append([]state.Resource(nil), whole.Resources...)
			update.Verdicts = append([]Verdict(nil), whole.Verdicts...)
			tc.change(&update)
			fold := New()
			err := fold.ApplyUpdate(update)
			if tc.fails == nil {
				is.NoErr(err)
				is.Equal(fold.Version(), source.Version())
				return
			}
			is.True(errorx.IsOfType(err, tc.fails)) // the type of the error
			is.Equal(fold.NextOffset(), int64(0))
			is.Equal(fold.Version(), New().Version()) // nothing changed
		})
	}
}
