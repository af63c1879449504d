package calls

import "testing"

var hostileBodies = []hostileResponse{
	{name: "until close", head: "HTTP/1.1 200 OK\r\n" + echoedID + "\r\n\r\n", repeated: "body", mayEnd: true},
	{name: "chunks", head: "HTTP/1.1 200 OK\r\n" + echoedID + "Transfer-Encoding: chunked\r\n\r\n", repeated: "4\r\nbody\r\n", mayEnd: true},
	{name: "chunks of one byte", head: "HTTP/1.1 200 OK\r\n" + echoedID + "Transfer-Encoding: chunked\r\n\r\n", repeated: "1\r\nb\r\n", mayEnd: true},
	{name: "chunk size", head: "HTTP/1.1 200 OK\r\n" + echoedID + "Transfer-Encoding: chunked\r\n\r\n", repeated: "z"},
	{name: "zeros of a chunk size", head: "HTTP/1.1 200 OK\r\n" + echoedID + "Transfer-Encoding: chunked\r\n\r\n", repeated: "0"},
	{name: "chunk extension", head: "HTTP/1.1 200 OK\r\n" + echoedID + "Transfer-Encoding: chunked\r\n\r\n4;a=", repeated: "b"},
	{name: "trailer lines", head: "HTTP/1.1 200 OK\r\n" + echoedID + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", repeated: "A: b\r\n"},
	{name: "trailer value", head: "HTTP/1.1 200 OK\r\n" + echoedID + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: ", repeated: "b"},
}

// TestEndlessResponseBodyTakesMemory lets a target send a body without end.
func TestEndlessResponseBodyTakesMemory(t *testing.T) {
	for _, row := range hostileBodies {
		t.Run(row.name, func(t *testing.T) { playHostile(t, row) })
	}
}

// TestProtocolSwitchIsReadOn lets a target switch to another protocol, which no caller
// asked for, and send bytes without end.
func TestProtocolSwitchIsReadOn(t *testing.T) {
	playHostile(t, hostileResponse{name: "other protocol", head: "HTTP/1.1 101 Switching Protocols\r\n" + echoedID + "Upgrade: x\r\nConnection: upgrade\r\n\r\n", repeated: "body"})
}
