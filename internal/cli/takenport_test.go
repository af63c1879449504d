package cli

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
)

// TestTakenPortEndsNode: a node whose port was still held by the process before it ended at once.
func TestTakenPortEndsNode(t *testing.T) {
	n := newLonelyNode(t)
	held, err := net.Listen("tcp", n.admin)
	n.NoErr(err)
	out, err := n.cmd.StdoutPipe()
	n.NoErr(err)
	n.start()
	line, err := bufio.NewReader(out).ReadString('\n')
	n.NoErr(err)
	n.True(strings.Contains(line, `"event":112`)) // the port is taken
	go func() { _, _ = io.Copy(io.Discard, out) }()
	n.NoErr(held.Close())
	n.awaitServing()
}
