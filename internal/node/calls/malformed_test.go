package calls

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/call"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/peer"
)

// fakeGate is a gate that responds to every call with the same frames.
type fakeGate struct {
	wire.DRPCCallsUnimplementedServer
	frames []*wire.AnswerFrame
}

func (g *fakeGate) Resolve(context.Context, *wire.ResolveRequest) (*wire.ResolveAnswer, error) {
	return &wire.ResolveAnswer{}, nil
}

func (g *fakeGate) Call(stream wire.DRPCCalls_CallStream) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	for _, frame := range g.frames {
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

// startFakeGate serves the gate and returns its address.
func startFakeGate(t *testing.T, gate wire.DRPCCallsServer) string {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	mux := drpcmux.New()
	is.NoErr(wire.DRPCRegisterCalls(mux, gate))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = peer.Serve(ctx, listener, mux, logging.Discard()) }()
	t.Cleanup(func() { cancel(); <-ended })
	return listener.Addr().String()
}

// TestMalformedResponseOfGate lets a gate respond with frames that no gate sends. Every
// caller gets a response: the call may have run, so it says that the outcome is unknown.
func TestMalformedResponseOfGate(t *testing.T) {
	start := func(change func(*wire.AnswerStart)) []*wire.AnswerFrame {
		frame := &wire.AnswerFrame{Start: &wire.AnswerStart{Status: http.StatusOK}, Data: []byte("x"), Last: true}
		change(frame.Start)
		return []*wire.AnswerFrame{frame}
	}
	status := func(code uint32) []*wire.AnswerFrame {
		return start(func(s *wire.AnswerStart) { s.Status = code })
	}
	outcome := func(value uint32) []*wire.AnswerFrame {
		return start(func(s *wire.AnswerStart) { s.Outcome = value })
	}
	for name, frames := range map[string][]*wire.AnswerFrame{
		"no frame":              nil,
		"no start":              {{Data: []byte("x"), Last: true}},
		"status 0":              status(0),
		"status 42":             status(42),
		"status 100":            status(100),
		"status 101":            status(101),
		"status 150":            status(150),
		"status 1000":           status(1000),
		"largest status":        status(math.MaxUint32),
		"unknown outcome":       outcome(77),
		"outcome beyond a byte": outcome(256),
		"largest outcome":       outcome(math.MaxUint32),
		"body not ended":        {{Start: &wire.AnswerStart{Status: http.StatusOK}, Data: []byte("x")}},
	} {
		for _, method := range []string{"GET", "POST"} {
			t.Run(name+", "+method, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, settings: shortSilenceTimeout}, echo)
				f.nodes[1].member.CallsAddress = startFakeGate(t, &fakeGate{frames: frames})
				f.publishView()
				path := map[string]string{"GET": "/read", "POST": "/file"}[method]
				for range 3 {
					got := f.call(0, method, path, "", headers.Timeout, "1500")
					is.NoErr(got.err) // the connection is closed without a response
					is.True(got.status >= http.StatusInternalServerError)
					is.Equal(got.header.Get(headers.Outcome), "outcome-unknown")
				}
			})
		}
	}
}

// TestFramesAfterLast lets a gate send further frames after the end of a response. They
// must not reach the next call on the connection.
func TestFramesAfterLast(t *testing.T) {
	is := is.New(t)
	first := &wire.AnswerFrame{Start: &wire.AnswerStart{Status: http.StatusOK}, Data: []byte("first"), Last: true}
	stale := &wire.AnswerFrame{Start: &wire.AnswerStart{Status: http.StatusOK}, Data: []byte("stale"), Last: true}
	frames := []*wire.AnswerFrame{first}
	for range 20 {
		frames = append(frames, stale)
	}
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true}, echo)
	f.nodes[1].member.CallsAddress = startFakeGate(t, &fakeGate{frames: frames})
	f.publishView()
	for range 200 {
		got := f.call(0, "GET", "/read", "")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "first")
	}
}

// TestMalformedStatusOfTarget lets the target respond with a status that HTTP does not
// have. The caller gets a response.
func TestMalformedStatusOfTarget(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "101"} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %t", status, remote), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote, settings: shortSilenceTimeout}, func(w http.ResponseWriter, r *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						panic(err)
					}
					defer conn.Close()
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok")
				})
				got := f.call(0, "POST", "/file", "b", headers.Timeout, "1500")
				is.NoErr(got.err) // the connection is closed without a response
				is.True(got.status >= http.StatusInternalServerError)
				is.Equal(got.header.Get(headers.Outcome), "outcome-unknown")
			})
		}
	}
}

