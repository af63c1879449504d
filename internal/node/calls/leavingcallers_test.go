package calls

import (
	"net"
	"testing"
)

// TestCallersThatLeaveEjectGates guards against a healthy gate that gets no calls because
// callers left while it ran theirs: the entry took the end of their attempts for lost connections.
func TestCallersThatLeaveEjectGates(t *testing.T) {
	const leaving, staying = 8, 16
	target := newPipelineTarget()
	f := newFleet(t, fleetOptions{nodes: 3, remoteOnly: true, slots: 40}, target.ServeHTTP)
	f.serveCallers(0)
	for i := range leaving {
		caller := f.dialCaller()
		caller.send(get("/read/leaves"))
		f.waitFor("it runs", func() bool { return len(target.running()) == i+1 })
		caller.NoErr(caller.conn.(*net.TCPConn).SetLinger(0)) // resets the connection
		caller.NoErr(caller.conn.Close())
		f.waitFor("it ends", func() bool { return target.ended.Load() == int64(i+1) })
	}
	before := [2]uint64{f.nodes[1].runner.counters.started.Load(), f.nodes[2].runner.counters.started.Load()}
	for range staying {
		f.dialCaller().send(get("/read/stays"))
	}
	f.waitFor("all run", func() bool { return len(target.running()) == leaving+staying })
	for i, started := range before {
		f.is.True(f.nodes[i+1].runner.counters.started.Load() > started)
	}
	target.finish("/read/stays")
}
