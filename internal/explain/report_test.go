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
{"time":"2026-03-14T15:00:09.000000Z","level":"info","node":"n-1","event":404,"request":"7a","left_out":3,"gates":"n-2,n-3","type":"t:too-late","version":"41@b","message":"caller told"}
{"time":"2026-03-14T15:00:08.900000Z","level":"info","node":"n-1","event":404,"request":"7a.1","left_out":0,"gates":"","type":"t:no-route","message":"caller told"}
{"time":"2026-03-14T15:00:09.000000Z","level":"info","node":"n-1","event":404,"request":"7ab","message":"caller told"}
{"time":"2026-03-14T15:00:09.100000Z","event":404,"request":"7a","cut
`
	gateLog = `{"time":"2026-03-14T15:00:08.000000Z","level":"info","node":"n-2","event":305,"service":"depot","message":"target announced draining"}
{"time":"2026-03-14T15:00:08.500000Z","level":"info","node":"n-9","event":305,"service":"depot","message":"target announced draining"}
{"time":"2026-03-14T15:00:08.600000Z","level":"warn","node":"n-1","event":301,"member":"n-9","message":"member suspected"}
{"time":"2026-03-14T15:00:08.700000Z","level":"warn","node":"n-1","event":301,"member":"n-3","message":"member suspected"}
{"time":"2026-03-14T15:00:08.800000Z","level":"info","node":"n-9","event":202,"version":"42@c","message":"snapshot installed"}
{"time":"2026-03-14T15:00:08.900000Z","level":"info","node":"n-8","event":202,"version":"42@c","message":"snapshot installed"}
{"time":"2026-03-14T15:00:08.950000Z","level":"warn","node":"n-1","event":401,"gate":"n-3","message":"path went silent"}
{"time":"2026-03-14T15:00:08.960000Z","level":"warn","node":"n-1","event":401,"gate":"n-3","message":"path went silent"}
{"time":"2026-03-14T15:00:30.000000Z","level":"info","node":"n-2","event":304,"service":"depot","message":"target announced ready"}
`
)

// TestReport follows one request through two logs in the wrong order, with lines
// that are no events, another request of a similar name, and nodes off its way.
func TestReport(t *testing.T) {
	is := is.New(t)
	c := New("7a", 5*time.Second)
	is.NoErr(c.Read(strings.NewReader(gateLog)))
	is.NoErr(c.Read(strings.NewReader(entryLog)))
	r := c.Report()
	var path, around []string
	for _, line := range r.RequestLines {
		path = append(path, line.request())
	}
	for _, line := range r.ContextLines {
		around = append(around, line.Node+" "+line.text("version")+line.text("member")+line.text("service"))
	}
	is.Equal(path, []string{"7a.1", "7a"})
	is.Equal(around, []string{"n-1 41@b", "n-2 depot", "n-1 n-3", "n-9 42@c", "n-1 "}) // the last version before, the first node with the next, no other member, one line of a silent path
	is.Equal(r.DroppedLines, 3)
	is.Equal(r.SkippedLines, 2)
}

// TestLongLines holds that a line without end costs only itself.
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
