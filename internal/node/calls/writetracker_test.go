package calls

import (
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// TestResentRequestIsSaidNotToHaveRun lets the HTTP client send a request again over a
// second connection that fails before its first byte: the target may have run the
// request that it got over the first one.
func TestResentRequestIsSaidNotToHaveRun(t *testing.T) {
	is := is.New(t)
	resent := 0
	tracker := &writeTracker{resent: func() { resent++ }}
	first, second := &targetConn{}, &targetConn{}
	tracker.trace().GotConn(httptrace.GotConnInfo{Conn: first})
	is.True(!tracker.sent())
	first.written.Add(100)
	is.True(tracker.sent())
	tracker.trace().GotConn(httptrace.GotConnInfo{Conn: second})
	is.Equal(resent, 1)
	is.True(tracker.sent())
}
