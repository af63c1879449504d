package peer

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWriteTimesOut writes to a peer that never reads.
func TestWriteTimesOut(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	conn := &deadlineConn{Conn: near, timeout: time.Millisecond}
	_, err := conn.Write([]byte("x"))
	is.True(os.IsTimeout(err))
}
