package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/state"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// driver runs requests through a machine whose endpoints are past their slow start
// and have their full weight.
type driver struct {
	machine *Machine
	now     time.Time
	handle  uint64
}

func endpoints(domain string, from, n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("%s-%d", domain, from+i), Incarnation: 1, Service: "depot", Domain: domain, Slots: 10})
	}
	return list
}

func newDriver(list []Endpoint) *driver {
	d := &driver{machine: New(Options{Node: "n", Incarnation: 1, Domain: "near", RetryRatio: 0.1, SpillLoad: 1, Seed: 1}), now: start}
	d.machine.Step(d.now, SetEndpoints{list})
	d.now = d.now.Add(slowStartWindow)
	return d
}

// begin starts a request and returns its first action.
func (d *driver) begin(idempotent bool) Action {
	d.handle++
	return d.machine.Step(d.now, Begin{Handle: d.handle, Service: "depot", Idempotent: idempotent, Deadline: d.now.Add(time.Minute), MaxAttempts: 3})[0]
}

// distribute sends n requests, responds to each with the load of its endpoint and
// returns the number of requests by endpoint.
func (d *driver) distribute(n int, load func(id string) int) map[string]int {
	count := make(map[string]int)
	for range n {
		send := d.begin(true).(Send)
		count[send.Endpoint.ID]++
		d.machine.Step(d.now, ResponseReceived{Handle: d.handle, Load: load(send.Endpoint.ID)})
		d.machine.Step(d.now, End{Handle: d.handle})
		d.now = d.now.Add(time.Millisecond)
	}
	return count
}

func idle(string) int { return 0 }

func TestPicksByLoadAndDomain(t *testing.T) {
	all := append(endpoints("near", 0, 3), endpoints("far", 0, 3)...)
	table := []struct {
		name  string
		load  func(id string) int
		check func(is *is.I, count map[string]int)
	}{
		{"local domain first", idle, func(is *is.I, count map[string]int) {
			is.Equal(count["far-0"]+count["far-1"]+count["far-2"], 0)
			is.True(count["near-0"] > 200)
		}},
		{"less loaded endpoint", func(id string) int {
			if id == "near-0" {
				return 8
			}
			return 0
		}, func(is *is.I, count map[string]int) { is.True(count["near-0"]*10 < count["near-1"]) }},
		{"other domain when full", func(id string) int {
			if id[0] == 'n' {
				return 20
			}
			return 1
		}, func(is *is.I, count map[string]int) {
			is.True(count["far-0"]+count["far-1"]+count["far-2"] > 900)
		}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			row.check(is.New(t), newDriver(all).distribute(1000, row.load))
		})
	}
}

func TestNewEndpointSlowStart(t *testing.T) {
	is := is.New(t)
	d := newDriver(endpoints("near", 0, 3))
	d.machine.Step(d.now, SetEndpoints{endpoints("near", 0, 4)})
	early := d.concurrent(60)
	d.now = d.now.Add(slowStartWindow)
	late := d.concurrent(60)
	is.True(early["near-3"]*3 <= late["near-3"]) // the new endpoint got its full share immediately
	is.True(late["near-3"] >= 10)
}

// concurrent begins n requests before it ends any, and returns their number by
// endpoint.
func (d *driver) concurrent(n int) map[string]int {
	count := make(map[string]int)
	first := d.handle + 1
	for range n {
		count[d.begin(true).(Send).Endpoint.ID]++
	}
	for handle := first; handle <= d.handle; handle++ {
		d.machine.Step(d.now, End{Handle: handle})
	}
	return count
}

func TestEjection(t *testing.T) {
	is := is.New(t)
	d := newDriver(endpoints("near", 0, 4))
	down := map[string]bool{"near-0": true, "near-1": true, "near-2": true}
	attempts := 0
	for range 200 {
		action := d.begin(false)
		for {
			send, ok := action.(Send)
			is.True(ok) // an unreachable gate failed the request
			if !down[send.Endpoint.ID] {
				d.machine.Step(d.now, ResponseReceived{Handle: d.handle})
				break
			}
			attempts++
			action = d.machine.Step(d.now, NotSent{Handle: d.handle})[0]
		}
		d.machine.Step(d.now, End{Handle: d.handle})
	}
	ejected := 0
	for _, e := range d.machine.endpoints {
		if d.now.Before(e.ejectedUntil) {
			ejected++
		}
	}
	is.Equal(ejected, 2) // maxEjectedShare: two of four endpoints
	d.now = d.now.Add(maxEjectionTime)
	clear(down)
	d.now = d.now.Add(slowStartWindow)
	count := d.distribute(400, idle)
	is.True(count["near-0"] > 50) // too few calls after recovery
}

