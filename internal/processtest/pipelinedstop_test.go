package processtest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"jasminegate/internal/standin/target"
)

// TestPlannedStopResetsPipelinedResponses stops a node while requests run, behind each of which its caller
// has sent another one. Each response must arrive whole, also if the caller reads it late.
func TestPlannedStopResetsPipelinedResponses(t *testing.T) {
	t.Parallel()
	const (
		size = 400_000
		// readBuffer makes a part of the response wait in the node's buffer.
		readBuffer = 16 << 10
		runs       = time.Second
		readLate   = 100 * time.Millisecond
	)
	h, node := startStopHarness(t, 6*time.Second, time.Minute)
	kinds := []rawRequest{
		{method: http.MethodGet, uri: "/riders/1"},
		{method: http.MethodPost, uri: "/orders/1", body: "one order"},
		{method: http.MethodPost, uri: "/orders/1", body: "one order", chunked: true},
	}
	requests := make([]rawRequest, 4*len(kinds))
	callers := make([]*rawCaller, len(requests))
	for i := range requests {
		requests[i] = kinds[i%len(kinds)]
		requests[i].id = h.nextID("first")
		requests[i].uri += fmt.Sprintf("?service_ms=%d&bytes=%d", runs.Milliseconds(), size)
		callers[i] = h.dialCaller(node)
		h.must(callers[i].conn.SetReadBuffer(readBuffer))
		h.must(callers[i].send(requests[i]))
	}
	h.awaitRecords("started", requests, func(r target.RunRecord) bool { return r.Count > 0 })
	for _, caller := range callers {
		h.must(caller.send(rawRequest{id: h.nextID("behind"), method: http.MethodGet, uri: "/riders/1"}))
	}
	h.must(node.Process().SendTerminate())
	h.awaitRecords("ended", requests, func(r target.RunRecord) bool { return r.Finished+r.Cancelled > 0 })
	time.Sleep(readLate)
	var receivers sync.WaitGroup
	for i, caller := range callers {
		receivers.Go(func() {
			response, err := caller.receive(requests[i].method)
			if err != nil || response.status != http.StatusOK || len(response.body) != size {
				t.Errorf("%s with chunks %v: response of %d bytes, status %d, error %v", requests[i].method, requests[i].chunked, len(response.body), response.status, err)
			}
		})
	}
	receivers.Wait()
	h.must(node.Process().Wait(h.ctx()))
}

// awaitRecords waits until the record of each request satisfies the condition.
func (h *harness) awaitRecords(what string, requests []rawRequest, condition func(target.RunRecord) bool) {
	h.t.Helper()
	h.await("the runs to have "+what, func() bool {
		records := h.records()
		for _, request := range requests {
			if !condition(records[request.id]) {
				return false
			}
		}
		return true
	})
}
