package processtest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/state"
)

const (
	quotaRate  = 20.0
	quotaBurst = 20.0
	// quotaInterval is the time between two requests at each of two nodes: four times the quota.
	quotaInterval = 25 * time.Millisecond
	quotaKey      = "key-of-nord-12345"
	// quotaWindow is the window of the users' bound.
	quotaWindow = 5 * time.Second
)

// TestQuotaHoldsOverNodes guards against nodes that each admit a tenant's whole quota, or only an
// equal part of it: two of eight nodes, in one of two domains, get four times the quota.
func TestQuotaHoldsOverNodes(t *testing.T) {
	h := startHarness(t, fleetPlan(4))
	ticket := baseTicket()
	ticket.Tenants = []state.Tenant{state.Tenant{Name: "nord", Keys: []state.APIKey{quotaKey}, RatePerS: quotaRate, Burst: quotaBurst}.DigestKeys()}
	h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], ticket))
	ctx, cancel := context.WithTimeout(t.Context(), 2*quotaWindow)
	defer cancel()
	var mu sync.Mutex
	var admitted []time.Time
	var refused, other atomic.Int64
	var group sync.WaitGroup
	for _, node := range h.Nodes[:2] {
		group.Go(func() {
			sendUnderQuota(ctx, node, func(status int) {
				mu.Lock()
				defer mu.Unlock()
				switch status {
				case http.StatusOK:
					admitted = append(admitted, time.Now())
				case http.StatusTooManyRequests:
					refused.Add(1)
				default:
					other.Add(1)
				}
			})
		})
	}
	group.Wait()
	h.await("the coordinator to list the tenant as over its quota", func() bool { return h.tenantOver() })
	most := 0
	for i, at := range admitted {
		count := 0
		for _, later := range admitted[i:] {
			if later.Sub(at) < quotaWindow {
				count++
			}
		}
		most = max(most, count)
	}
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*1.1 + 20
	least := quotaRate * 2 * quotaWindow.Seconds() * 0.9
	t.Logf("admitted %d, refused %d, other %d, most in a window %d of %.0f", len(admitted), refused.Load(), other.Load(), most, bound)
	if float64(most) > bound || float64(len(admitted)) < least-quotaBurst || refused.Load() == 0 || other.Load() > 0 {
		t.Errorf("want at most %.0f in a window, and about %.0f in all", bound, least)
	}
}

// tenantOver reports whether a node lists the fleet's use of a tenant as over its quota.
func (h *harness) tenantOver() bool {
	for _, node := range h.Nodes {
		body, err := node.AdminRequest(h.ctx(), "GET", adminapi.PathTenants, nil)
		h.must(err)
		var list adminapi.TenantList
		h.must(json.Unmarshal(body, &list))
		if list.Tenants[0].Fleet != nil && list.Tenants[0].Fleet.Over {
			return true
		}
	}
	return false
}

// sendUnderQuota sends requests until ctx ends, and passes on their status.
func sendUnderQuota(ctx context.Context, node *fleet.Node, done func(status int)) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+node.CallersAddress+"/riders/7?service_ms=5", nil)
		if err != nil {
			return
		}
		request.Header.Set("Authorization", "Token "+quotaKey)
		response, err := client.Do(request)
		if err != nil {
			done(0)
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		done(response.StatusCode)
	}
}
