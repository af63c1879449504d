package calls

import (
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// TestResentRequestIsSaidNotToHaveRun gives a request a second connection, which fails before its
// first byte: the target may have run the request that it got over the first one. That one was
// kept and broke without a response, the second one is new.
func TestResentRequestIsSaidNotToHaveRun(t *testing.T) {
	is := is.New(t)
	tracker := &writeTracker{}
	first, second := &targetConn{}, &targetConn{}
	tracker.trace().GotConn(httptrace.GotConnInfo{Conn: first, Reused: true, WasIdle: true, IdleTime: recentUse})
	is.True(!tracker.sent())
	first.written.Add(100)
	is.True(tracker.sent())
	is.True(tracker.lostKeptConnection())
	tracker.trace().GotConn(httptrace.GotConnInfo{Conn: second})
	is.True(tracker.sent())
	is.True(!tracker.lostKeptConnection())
}
