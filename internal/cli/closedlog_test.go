package cli

import (
	"bufio"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestClosedLogPipeEndsNode: a node whose log reader is gone was ended by SIGPIPE at its next line.
func TestClosedLogPipeEndsNode(t *testing.T) {
	n := newLonelyNode(t)
	reader, writer, err := os.Pipe()
	n.NoErr(err)
	n.cmd.Stdout, n.cmd.Stderr = writer, writer
	n.start()
	n.NoErr(writer.Close())
	_, err = bufio.NewReader(reader).ReadString('\n')
	n.NoErr(err)
	n.awaitServing()
	n.NoErr(reader.Close())
	for range 5 {
		n.NoErr(n.cmd.Process.Signal(syscall.SIGHUP)) // writes a line
		time.Sleep(50 * time.Millisecond)
	}
	n.awaitServing()
	n.NoErr(n.cmd.Process.Signal(syscall.SIGTERM))
	n.NoErr(<-n.ended)
}
