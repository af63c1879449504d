package leaving

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func process(instance string, age time.Duration) call.TargetProcess {
	return call.TargetProcess{Instance: instance, StartedMS: start.Add(-age).UnixMilli()}
}

func TestMayTake(t *testing.T) {
	old := process("i-1", time.Minute)
	newer := process("i-2", time.Second)
	unnamedStart := call.TargetProcess{Instance: "i-1"}
	ended := start.Add(-time.Second)
	for name, tc := range map[string]struct {
		previous *History
		report   call.TargetProcess
		after    time.Duration
		want     bool
	}{
		"no previous incarnation":             {&History{At: ended}, old, 0, true},
		"previous one was killed":             {nil, old, 0, false},
		"killed, process started since":       {nil, process("i-1", -time.Second), 2 * time.Second, true},
		"killed, report cannot be older":      {nil, old, maxReportDelay, true},
		"killed, report may be older":         {nil, old, maxReportDelay - time.Millisecond, false},
		"killed, target without ID":           {nil, call.TargetProcess{}, 0, true},
		"killed, target without start time":   {nil, call.TargetProcess{Instance: "i-1"}, 0, true},
		"process was ready":                   {&History{Newest: old, At: ended}, old, 0, true},
		"process left":                        {&History{Newest: old, Left: true, At: ended}, old, 0, false},
		"process left, newer one":             {&History{Newest: old, Left: true, At: ended}, newer, 0, true},
		"older than the one that was ready":   {&History{Newest: newer, At: ended}, old, 0, false},
		"left without start time":             {&History{Newest: unnamedStart, Left: true, At: ended}, old, 0, false},
		"left without start time, another ID": {&History{Newest: unnamedStart, Left: true, At: ended}, newer, 0, false},
		"left without start time, started since": {
			&History{Newest: unnamedStart, Left: true, At: ended}, process("i-1", time.Second/2), 0, true,
		},
		"history is too old":          {&History{Newest: old, At: start.Add(-time.Minute)}, old, 0, false},
		"history is from a set clock": {&History{Newest: old, At: start.Add(time.Minute)}, old, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := New(start, tc.previous)
			is.Equal(m.MayTake(start.Add(tc.after), tc.report), tc.want)
		})
	}
}

func TestHistoryOutlivesIncarnationsWithoutReports(t *testing.T) {
	is := is.New(t)
	left := History{Newest: process("i-1", time.Minute), Left: true, At: start}
	at := start
	for range 5 {
		at = at.Add(time.Second)
		m := New(at, &left)
		is.True(!m.MayTake(at, left.Newest))
		at = at.Add(time.Second)
		history, known := m.History(at)
		is.True(known)
		left = history
	}
	_, known := New(at, nil).History(at)
	is.True(!known) // nothing is known after a kill, until the target reports
}

// message is a report or deregistration on its way.
type message struct {
	from    call.TargetProcess
	leaving bool
	number  int
	sentAt  time.Time
	arrives time.Time
}

// simulation replays targets that start, report, leave and end beside a node that is stopped,
// killed and started again, with reports that arrive late.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	// machine is nil while the node is down; stored is what the platform keeps for its next
	// start.
	machine *Machine
	stored  *History
	// target is the process that runs; number counts its reports.
	target  call.TargetProcess
	number  int
	leaving bool
	onWay   []message
	// newest and lastNumber order the reports of one incarnation, as the adapter does.
	newest     call.TargetProcess
	lastNumber int
	// acked are the processes whose leaving a node has acknowledged.
	acked map[call.TargetProcess]bool
	taken int
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(300)) * time.Millisecond)
	switch {
	case s.target == (call.TargetProcess{}) || s.leaving && s.chance(20):
		s.target = call.TargetProcess{Instance: fmt.Sprint("i-", s.random.IntN(3)), StartedMS: s.now.UnixMilli()}
		s.number, s.leaving = 0, false
	case !s.leaving && s.chance(5):
		s.leaving = true
		s.number++
		s.deliver(message{from: s.target, leaving: true, number: s.number, sentAt: s.now, arrives: s.now})
	case !s.leaving && s.chance(60):
		s.number++
		delay := time.Duration(0)
		if s.chance(30) {
			delay = time.Duration(s.random.Int64N(int64(maxReportDelay)))
		}
		s.onWay = append(s.onWay, message{from: s.target, number: s.number, sentAt: s.now, arrives: s.now.Add(delay)})
	case s.chance(15):
		s.restart()
	}
	var later []message
	for _, m := range s.onWay {
		if m.arrives.After(s.now) {
			later = append(later, m)
			continue
		}
		s.deliver(m)
	}
	s.onWay = later
}

// restart ends the node as planned, or kills it, and starts the next incarnation.
func (s *simulation) restart() {
	if s.chance(50) {
		s.stored = nil
		if history, known := s.machine.History(s.now); known {
			s.stored = &history
		}
	} else {
		s.stored = nil
	}
	s.now = s.now.Add(time.Duration(s.random.IntN(3000)) * time.Millisecond)
	s.machine = New(s.now, s.stored)
	s.newest, s.lastNumber = call.TargetProcess{}, 0
}

func (s *simulation) deliver(m message) {
	older := m.from.StartedMS < s.newest.StartedMS || m.from == s.newest && m.number <= s.lastNumber
	if older {
		return
	}
	s.newest, s.lastNumber = m.from, m.number
	if m.leaving {
		s.machine.Leave(m.from)
		s.acked[m.from] = true
		return
	}
	if !s.machine.MayTake(s.now, m.from) {
		if m.from != s.target || s.leaving {
			return // its health check fails, or another process responds
		}
	}
	s.machine.Confirm(m.from)
	s.taken++
	if s.acked[m.from] {
		s.t.Fatalf("at %v, process %v is in use again by report %d, sent %v before", s.now.Sub(start), m.from, m.number, s.now.Sub(m.sentAt))
	}
}

// TestLateReportsAcrossRestarts checks that no report puts a process in use again whose leaving
// a node has acknowledged.
func TestLateReportsAcrossRestarts(t *testing.T) {
	taken := 0
	for seed := range uint64(300) {
		s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, acked: make(map[call.TargetProcess]bool)}
		s.machine = New(start, &History{At: start})
		for range 500 {
			s.step()
		}
		taken += s.taken
	}
	if taken < 10_000 {
		t.Errorf("only %d reports were taken", taken)
	}
}
