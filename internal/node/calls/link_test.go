package calls

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/protocol/headers"
)

const (
	slowLinkMbps  = 7.0
	downloadBytes = 90_000
)

// newSlowLinkFleet starts two nodes. Calls at the first one run at the second one, whose link is
// slow; the target's responses to /read/large are large. runs counts its runs.
func newSlowLinkFleet(t *testing.T) (f *fleet, runs *atomic.Int64) {
	runs = &atomic.Int64{}
	large := strings.Repeat("x", downloadBytes)
	f = newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, slots: 60, settings: shortSilenceTimeout}, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/read/large" {
			_, _ = io.WriteString(w, large)
			return
		}
		_, _ = io.WriteString(w, "short")
	})
	f.nodes[1].runner.link = newLinkPacer(slowLinkMbps)
	return f, runs
}

// TestDownloadsWaitForSlowLink sends downloads together. They take the time that the link needs,
// no gate counts as silent meanwhile, and short calls go ahead.
func TestDownloadsWaitForSlowLink(t *testing.T) {
	is := is.New(t)
	const downloads = 12
	f, _ := newSlowLinkFleet(t)
	is.Equal(len(f.call(0, "GET", "/read/large", "").body), downloadBytes)
	begun := time.Now()
	var group sync.WaitGroup
	for range downloads {
		group.Go(func() {
			if got := f.call(0, "GET", "/read/large", ""); got.status != http.StatusOK || len(got.body) != downloadBytes {
				t.Errorf("status %d, %d bytes, %v", got.status, len(got.body), got.err)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	shortBegun := time.Now()
	is.Equal(f.call(0, "GET", "/read/short", "").body, "short")
	short := time.Since(shortBegun)
	group.Wait()
	took := time.Since(begun)
	least := time.Duration((downloads-1)*downloadBytes*8/int(slowLinkMbps)) * time.Microsecond
	t.Logf("%d downloads took %v, the link needs %v; a short call took %v", downloads, took, least, short)
	is.True(took >= least)
	is.True(short < least/2)
	is.Equal(f.nodes[0].runner.counters.connectionsLost.Load(), uint64(0))
}

// TestDownloadsBeyondSlowLinkAreRefused asks for more than the link bears in time. What is
// admitted is answered in time; the rest is refused as not run, and has not run.
func TestDownloadsBeyondSlowLinkAreRefused(t *testing.T) {
	is := is.New(t)
	f, runs := newSlowLinkFleet(t)
	for range 3 {
		is.Equal(f.call(0, "GET", "/read/large", "").status, http.StatusOK) // its size is known
	}
	before := runs.Load()
	var answered, refused atomic.Int64
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() {
			got := f.call(0, "GET", "/read/large", "", headers.Timeout, "1500")
			switch {
			case got.status == http.StatusOK && len(got.body) == downloadBytes:
				answered.Add(1)
			case got.status == http.StatusServiceUnavailable && got.header.Get(headers.Outcome) == "not-run":
				refused.Add(1)
			default:
				t.Errorf("status %d, %d bytes, %v", got.status, len(got.body), got.err)
			}
		})
	}
	group.Wait()
	t.Logf("%d answered, %d refused", answered.Load(), refused.Load())
	is.True(answered.Load() >= 5 && refused.Load() >= 10)
	is.Equal(runs.Load()-before, answered.Load())
}