// TestLostPooledConnectionDoesNotEject guards against the ejection of a healthy
// gate whose pooled connection went silent: only the loss of a new connection
// ejects.
func TestLostPooledConnectionDoesNotEject(t *testing.T) {
	is := is.New(t)
	d := newDriver(endpoints("near", 0, 4))
	first := d.begin(false).(Send)
	is.Equal(first.NewConnection, false)
	resolve := d.machine.Step(d.now, ConnectionLost{Handle: d.handle})[0].(Resolve)
	is.Equal(resolve.ID, first.ID)
	peer := d.machine.endpoints[first.Endpoint.ID]
	is.True(peer.usable(d.now))     // ejected after the loss of a pooled connection
	is.True(peer.suspectConnection) // the next attempt would use a pooled connection
	d.machine.Step(d.now, ConnectionLost{Handle: d.handle})
	is.True(!peer.usable(d.now)) // not ejected although a new connection was lost
}

func TestActionAfterFailedAttempt(t *testing.T) {
	table := []struct {
		name       string
		idempotent bool
		event      func(handle uint64) Event
		want       string
	}{
		{"leaving", false, func(h uint64) Event {
			return Refused{Handle: h, Outcome: call.NotRun, Reason: call.ReasonLeaving}
		}, "entry.Send"},
		{"not sent", false, func(h uint64) Event { return NotSent{Handle: h} }, "entry.Send"},
		{"overload", false, func(h uint64) Event {
			return Refused{Handle: h, Outcome: call.NotRun, Reason: call.ReasonQueueFull}
		}, "entry.Wait"},
		{"lost, not idempotent", false, func(h uint64) Event { return ConnectionLost{Handle: h} }, "entry.Resolve"},
		{"lost, idempotent", true, func(h uint64) Event { return ConnectionLost{Handle: h} }, "entry.Wait"},
		{"lost, idempotent, no attempt left", true, func(h uint64) Event { return ConnectionLost{Handle: h} }, "entry.Resolve"},
		{"lost, body consumed", true, func(h uint64) Event { return ConnectionLost{Handle: h, BodyConsumed: true} }, "entry.Fail"},
		{"unknown, not idempotent", false, func(h uint64) Event {
			return Refused{Handle: h, Outcome: call.Unknown, Reason: call.ReasonTargetConnectionLost}
		}, "entry.Fail"},
		{"ran, not idempotent", false, func(h uint64) Event {
			return Refused{Handle: h, Outcome: call.Ran, Reason: call.ReasonConnectionLost}
		}, "entry.Fail"},
		{"deadline, idempotent", true, func(h uint64) Event {
			return Refused{Handle: h, Outcome: call.Unknown, Reason: call.ReasonDeadline}
		}, "entry.Fail"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(endpoints("near", 0, 3))
			d.begin(row.idempotent)
			if strings.HasSuffix(row.name, "no attempt left") {
				d.machine.requests[d.handle].MaxAttempts = 1
			}
			got := d.machine.Step(d.now, row.event(d.handle))[0]
			is.Equal(fmt.Sprintf("%T", got), row.want)
		})
	}
}

// TestKeyedCallWaitsForNewPrimary refuses a keyed call at its draining primary and
// then removes that primary. After each delay the call must be sent to the current
// primary and to no other gate. It fails if an overloaded primary refuses it.
func TestKeyedCallWaitsForNewPrimary(t *testing.T) {
	is := is.New(t)
	list := endpoints("near", 0, 3)
	d := newDriver(list)
	begin := Begin{Handle: 1, Service: "depot", Deadline: d.now.Add(time.Minute), MaxAttempts: 3, Key: "k"}
	primary := d.machine.Step(d.now, begin)[0].(Send).Endpoint.ID
	_, waits := d.machine.Step(d.now, Refused{Handle: 1, Outcome: call.NotRun, Reason: call.ReasonLeaving})[0].(Wait)
	is.True(waits)
	is.Equal(d.machine.Step(d.now, Resume{Handle: 1})[0].(Send).Endpoint.ID, primary)
	_, waits = d.machine.Step(d.now, NotSent{Handle: 1})[0].(Wait)
	is.True(waits)
	d.machine.Step(d.now, SetEndpoints{slices.DeleteFunc(list, func(e Endpoint) bool { return e.ID == primary })})
	is.True(d.machine.Step(d.now, Resume{Handle: 1})[0].(Send).Endpoint.ID != primary)
	_, failed := d.machine.Step(d.now, Refused{Handle: 1, Outcome: call.NotRun, Reason: call.ReasonQueueFull})[0].(Fail)
	is.True(failed) // the call must not wait: an overloaded primary stays the primary
}

func TestDrainingEndpointGetsNoCalls(t *testing.T) {
	is := is.New(t)
	d := newDriver(endpoints("near", 0, 3))
	draining := d.begin(true).(Send).Endpoint.ID
	d.machine.Step(d.now, Refused{Handle: d.handle, Outcome: call.NotRun, Reason: call.ReasonLeaving})
	is.Equal(d.distribute(500, idle)[draining], 0)
}

