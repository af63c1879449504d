package processtest

import (
	"io"
	"net/http"
	"testing"
	"time"

	"jasminegate/internal/state"
)

// revokeBound is the time within which a removed key has to be refused everywhere.
const revokeBound = 5 * time.Second

// TestRemovedKeyIsAccepted removes a key while callers keep their connections and a node
// of each domain is killed. Every node in contact must refuse the key within the bound,
// and go on accepting the tenant's other one.
func TestRemovedKeyIsAccepted(t *testing.T) {
	h := startHarness(t, fleetPlan(4))
	tenant := func(keys ...state.APIKey) state.Ticket {
		return state.Ticket{Author: "test", Tenants: []state.Tenant{state.Tenant{Name: "nord", Keys: keys}.DigestKeys()}}
	}
	h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], tenant("kept", "removed")))
	client := &http.Client{Timeout: stepTimeout}
	status := func(address, key string) int {
		request, err := http.NewRequestWithContext(h.ctx(), http.MethodGet, "http://"+address+"/riders/1", nil)
		h.must(err)
		request.Header.Set("Authorization", "Token "+key)
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	for _, node := range h.Nodes {
		for _, key := range []string{"kept", "removed"} {
			h.await(node.ID+" to accept the key "+key, func() bool { return status(node.CallersAddress, key) == http.StatusOK })
		}
		if got := status(node.CallersAddress, "unknown"); got != http.StatusUnauthorized {
			t.Errorf("%s responds with %d to an unknown key", node.ID, got)
		}
	}
	killed := map[string]bool{}
	for _, domain := range domains {
		victim := h.NodesInDomain(domain)[0]
		killed[victim.ID] = true
		victim.Process().Kill()
	}
	publisher := h.NodesInDomain(domains[0])[1]
	h.publish(publisher, tenant("kept"))
	deadline := time.Now().Add(revokeBound)
	for _, node := range h.Nodes {
		if killed[node.ID] {
			continue
		}
		h.await(node.ID+" to refuse the removed key", func() bool { return status(node.CallersAddress, "removed") == http.StatusUnauthorized })
		if late := time.Since(deadline); late > 0 {
			t.Errorf("%s refuses the removed key %v after the bound", node.ID, late)
		}
		if got := status(node.CallersAddress, "kept"); got == http.StatusUnauthorized {
			t.Errorf("%s refuses the tenant's other key", node.ID)
		}
	}
}
