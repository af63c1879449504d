package calls

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/protocol/wire"
)

// TestCutURIKeepsRecordsFromOtherNodes: a message with text that is not UTF-8 cannot be sent.
func TestCutURIKeepsRecordsFromOtherNodes(t *testing.T) {
	is := is.New(t)
	for _, uri := range []string{"/" + strings.Repeat("é", maxDescribedURIBytes), "/\xff\xfe", strings.Repeat("a", 2*maxDescribedURIBytes)} {
		described := describedURI(uri)
		is.True(utf8.ValidString(described))
		is.True(len(described) <= maxDescribedURIBytes)
		_, err := proto.Marshal(&wire.QuarantineRecord{Uri: described})
		is.NoErr(err)
	}
}

// countingGate refuses every call because of its quarantine.
type countingGate struct {
	fakeGate
	calls *atomic.Int64
}

func (g *countingGate) Call(stream wire.DRPCCalls_CallStream) error {
	g.calls.Add(1)
	return g.fakeGate.Call(stream)
}

// TestQuarantinedCallIsSentToAnotherGate: an entry that does not know of a quarantine yet keeps to
// the refusal of the first gate that does.
func TestQuarantinedCallIsSentToAnotherGate(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	refusal := []*wire.AnswerFrame{{Start: &wire.AnswerStart{Outcome: uint32(call.NotRun), Reason: string(call.ReasonQuarantined), RetryAfterMs: 60_000}, Last: true}}
	f := newFleet(t, fleetOptions{nodes: 4, remoteOnly: true}, echo)
	for _, n := range f.nodes[1:] {
		n.member.CallsAddress = startFakeGate(t, &countingGate{fakeGate{frames: refusal}, &calls})
	}
	f.publishView()
	got := f.call(0, "GET", "/read", "", headers.Timeout, "1500")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get(headers.Outcome), "not-run")
	is.Equal(got.header.Get(headers.RetryAfter), "60") // not cut to a part of the caller's time
	is.Equal(calls.Load(), int64(1))
}
