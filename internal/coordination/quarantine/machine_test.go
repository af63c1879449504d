package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testLifetime = 10 * time.Minute

var testStart = time.Unix(1_700_000_000, 0)

// crashWith runs the requests at the machine's target, whose crash ends them. known is what their
// entries know of.
func crashWith(m *Machine, now time.Time, crash uint64, known int, fingerprints ...uint64) []Action {
	for i, fingerprint := range fingerprints {
		m.Step(now, Started{Run: crash*100 + uint64(i), Fingerprint: fingerprint, Known: known})
	}
	return m.Step(now.Add(80*time.Millisecond), TargetCrashed{Crash: crash})
}

func isRefused(m *Machine, now time.Time, fingerprint uint64) bool {
	_, refused := m.Refused(now, fingerprint)
	return refused
}

func TestRequestIsRefusedAfterCrashes(t *testing.T) {
	const crashing, other, third = 1, 2, 3
	for name, row := range map[string]struct {
		play func(m *Machine)
		want bool
	}{
		"one crash": {func(m *Machine) { crashWith(m, testStart, 1, 0, crashing) }, false},
		"came again, alone suspected": {func(m *Machine) {
			crashWith(m, testStart, 1, 0, crashing, other)
			crashWith(m, testStart, 2, 0, crashing, third)
		}, true},
		"came again, its entry knew": {func(m *Machine) {
			m.Step(testStart, Learned{Records: []Record{{Fingerprint: crashing, Crashes: []uint64{1}, ExpiresAt: testStart.Add(time.Minute)}}})
			m.Step(testStart, Started{Run: 7, Fingerprint: third})
			crashWith(m, testStart, 2, 1, crashing)
		}, true},
		"two came again together": {func(m *Machine) {
			crashWith(m, testStart, 1, 0, crashing, other)
			crashWith(m, testStart, 2, 0, crashing, other)
		}, false},
		"two came again together, a third time": {func(m *Machine) {
			crashWith(m, testStart, 1, 0, crashing, other)
			crashWith(m, testStart, 2, 0, crashing, other)
			crashWith(m, testStart, 3, 0, crashing, other)
		}, true},
		"ended well in between": {func(m *Machine) {
			crashWith(m, testStart, 1, 0, crashing)
			m.Step(testStart, Started{Run: 7, Fingerprint: crashing})
			m.Step(testStart, Ended{Run: 7, Answered: true})
			crashWith(m, testStart, 2, 0, crashing)
		}, false},
		"cancelled in between": {func(m *Machine) {
			crashWith(m, testStart, 1, 0, crashing)
			m.Step(testStart, Started{Run: 7, Fingerprint: crashing})
			m.Step(testStart, Ended{Run: 7})
			crashWith(m, testStart, 2, 0, crashing)
		}, true},
		"many targets at once, before any was known": {func(m *Machine) {
			for crash := uint64(1); crash <= 6; crash++ {
				other := New(testLifetime)
				crashWith(other, testStart, crash, 0, crashing)
				m.Step(testStart, Learned{Records: other.Records(testStart)})
			}
		}, false},
		"expired in between": {func(m *Machine) {
			crashWith(m, testStart, 1, 0, crashing)
			crashWith(m, testStart.Add(testLifetime+time.Second), 2, 0, crashing)
		}, false},
		"connection lost just before": {func(m *Machine) {
			crashWith(m, testStart, 1, 0, crashing)
			m.Step(testStart, Started{Run: 7, Fingerprint: crashing})
			m.Step(testStart, Lost{Run: 7})
			m.Step(testStart.Add(lostWindow/2), TargetCrashed{Crash: 2})
		}, true},
		"connection lost long before": {func(m *Machine) {
			crashWith(m, testStart, 1, 0, crashing)
			m.Step(testStart, Started{Run: 7, Fingerprint: crashing})
			m.Step(testStart, Lost{Run: 7})
			m.Step(testStart.Add(2*lostWindow), TargetCrashed{Crash: 2})
		}, false},
		"the same crash twice": {func(m *Machine) { crashWith(m, testStart, 1, 0, crashing); crashWith(m, testStart, 1, 0, crashing) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(testLifetime)
			row.play(m)
			is.New(t).Equal(isRefused(m, testStart, crashing), row.want)
		})
	}
}

func TestQuarantineEnds(t *testing.T) {
	is := is.New(t)
	m := New(testLifetime)
	crashWith(m, testStart, 1, 0, 1)
	actions := crashWith(m, testStart, 2, 0, 1)
	refuse, ok := actions[0].(Refuse)
	is.True(ok && refuse.Observed)
	wait, refused := m.Refused(testStart.Add(time.Minute), 1)
	is.True(refused)
	is.True(wait > 8*time.Minute && wait <= testLifetime)
	is.True(!isRefused(m, testStart.Add(testLifetime+time.Second), 1)) // expired

	peer := New(testLifetime)
	peer.Step(testStart, Learned{Records: m.Records(testStart)})
	is.True(isRefused(peer, testStart, 1))
	actions = m.Step(testStart, Lifted{Fingerprint: 1})
	is.True(!isRefused(m, testStart, 1))
	peer.Step(testStart, Learned{Records: actions[0].(Share).Records})
	is.True(!isRefused(peer, testStart, 1))
	peer.Step(testStart, Learned{Records: []Record{refuse.Record}}) // a late message
	is.True(!isRefused(peer, testStart, 1))
	is.Equal(m.Digest(), peer.Digest())
}

// TestMergesAgree merges random records in two orders and groupings.
func TestMergesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := func(name string) Record {
			r := Record{Fingerprint: 1, Epoch: rapid.Uint32Range(0, 2).Draw(t, name+" epoch"), ExpiresAt: testStart.Add(time.Minute)}
			for i, id := range rapid.SliceOfN(rapid.Uint64Range(1, 30), 0, 12).Draw(t, name+" crashes") {
				r = r.withCrash(id, i%2 == 1, i%3 == 2, r.ExpiresAt)
			}
			return r
		}
		a, b, c := record("a"), record("b"), record("c")
		if x, y := merge(merge(a, b), c), merge(b, merge(c, a)); !x.equal(y) {
			t.Fatalf("%+v differs from %+v", x, y)
		}
		if x := merge(a, a); !x.equal(a) {
			t.Fatalf("%+v differs from %+v", x, a)
		}
	})
}

// TestRecordsAreBounded keeps a request in quarantine among many that are only suspected.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	m := New(testLifetime)
	crashWith(m, testStart, 1, 0, 1)
	crashWith(m, testStart, 2, 0, 1)
	for i := uint64(10); i < 10+2*maxRecords; i++ {
		crashWith(m, testStart.Add(time.Second), i, 0, i)
	}
	is.Equal(len(m.Records(testStart.Add(time.Second))), maxRecords)
	is.True(isRefused(m, testStart.Add(time.Second), 1))
}

func ExampleRecord_Refused() {
	fmt.Println(Record{Crashes: []uint64{1, 2}}.Refused(), Record{Crashes: []uint64{1, 2}, Again: true, Alone: true}.Refused())
	// Output: false true
}
