package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/logging"
)

// TestMetricsPage checks that docs/operators/metrics.md lists exactly the metrics
// that a node exports, after one request that the node refused.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	settings := config.Defaults()
	// A separate loopback address, so that no other process takes one of the ports.
	ip := fmt.Sprintf("127.89.%d.%d", os.Getpid()%250+1, time.Now().UnixNano()/1000%250+1)
	settings.Node = config.Node{
		ID: "n-1", Domain: "d",
		CallersAddress: ip + ":8304", AdminAddress: ip + ":7635", ControlAddress: ip + ":7620", CallsAddress: ip + ":8300",
		MemoryBytes: settings.Node.MemoryBytes, Descriptors: settings.Node.Descriptors,
	}
	settings.Platform.URL = "http://" + ip + ":9" // nothing listens here
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, settings, nil, logging.Discard()) }()
	defer func() { stop(); is.NoErr(<-ended) }()
	get := func(url string) string {
		for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(10 * time.Millisecond) {
			response, err := http.Get(url)
			if err != nil {
				continue // the node does not listen yet
			}
			defer response.Body.Close()
			data, err := io.ReadAll(response.Body)
			is.NoErr(err)
			return string(data)
		}
		t.Fatal("no response from the node within 20 s")
		return ""
	}
	_ = get("http://" + settings.Node.CallersAddress + "/x")
	text := get("http://" + settings.Node.AdminAddress + "/metrics")
	is.True(strings.Contains(text, `jasminegate_refusals_total{reason="not-ready"} 1`))
	is.True(strings.Contains(text, `jasminegate_request_seconds_count{class="none",outcome="not-run"} 1`))

	page, err := os.ReadFile("../../docs/operators/metrics.md")
	is.NoErr(err)
	written := make(map[string]bool)
	for _, match := range regexp.MustCompile(`(?m)^(jasminegate_\w+)`).FindAllStringSubmatch(text, -1) {
		name := match[1]
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		written[name] = true
	}
	for name := range written {
		is.True(strings.Contains(string(page), "| `"+name+"` |")) // each metric has a row
	}
	for _, match := range regexp.MustCompile("(?m)^\\| `(jasminegate_\\w+)`").FindAllStringSubmatch(string(page), -1) {
		is.True(written[match[1]]) // each row has a metric
	}
}
