package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	entryLog = `noise before
   39.2 n-1 {"time":"2026-03-14T15:00:01.000000Z","level":"info","node":"n-1","event":202,"version":"40@a","message":"snapshot installed"}
{"time":"2026-03-14T15:00:02.000000Z","level":"info","node":"n-1","event":202,"version":"41@b","message":"snapshot installed"}
{"time":"2026-03-14T15:00:09.000000Z","level":"info","node":"n-1","event":404,"request":"7a","left_out":3,"gates":"n-2,n-3","type":"t:too-late","version":"41@b","message":"call failed"}
{"time":"2026-03-14T15:00:08.900000Z","level":"info","node":"n-1","event":404,"request":"7a.1","left_out":0,"gates":"","type":"t:no-route","message":"call failed"}
{"time":"2026-03-14T15:00:09.000000Z","level":"info","node":"n-1","event":404,"request":"7ab","message":"call failed"}
{"time":"2026-03-14T15:00:09.100000Z","event":404,"request":"7a","cut
`
	gateLog = `{"time":"2026-03-14T15:00:08.000000Z","level":"info","node":"n-2","event":305,"service":"depot","message":"target announced draining"}
{"time":"2026-03-14T15:00:08.100000Z","level":"info","node":"n-2","event":310,"limit":"9.3","message":"target changed the rate limit"}
{"time":"2026-03-14T15:00:08.500000Z","level":"info","node":"n-9","event":305,"service":"depot","message":"target announced draining"}
{"time":"2026-03-14T15:00:08.600000Z","level":"warn","node":"n-1","event":301,"member":"n-9","message":"member suspected"}
{"time":"2026-03-14T15:00:08.700000Z","level":"warn","node":"n-1","event":301,"member":"n-3","message":"member suspected"}
{"time":"2026-03-14T15:00:08.800000Z","level":"info","node":"n-9","event":202,"version":"42@c","message":"snapshot installed"}
{"time":"2026-03-14T15:00:08.900000Z","level":"info","node":"n-8","event":202,"version":"42@c","message":"snapshot installed"}
{"time":"2026-03-14T15:00:08.950000Z","level":"warn","node":"n-1","event":401,"gate":"n-3","message":"connection to a gate broke or timed out"}
{"time":"2026-03-14T15:00:08.960000Z","level":"warn","node":"n-1","event":401,"gate":"n-3","message":"connection to a gate broke or timed out"}
{"time":"2026-03-14T15:00:30.000000Z","level":"info","node":"n-2","event":304,"service":"depot","message":"target announced ready"}
`
)

// TestReport reports on one request in two logs read in the wrong order, with lines
// that are not events, another request with a similar ID, and nodes that are not
// involved.
func TestReport(t *testing.T) {
	is := is.New(t)
	c := New("7a", 5*time.Second)
	is.NoErr(c.Read(strings.NewReader(gateLog)))
	is.NoErr(c.Read(strings.NewReader(entryLog)))
	r := c.Report()
	var requests, context []string
	for _, line := range r.RequestLines {
		requests = append(requests, line.request())
	}
	for _, line := range r.ContextLines {
		context = append(context, line.Node+" "+line.text("version")+line.text("member")+line.text("service")+line.text("limit"))
	}
	is.Equal(requests, []string{"7a.1", "7a"})
	is.Equal(context, []string{"n-1 41@b", "n-2 depot", "n-2 9.3", "n-1 n-3", "n-9 42@c", "n-1 "}) // want the last version before the window, the first node to install the next one, only members involved, and one line per gate whose connections were lost
	is.Equal(r.DroppedLines, 3)
	is.Equal(r.SkippedLines, 2)
}

// TestLongLines checks that a line over the limit is skipped and the next one read.
func TestLongLines(t *testing.T) {
	is := is.New(t)
	c := New("7a", time.Second)
	is.NoErr(c.Read(strings.NewReader(strings.Repeat("x", 3*maxLineBytes) + "\n" + entryLog)))
	r := c.Report()
	is.Equal(len(r.RequestLines), 2)
	is.Equal(r.SkippedLines, 3)
}

func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	c := New("8b", time.Second)
	is.NoErr(c.Read(strings.NewReader(entryLog)))
	is.Equal(len(c.Report().RequestLines), 0)
}
