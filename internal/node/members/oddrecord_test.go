package members

import (
	"bytes"
	"context"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
)

// wireMember returns a valid record of the node.
func wireMember(id string) *wire.Member {
	return &wire.Member{Id: id, Incarnation: 5, Domain: "d", ControlAddress: "10.0.0.1:7620", CallsAddress: "10.0.0.1:7621", State: 1, Service: "depot", Slots: 6}
}

// oddRecords are records that no node writes, by key.
func oddRecords(t *testing.T) map[string][]byte {
	encode := func(change func(*wire.Member), id string) []byte {
		member := wireMember(id)
		change(member)
		data, err := proto.Marshal(&wire.Roster{Domain: "d", Members: []*wire.Member{member}})
		is.New(t).NoErr(err)
		return data
	}
	// Field 2 of a Roster is a message; each level holds the next one.
	nested := []byte{}
	for range 20_000 {
		nested = append([]byte{0x12, 0x7f}, nested...)
	}
	return map[string][]byte{
		"greatest-incarnation": encode(func(m *wire.Member) { m.Incarnation = math.MaxUint64 }, "greatest-incarnation"),
		"greatest-revision":    encode(func(m *wire.Member) { m.Revision = math.MaxUint64 }, "greatest-revision"),
		"greatest-slots":       encode(func(m *wire.Member) { m.Slots = math.MaxUint32 }, "greatest-slots"),
		"port-out-of-range":    encode(func(m *wire.Member) { m.ControlAddress = "10.0.0.1:70000" }, "port-out-of-range"),
		"calls-port":           encode(func(m *wire.Member) { m.CallsAddress = "10.0.0.1:65536" }, "calls-port"),
		"no-port":              encode(func(m *wire.Member) { m.ControlAddress = "10.0.0.1" }, "no-port"),
		"another-key":          encode(func(*wire.Member) {}, "named"),
		"nested":               nested,
		"number-too-large":     append([]byte{0x0a, 0x01, 'd', 0x12, 0x0b, 0x10}, bytes.Repeat([]byte{0xff}, 10)...),
	}
}

// TestOddRecordOfAnotherWriterIsTaken reads a directory with one record of a node and those of another
// writer.
func TestOddRecordOfAnotherWriterIsTaken(t *testing.T) {
	is := is.New(t)
	records := oddRecords(t)
	sound, err := proto.Marshal(&wire.Roster{Domain: "d", Members: []*wire.Member{wireMember("a")}})
	is.NoErr(err)
	records["a"] = sound
	registrations, err := ReadDirectory(context.Background(), &memoryDirectory{records: records}, time.Now(), logging.Discard())
	is.NoErr(err)
	for _, member := range registrations.Members() {
		if member.ID != "a" {
			t.Errorf("the record of %+v is taken", member)
		}
	}
	is.Equal(registrations.Previous("a").Incarnation, uint64(5))
}

// TestOddRecordOfAnotherWriterKeepsNodesApart lets nodes start whose directory has odd records, one of
// them under a node's own key. All nodes must find each other and stay.
func TestOddRecordOfAnotherWriterKeepsNodesApart(t *testing.T) {
	records := oddRecords(t)
	own := wireMember("a")
	own.Incarnation = math.MaxUint64
	data, err := proto.Marshal(&wire.Roster{Domain: "domain-a", Members: []*wire.Member{own}})
	is.New(t).NoErr(err)
	records["a"] = data
	directory := &memoryDirectory{records: records}
	var nodes []*testNode
	for _, id := range []string{"a", "b", "c"} {
		nodes = append(nodes, startDirectoryNode(t, id, "domain-"+id, directory))
	}
	for _, node := range nodes {
		waitFor(t, node.self.ID+" knows all, and no other", func() bool {
			view := node.runner.View()
			for _, member := range view.Members {
				if member.Incarnation == math.MaxUint64 {
					return false
				}
			}
			return len(view.Members) == len(nodes)
		})
	}
}
