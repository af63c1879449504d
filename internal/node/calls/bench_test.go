package calls

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// BenchmarkCall measures a call sent directly to a target, through the node
// beside it, and through two nodes.
func BenchmarkCall(b *testing.B) {
	target := func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") }
	local := newFleet(b, fleetOptions{nodes: 1, slots: 20}, target)
	remote := newFleet(b, fleetOptions{nodes: 2, slots: 20, remoteOnly: true}, target)
	for _, row := range []struct{ name, url string }{
		{"direct", local.nodes[0].target.URL},
		{"one node", local.nodes[0].callers.URL},
		{"two nodes", remote.nodes[0].callers.URL},
	} {
		b.Run(row.name, func(b *testing.B) {
			var durations []time.Duration
			for b.Loop() {
				begin := time.Now()
				response, err := http.Get(row.url + "/read")
				if err != nil || response.StatusCode != http.StatusOK {
					b.Fatal(err, response)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				durations = append(durations, time.Since(begin))
			}
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-µs")
		})
	}
}
