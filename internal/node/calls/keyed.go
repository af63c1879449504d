package calls

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/keyed"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/ring"
)

const (
	// keyedRingSize bounds the events queued for the keyed machine.
	keyedRingSize = 4096
	// keyedTickInterval is how often the member table is checked and the machine's
	// clock advanced in the absence of other events.
	keyedTickInterval = 50 * time.Millisecond
	// keyedStartupPeriod starts with the first member table; running gates first
	// seen within it are taken as established (keyed.Options.StartupPeriod).
	keyedStartupPeriod = 500 * time.Millisecond
	// claimRequestTimeout bounds one request to another gate.
	claimRequestTimeout = time.Second
	// claimTimeout is the age at which the claim of a call is given up. It is
	// checked when a request ends; one may last claimRequestTimeout longer.
	claimTimeout = 2 * time.Second
	// keyRetryAfter is the Retry-After of a call refused because of its key.
	keyRetryAfter = time.Second
)

// keyedItem is an event, with the channel for the decision on a call or for the
// response to another gate.
type keyedItem struct {
	event    keyed.Event
	decision chan keyed.Action
	response chan keyed.Response
}

// keyedLoop runs the machine for idempotency keys in a single goroutine.
type keyedLoop struct {
	runner    *Runner
	machine   *keyed.Machine
	ring      *ring.Ring[keyedItem]
	done      chan struct{}
	view      *membership.View
	service   string
	token     uint64
	decisions map[uint64]chan keyed.Action
	// addresses holds the calls address of each of the service's gates.
	addresses map[string]string
	// incarnations holds the incarnation of each gate last passed to the machine,
	// so that syncView recognises a gate whose target is gone.
	incarnations map[string]uint64
	// historySynced is the machine's HistorySynced, for other goroutines: the
	// machine makes no claims before it.
	historySynced atomic.Bool
	// handedOver is closed once this gate's handover has ended (keyed.HandedOver).
	handedOver chan struct{}
}

func newKeyedLoop(r *Runner) *keyedLoop {
	return &keyedLoop{
		runner: r,
		machine: keyed.New(r.options.BootTime(), keyed.Options{
			Self:          keyed.Gate{ID: r.options.Self.ID, Incarnation: r.options.Self.Incarnation, Running: true},
			Retention:     r.options.Settings.LedgerRetention,
			StartupPeriod: keyedStartupPeriod,
			ClaimTimeout:  claimTimeout,
		}),
		ring:       ring.New[keyedItem](keyedRingSize),
		done:       make(chan struct{}),
		decisions:  make(map[uint64]chan keyed.Action),
		handedOver: make(chan struct{}),
	}
}

func (l *keyedLoop) run(ctx context.Context) error {
	defer close(l.done)
	ticker := time.NewTicker(keyedTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.step(keyedItem{event: keyed.Tick{}})
		case item := <-l.ring.Items():
			l.step(item)
		}
	}
}

func (l *keyedLoop) step(item keyedItem) {
	now := l.runner.options.BootTime()
	l.syncView(now)
	if admit, ok := item.event.(keyed.Admit); ok {
		l.token++
		admit.Token = l.token
		item.event = admit
		l.decisions[l.token] = item.decision
	}
	l.act(item, l.machine.Step(now, item.event))
	l.historySynced.Store(l.machine.HistorySynced())
}

func (l *keyedLoop) act(item keyedItem, actions []keyed.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case keyed.SendRequest:
			go l.sendRequest(a, l.addresses[a.To])
		case keyed.Admitted:
			l.decisions[a.Token] <- a
			delete(l.decisions, a.Token)
		case keyed.Refused:
			l.decisions[a.Token] <- a
			delete(l.decisions, a.Token)
		case keyed.SendResponse:
			item.response <- a.Response
		case keyed.HandedOver:
			close(l.handedOver)
		}
	}
}

// syncView passes the gates of this gate's service to the machine; once its own
// target is gone, that is the last service. A gate whose target is gone, this gate
// included, stays in the list while its incarnation is the same, because that
// process still has its claims.
func (l *keyedLoop) syncView(now time.Time) {
	view := l.runner.options.View()
	t := l.runner.target.Load()
	if t == nil || t.Service == "" && l.service == "" {
		return
	}
	service := cmp.Or(t.Service, l.service)
	if view == l.view && service == l.service {
		return
	}
	if service != l.service {
		l.incarnations = nil
	}
	l.view, l.service = view, service
	previous := l.incarnations
	l.incarnations, l.addresses = make(map[string]uint64), make(map[string]string)
	var gates []keyed.Gate
	for _, member := range view.Members {
		incarnation, known := previous[member.ID]
		targetGone := known && member.Service == "" && member.Incarnation == incarnation
		if member.Service != service && !targetGone {
			continue
		}
		running := member.State == membership.Alive || member.State == membership.Suspect
		gates = append(gates, keyed.Gate{ID: member.ID, Incarnation: member.Incarnation, Running: running})
		l.incarnations[member.ID] = member.Incarnation
		l.addresses[member.ID] = member.CallsAddress
	}
	l.act(keyedItem{}, l.machine.Step(now, keyed.SetGates{Gates: gates}))
}

// sendRequest sends a request to another gate and passes the response or the
// failure to the machine, except for a Withdraw.
func (l *keyedLoop) sendRequest(action keyed.SendRequest, address string) {
	response, err := l.roundTrip(action, address)
	if action.Request.Kind == keyed.Withdraw {
		return
	}
	var event keyed.Event = keyed.RequestFailed{Serial: action.Serial, From: action.To, Kind: action.Request.Kind}
	if err == nil {
		event = keyed.ResponseReceived{Serial: action.Serial, From: action.To, Kind: action.Request.Kind, Response: fromWireClaimAnswer(response)}
	}
	l.ring.Push(keyedItem{event: event}, l.done)
}

