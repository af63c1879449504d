package node

import (
	"compress/gzip"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/transport/peer"
	"jasminegate/internal/transport/platformlog"
)

// endlessServer responds to every connection with the endless writer until the connection ends.
func endlessServer(t *testing.T, write func(io.Writer) error) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for err := error(nil); err == nil; {
					err = write(conn)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// startingWith returns a writer of start once, then of part without end.
func startingWith(start, part string) func(io.Writer) error {
	started := false
	return func(w io.Writer) error {
		text := part
		if !started {
			started, text = true, start
		}
		_, err := io.WriteString(w, text)
		return err
	}
}

// TestEndlessResponseOfPlatformIsKept guards against a platform that sends bytes without end in
// place of a response, which fill a node's memory: 10 MiB of a head were read.
func TestEndlessResponseOfPlatformIsKept(t *testing.T) {
	const (
		headBound = 256 << 10
		bodyBound = 32 << 20
	)
	filler := strings.Repeat("a", 4096)
	var zeros *gzip.Writer
	for name, tc := range map[string]struct {
		write func(io.Writer) error
		bound uint64
	}{
		"no response":       {startingWith(filler, filler), headBound},
		"head":              {startingWith("HTTP/1.1 200 OK\r\n", "X-Filler: "+filler+"\r\n"), headBound},
		"interim responses": {startingWith("HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: "+filler+"\r\n\r\n"), headBound},
		"body":              {startingWith("HTTP/1.1 200 OK\r\n\r\n", filler), bodyBound},
		"chunks":            {startingWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n"+filler+"\r\n"), bodyBound},
		"trailers":          {startingWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: "+filler+"\r\n"), bodyBound},
		"compressed zeros": {func(w io.Writer) error {
			if zeros == nil {
				if _, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n"); err != nil {
					return err
				}
				zeros = gzip.NewWriter(w)
			}
			_, err := zeros.Write(make([]byte, 1<<20))
			return err
		}, bodyBound},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := &node{settings: config.Defaults(), platformTraffic: &peer.Traffic{}}
			client := platformlog.New(endlessServer(t, tc.write), time.Second, n.platformClient())
			ended := make(chan error, 1)
			go func() {
				_, err := client.Read(context.Background(), platformlog.StreamTickets, 0, 0)
				ended <- err
			}()
			select {
			case err := <-ended:
				is.True(err != nil)
			case <-time.After(10 * time.Second):
				t.Fatal("the request goes on")
			}
			is.True(n.platformTraffic.Received() <= tc.bound) // more bytes were read than a response has
		})
	}
}
