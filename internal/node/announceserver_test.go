package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAnnouncementWithoutEndIsReadOn sends an announcement whose body stops midway: the
// connection must be given up, so that a target in trouble cannot hold ever more of them.
func TestAnnouncementWithoutEndIsReadOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := newAnnounceServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "PUT /-/announcement HTTP/1.1\r\nHost: n\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(announceTimeout + 10*time.Second)))
	_, err = io.Copy(io.Discard, conn)
	is.NoErr(err) // the connection was not closed
}
