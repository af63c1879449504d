package processtest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
)

const (
	// crashSettleTime is the time after the third crash from which on the users' rule counts, and
	// crashesAllowed how many targets the same request may reach after that.
	crashSettleTime = 3 * time.Second
	crashesAllowed  = 3
	// targetReturnTime is how long a crashed target is away.
	targetReturnTime = 1500 * time.Millisecond
	crashingInterval = 150 * time.Millisecond
	crashingURI      = "/riders/7?crash_ms=60&service_ms=500"
)

// crashWatch starts crashed targets again and records when they crashed.
type crashWatch struct {
	mu      sync.Mutex
	crashes []time.Time
}

// watchCrashes watches the targets of rider-view until ctx ends.
func (h *harness) watchCrashes(ctx context.Context) *crashWatch {
	w := &crashWatch{}
	for _, node := range h.Nodes {
		if node.Service == "rider-view" {
			go w.watch(ctx, node)
		}
	}
	return w
}

func (w *crashWatch) watch(ctx context.Context, node *fleet.Node) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.Target().Exited():
		}
		w.mu.Lock()
		w.crashes = append(w.crashes, time.Now())
		w.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(targetReturnTime):
		}
		_ = node.StartTarget()
	}
}

// since returns how many targets crashed after the time.
func (w *crashWatch) since(start time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, at := range w.crashes {
		if at.After(start) {
			count++
		}
	}
	return count
}

// sendCrashing sends the request that crashes targets to all entries in turn until ctx ends.
func (h *harness) sendCrashing(ctx context.Context) {
	client := load.NewClient()
	for i := 0; ctx.Err() == nil; i++ {
		go func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.entries()[i%len(h.Nodes)]+crashingURI, nil)
			if err != nil {
				return
			}
			response, err := client.Do(request)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}()
		time.Sleep(crashingInterval)
	}
}

// TestRequestThatCrashesTargetsReachesAllOfThem: the same request was sent on to every target that
// returned, and the other calls at those targets failed with them.
func TestRequestThatCrashesTargetsReachesAllOfThem(t *testing.T) {
	h := startHarness(t, fleetPlan(4))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	crashes := h.watchCrashes(ctx)
	go h.sendReads(4*time.Second, h.entries()...)
	go h.sendCrashing(ctx)
	settled := time.Now().Add(crashSettleTime + targetReturnTime)
	time.Sleep(time.Until(settled))
	const observed = 8 * time.Second
	report := h.sendReads(observed, h.entries()...)
	if after := crashes.since(settled); after > crashesAllowed {
		t.Errorf("%d targets crashed in %v after the first %v, %d in all; %d allowed", after, observed, crashSettleTime+targetReturnTime, crashes.since(time.Time{}), crashesAllowed)
	}
	answered := 0
	for _, result := range report.Calls {
		if result.Outcome == load.Answered {
			answered++
		}
	}
	if share := float64(answered) / float64(len(report.Calls)); share < 0.99 {
		t.Errorf("%.3f of the other calls were answered while the request came", share)
	}
}

// TestRestartedNodeForgetsCrashingRequest restarts all nodes, one after the other, while the
// request keeps coming.
func TestRestartedNodeForgetsCrashingRequest(t *testing.T) {
	h := startHarness(t, fleetPlan(4))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	crashes := h.watchCrashes(ctx)
	go h.sendCrashing(ctx)
	time.Sleep(crashSettleTime + targetReturnTime)
	settled := time.Now()
	for _, node := range h.Nodes {
		node.Process().Kill()
		h.must(node.Start())
		h.must(node.AwaitReady(h.ctx()))
	}
	time.Sleep(crashSettleTime)
	if after := crashes.since(settled); after > crashesAllowed {
		t.Errorf("%d targets crashed while the nodes were restarted; %d allowed", after, crashesAllowed)
	}
}

// quarantineOf returns the requests that the node refuses because of crashes.
func (h *harness) quarantineOf(node *fleet.Node) []adminapi.QuarantinedRequest {
	h.t.Helper()
	body, err := node.AdminRequest(h.ctx(), http.MethodGet, adminapi.PathQuarantine, nil)
	h.must(err)
	var list adminapi.QuarantineList
	h.must(json.Unmarshal(body, &list))
	return slices.DeleteFunc(list.Requests, func(r adminapi.QuarantinedRequest) bool { return !r.Refused })
}

// TestOperatorCannotLiftQuarantine lists the quarantine at each node and lifts it at one.
func TestOperatorCannotLiftQuarantine(t *testing.T) {
	h := startHarness(t, fleetPlan(2))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.watchCrashes(ctx)
	sending, stopSending := context.WithCancel(ctx)
	go h.sendCrashing(sending)
	for _, node := range h.Nodes {
		h.await(node.ID+" to refuse the request", func() bool { return len(h.quarantineOf(node)) == 1 })
	}
	stopSending()
	listed := h.quarantineOf(h.Nodes[0])[0]
	if listed.Method != http.MethodGet || listed.URI != crashingURI || listed.Crashes < 2 || listed.RemainingMS <= 0 {
		t.Errorf("listed as %+v", listed)
	}
	_, err := h.Nodes[1].AdminRequest(h.ctx(), http.MethodDelete, adminapi.QuarantinePath(listed.ID), nil)
	h.must(err)
	for _, node := range h.Nodes {
		h.await(node.ID+" to let the request through", func() bool { return len(h.quarantineOf(node)) == 0 })
	}
	if _, err := h.Nodes[1].AdminRequest(h.ctx(), http.MethodDelete, adminapi.QuarantinePath(listed.ID), nil); err == nil {
		t.Error("a quarantine that was lifted is lifted again without an error")
	}
}