func (l *keyedLoop) roundTrip(action keyed.SendRequest, address string) (answer *wire.ClaimAnswer, err error) {
	defer l.runner.recoverCall("claim request", func() {
		answer, err = nil, errClaimUnavailable.New("the claim request to gate %s failed", action.To)
	})
	if address == "" {
		return nil, errClaimUnavailable.New("no calls address is known for gate %s", action.To)
	}
	ctx, cancel := context.WithTimeout(l.runner.baseCtx, claimRequestTimeout)
	defer cancel()
	conn, err := l.runner.options.Pool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	response, err := wire.NewDRPCCallsClient(conn).Claim(ctx, toWireClaimRequest(action.Request))
	if err != nil {
		conn.Discard()
		return nil, err
	}
	conn.Release()
	return response, nil
}

// serve responds to another gate's request.
func (l *keyedLoop) serve(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimAnswer, error) {
	response := make(chan keyed.Response, 1)
	item := keyedItem{event: keyed.RequestReceived{Request: fromWireClaimRequest(request)}, response: response}
	if !l.ring.Push(item, ctx.Done()) {
		return nil, ctx.Err()
	}
	select {
	case received := <-response:
		return toWireClaimAnswer(received), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, errClaimUnavailable.New("this node has stopped and serves no claim requests")
	}
}

// handOver hands this gate's claims over to the service's other gates. It also
// returns nil if some of them did not take the claims, or if the keyed loop ends
// first.
func (l *keyedLoop) handOver(ctx context.Context) error {
	if !l.ring.Push(keyedItem{event: keyed.Leave{}}, ctx.Done()) {
		return ctx.Err()
	}
	select {
	case <-l.handedOver:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return nil
	}
}

// release releases the claim of a call that was not run.
func (l *keyedLoop) release(key string, serial uint64) {
	l.ring.Push(keyedItem{event: keyed.Release{Key: key, Serial: serial}}, l.done)
}

// admitKey waits until a non-idempotent call with a key may be passed to the
// gate machine, and sends heartbeats meanwhile. It returns the refusal of a
// call that is not admitted, also if the keyed loop ends first.
func (r *Runner) admitKey(stream serverStream, c *gateCall) *wire.AnswerFrame {
	if c.start.Key == "" || c.start.Idempotent {
		return nil
	}
	decision := make(chan keyed.Action, 1)
	event := keyed.Admit{Key: c.start.Key, RefusesCalls: r.refusesCalls(c.start)}
	if !r.keyed.ring.TryPush(keyedItem{event: event, decision: decision}) {
		// This call is not run. An earlier call with the key may have run, as the
		// key was not looked up; for this reason the entry reports an unknown outcome.
		return r.refusalFrame(call.NotRun, call.ReasonKeyUncertain, fullRingRetryAfter)
	}
	heartbeat := time.NewTicker(r.options.Settings.SilenceTimeout / heartbeatsPerSilence)
	defer heartbeat.Stop()
	for {
		select {
		case action := <-decision:
			return r.applyKeyDecision(c, action)
		case <-heartbeat.C:
			_ = stream.Send(&wire.AnswerFrame{})
		case <-r.keyed.done:
			return r.refusalFrame(call.Unknown, call.ReasonKeyUncertain, keyRetryAfter)
		}
	}
}

// applyKeyDecision returns the refusal if the call was not admitted, and nil
// otherwise.
func (r *Runner) applyKeyDecision(c *gateCall, decided keyed.Action) *wire.AnswerFrame {
	switch v := decided.(type) {
	case keyed.Admitted:
		c.replayOnly = v.ReplayOnly
		c.unclaimed = !v.ReplayOnly && v.Serial == 0
		if !v.ReplayOnly {
			c.claimSerial = v.Serial
		}
		return nil
	case keyed.Refused:
		r.counters.refused.Add(1)
		if len(v.Candidates) > 0 {
			r.failedLog.event(logging.KeyHistoryIncomplete, c.requestID).Str("candidates", candidatesText(v.Candidates)).Send()
		}
		return r.refusalFrame(v.Outcome, v.Reason, keyRetryAfter)
	}
	return r.refusalFrame(call.Unknown, call.ReasonKeyUncertain, keyRetryAfter)
}

// candidatesText lists what is known of each candidate. In the text, which
// operators match, unheard is NoResponse, changed is SinceMembershipChange and
// lost_memory is SinceRestart.
func candidatesText(candidates []keyed.Candidate) string {
	var text strings.Builder
	for i, c := range candidates {
		if i > 0 {
			text.WriteString(", ")
		}
		fmt.Fprintf(&text, "%s running=%t recorded=%t unheard=%t", c.Gate.ID, c.Gate.Running, c.Recorded, c.NoResponse)
		if c.SinceMembershipChange > 0 {
			fmt.Fprintf(&text, " changed=%s", c.SinceMembershipChange.Round(time.Millisecond))
		}
		if c.SinceRestart > 0 {
			fmt.Fprintf(&text, " lost_memory=%s", c.SinceRestart.Round(time.Millisecond))
		}
	}
	return text.String()
}

// refusesCalls reports whether the gate machine is expected to refuse the call,
// because the gate starts no calls at present. The machine decides later, from its
// own state.
func (r *Runner) refusesCalls(start *wire.CallStart) bool {
	if r.draining.Load() || r.refuseReason(start) != "" {
		return true
	}
	return r.target.Load().State != membership.TargetReady
}