// TestEndpointThatRefusesLongCallGetsNoOthers: a gate that is about to stop refuses a call that may outlast it. The
// call goes to another one at once, without a token of the retry budget, and other calls still go to the first.
func TestEndpointThatRefusesLongCallGetsNoOthers(t *testing.T) {
	is := is.New(t)
	d := newDriver(endpoints("near", 0, 3))
	stopping := d.begin(false).(Send).Endpoint.ID
	again, sent := d.machine.Step(d.now, Refused{Handle: d.handle, Outcome: call.NotRun, Reason: call.ReasonOutlastsGate})[0].(Send)
	is.True(sent)
	is.True(again.Endpoint.ID != stopping)
	is.Equal(d.machine.chargedRetries, uint64(0))
	is.True(d.distribute(500, idle)[stopping] > 0)
}

// TestRetriesStayWithinBudget refuses every attempt of every request, as in an
// outage, and checks that the number of attempts stays within the retry budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	d := newDriver(endpoints("near", 0, 6))
	const requests = 10_000
	sends := 0
	for range requests {
		action := d.begin(true)
		for {
			if _, failed := action.(Fail); failed {
				break
			}
			if _, ok := action.(Send); ok {
				sends++
				action = d.machine.Step(d.now, Refused{Handle: d.handle, Outcome: call.NotRun, Reason: call.ReasonQueueFull})[0]
				continue
			}
			action = d.machine.Step(d.now, Resume{Handle: d.handle})[0]
		}
		d.machine.Step(d.now, End{Handle: d.handle})
	}
	is.True(sends <= requests+requests/10+maxRetryTokens)
}

func TestRoutesMatchWholeSegments(t *testing.T) {
	is := is.New(t)
	routes := []state.Route{
		{Name: "any", PathPrefix: "/"},
		{Name: "sheets", PathPrefix: "/sheets"},
		{Name: "file", PathPrefix: "/sheets", Methods: []string{"POST"}},
		{Name: "deep", PathPrefix: "/sheets/old/"},
		{Name: "host", Host: "depot.example", PathPrefix: "/sheets"},
	}
	ticket := state.Ticket{Number: 1, Services: []state.Service{{Name: "s"}}}
	for _, route := range routes {
		route.Service = "s"
		ticket.Routes = append(ticket.Routes, route)
	}
	changes, err := ticket.Changes()
	is.NoErr(err)
	snapshot, err := state.Empty().With(1, changes)
	is.NoErr(err)
	index := NewRoutes(snapshot)
	table := []struct{ host, path, method, want string }{
		{"", "/", "GET", "any"},
		{"", "/sheetsandmore", "GET", "any"},
		{"", "/sheets", "GET", "sheets"},
		{"", "/sheets/1", "POST", "file"},
		{"", "/sheets/old/7", "POST", "deep"},
		{"", "/sheets/older", "GET", "sheets"},
		{"", "/sheets/old", "GET", "sheets"}, // the prefix ends with a slash
		{"", "/sheets/old/", "GET", "deep"},
		{"", "/sheets/old//../7", "GET", "deep"},
		{"", "//sheets/old/7", "GET", "any"},
		{"Depot.example:8080", "/sheets/1", "POST", "host"},
		{"depot.example", "/other", "GET", "any"},
		{"[::1]:80", "/sheets", "GET", "sheets"},
	}
	for _, row := range table {
		route, ok := index.Match(row.host, row.path, row.method)
		is.True(ok)
		is.Equal(route.Name, row.want) // matched route
	}
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{3, 12, 120, 1500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			d := newDriver(append(endpoints("near", 0, (n+2)/3), endpoints("far", 0, n-(n+2)/3)...))
			b.ReportAllocs()
			for b.Loop() {
				d.begin(true)
				d.machine.Step(d.now, ResponseReceived{Handle: d.handle, Load: 3})
				d.machine.Step(d.now, End{Handle: d.handle})
			}
		})
	}
}

// TestResolvingCallIsSaidNotToHaveRun shuts the node down while a call waits for its
// next Resolve: its lost attempt may have run, so that it must not be reported as not
// run.
func TestResolvingCallIsSaidNotToHaveRun(t *testing.T) {
	is := is.New(t)
	d := newDriver(endpoints("near", 0, 1))
	_ = d.begin(false).(Send)
	_ = d.machine.Step(d.now, ConnectionLost{Handle: d.handle})[0].(Resolve)
	_ = d.machine.Step(d.now, NotSent{Handle: d.handle})[0].(Wait)
	fail := d.machine.Step(d.now, GiveUp{Handle: d.handle, Reason: call.ReasonLeaving})[0].(Fail)
	is.Equal(fail.Outcome, call.Unknown)
}