// randomStart returns a start of a call with fields that no entry sends.
func randomStart(random *rand.Rand, incarnation uint64) *wire.CallStart {
	pick := func(values ...string) string { return values[random.IntN(len(values))] }
	number := func() uint32 {
		return []uint32{0, 1, 2, 50, 1000, math.MaxInt32, math.MaxUint32}[random.IntN(7)]
	}
	start := &wire.CallStart{
		GateIncarnation: incarnation, Route: pick("", "read", "file", "none"), Service: pick("depot", "depot", "depot", "", "other"),
		Method: pick("GET", "POST", "", "a b", "CONNECT"), Uri: pick("/read", "/file", "", "*", "//", "http://other/x", "/%zz", "/a b"),
		Host: pick("", "a.example", "a\r\nb: c", "[::1"), TimeoutMs: number(), Key: pick("", "", "k1", "k2"), Fingerprint: uint64(random.IntN(2)),
		Idempotent: random.IntN(2) == 0, Background: random.IntN(2) == 0, Nested: random.IntN(2) == 0, InTime: random.IntN(2) == 0,
		AttemptsLeft: number(), Priority: number(), AimMs: number(), RetriedIfLost: random.IntN(2) == 0, Fetch: random.IntN(4) == 0,
		ContentLength: []int64{0, 1, -1, -7, 3, math.MaxInt64, math.MinInt64}[random.IntN(7)],
		Headers:       []*wire.Header{{}, {Name: pick("X-A", "", "a b", "Host", "Content-Length", "Transfer-Encoding", "\x00")}, {Name: "X-B", Values: []string{"\r\n", pick("c", "\x00")}}},
	}
	if random.IntN(8) > 0 {
		start.Id = &wire.CallID{
			Entry: pick("", "e1", "e2"), EntryIncarnation: uint64(random.IntN(3)),
			Counter: []uint64{0, 1, 2, 3, 4, 5, 8191, 8192, 8193, math.MaxUint64 - 8192, math.MaxUint64 - 1, math.MaxUint64}[random.IntN(12)],
		}
	}
	if random.IntN(2) == 0 {
		start.TargetReport = &wire.TargetReport{
			RateLimited: true, RateLimit: []float64{1000, -1, math.NaN(), math.Inf(1), math.Inf(-1)}[random.IntN(5)],
			StartedMs: int64(random.IntN(2)), AgeMs: number(),
		}
	}
	return start
}

// sendRandomCall sends frames in an order that no entry sends, and may leave at any
// point.
func sendRandomCall(ctx context.Context, random *rand.Rand, pool *peer.Pool, address string, incarnation uint64) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(random.IntN(60)+1)*time.Millisecond)
	defer cancel()
	conn, err := pool.Get(ctx, address)
	if err != nil {
		return
	}
	defer conn.Discard()
	client := wire.NewDRPCCallsClient(conn)
	switch random.IntN(8) {
	case 0:
		_, _ = client.Resolve(ctx, &wire.ResolveRequest{Id: randomStart(random, 0).Id, GateIncarnation: incarnation})
		return
	case 1:
		_, _ = client.Claim(ctx, randomClaim(random, incarnation))
		return
	}
	stream, err := client.Call(ctx)
	if err != nil {
		return
	}
	for range random.IntN(6) {
		frame := &wire.CallFrame{Data: make([]byte, random.IntN(3)*40000), Last: random.IntN(2) == 0, Cancel: random.IntN(6) == 0, Recall: random.IntN(6) == 0}
		if random.IntN(3) > 0 {
			frame.Start = randomStart(random, incarnation)
		}
		if stream.Send(frame) != nil {
			return
		}
		if random.IntN(2) == 0 {
			_, _ = stream.Recv()
		}
	}
	if random.IntN(2) == 0 {
		_ = stream.Close()
	}
}

func randomClaim(random *rand.Rand, incarnation uint64) *wire.ClaimRequest {
	claim := &wire.ClaimRequest{
		Key: []string{"", "k1", "k2"}[random.IntN(3)], Kind: uint32(random.IntN(8)), Claimant: []string{"", "e1", "node-0", "node-1"}[random.IntN(4)],
		ClaimantIncarnation: uint64(random.IntN(3)), ClaimantSerial: uint64(random.IntN(3)), Last: random.IntN(2) == 0,
		ToIncarnation: []uint64{0, incarnation}[random.IntN(2)],
	}
	if random.IntN(2) == 0 {
		claim.Handed = []*wire.HandedClaim{{}, {Key: "k1", AgeNs: math.MinInt64}, {Key: "k2", AgeNs: math.MaxInt64}}
		claim.Notes = []*wire.GateNote{{}, {Gate: "node-1", ChangedNs: math.MinInt64, LostMemoryNs: math.MaxInt64}}
	}
	return claim
}

// TestMalformedCallsOfEntry sends random frames to a gate, in any order. The gate goes
// on: afterwards its calls are answered, and no call of it is left.
func TestMalformedCallsOfEntry(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, fleetOptions{nodes: 1, slots: 2, settings: func(s *config.Calls) { s.SilenceTimeout = 500 * time.Millisecond }}, echo)
			n := f.nodes[0]
			pool := peer.NewPool(peer.PoolOptions{MaxPerAddress: 64, DialTimeout: time.Second, IdleTimeout: time.Minute})
			defer pool.Close()
			done := make(chan struct{})
			const senders = 8
			for sender := range uint64(senders) {
				random := rand.New(rand.NewPCG(seed, sender))
				go func() {
					defer func() { done <- struct{}{} }()
					for range 150 {
						sendRandomCall(context.Background(), random, pool, n.member.CallsAddress, n.member.Incarnation)
					}
				}()
			}
			for range senders {
				<-done
			}
			is.Equal(n.runner.options.Logger.Panics(), uint64(0))
			f.waitFor("no call is left", func() bool { return n.runner.gate.load.Load() == 0 && n.runner.activeStreams.Load() == 0 })
			got := f.call(0, "POST", "/file", "b")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusCreated)
		})
	}
}

// TestMalformedReportIsIgnored sends rate limits that are none with a call. The gate
// must not take them for a limit of its target.
func TestMalformedReportIsIgnored(t *testing.T) {
	now := time.Now()
	for _, limit := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		is := is.New(t)
		got := fromWireReport(now, &wire.TargetReport{RateLimited: true, RateLimit: limit})
		is.True(got == nil)
	}
	is.New(t).Equal(fromWireReport(now, &wire.TargetReport{RateLimited: true, RateLimit: 2.5}).Signals, call.TargetSignals{RateLimited: true, RateLimit: 2.5})
}
