package members

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/platformlog"
)

// memoryDirectory keeps the newest record of each key in memory. While out it
// answers nothing.
type memoryDirectory struct {
	mu      sync.Mutex
	out     bool
	puts    int // refused while out
	records map[string][]byte
}

func (d *memoryDirectory) setOut(out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.out = out
}

func (d *memoryDirectory) refused() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.puts
}

func (d *memoryDirectory) Put(_ context.Context, _, key string, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.out {
		d.puts++
		return platformlog.ErrUnavailable.New("out")
	}
	d.records[key] = data
	if data == nil {
		delete(d.records, key)
	}
	return nil
}

func (d *memoryDirectory) NewestByKey(context.Context, string) (platformlog.Batch, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.out {
		return platformlog.Batch{}, platformlog.ErrUnavailable.New("out")
	}
	var batch platformlog.Batch
	for _, data := range d.records {
		batch.Records = append(batch.Records, platformlog.Record{Data: data})
	}
	slices.SortFunc(batch.Records, func(a, b platformlog.Record) int { return strings.Compare(string(a.Data), string(b.Data)) })
	return batch, nil
}

// TestNodesFindEachOtherByTheDirectory starts nodes without seeds while the
// directory is out and holds a foreign record.
func TestNodesFindEachOtherByTheDirectory(t *testing.T) {
	directory := &memoryDirectory{out: true, records: map[string][]byte{"foreign": []byte("not a roster")}}
	var nodes []*testNode
	for _, id := range []string{"a", "b", "c"} {
		nodes = append(nodes, startDirectoryNode(t, id, "domain-"+id, directory))
	}
	directory.setOut(false)
	for _, node := range nodes {
		waitFor(t, node.self.ID+" knows all", func() bool { return len(node.duty.View().Members) == 3 })
	}
}

// TestFormer holds that a process learns of the one before it, so that
// it comes after it although the clock was set back.
func TestFormer(t *testing.T) {
	is := is.New(t)
	directory := &memoryDirectory{records: make(map[string][]byte)}
	former, err := ReadPreviousSelf(context.Background(), directory, "a")
	is.NoErr(err)
	is.Equal(former.Incarnation, uint64(0))
	self := membership.Member{ID: "a", Incarnation: 77, Domain: "d", ControlAddress: "10.0.0.1:1"}
	data, err := proto.Marshal(&wire.Roster{Domain: "d", Members: []*wire.Member{joinableMember(self)}})
	is.NoErr(err)
	is.NoErr(directory.Put(context.Background(), platformlog.StreamMembers, "a", data))
	former, err = ReadPreviousSelf(context.Background(), directory, "a")
	is.NoErr(err)
	is.Equal(former.Incarnation, uint64(77))
	directory.setOut(true)
	_, err = ReadPreviousSelf(context.Background(), directory, "a")
	is.True(err != nil)
}

// TestDirectoryKeepsTheTarget holds that the next process of a node finds there
// what this one knew of the target, also after the target has gone.
func TestDirectoryKeepsTheTarget(t *testing.T) {
	directory := &memoryDirectory{records: make(map[string][]byte)}
	node := startDirectoryNode(t, "a", "domain-a", directory)
	kept := func() bool {
		former, err := ReadPreviousSelf(context.Background(), directory, "a")
		return err == nil && former.Service == "depot" && former.Slots == 6
	}
	waitFor(t, "the node is written down", func() bool {
		former, err := ReadPreviousSelf(context.Background(), directory, "a")
		return err == nil && former.ID == "a"
	})
	directory.setOut(true)
	node.duty.SetTarget("depot", 6, membership.TargetReady)
	waitFor(t, "the target is tried and refused", func() bool { return directory.refused() > 0 })
	directory.setOut(false)
	waitFor(t, "the target is written down", kept)
	node.duty.SetTarget("", 0, membership.TargetAbsent)
	waitFor(t, "the node has no target", func() bool { return node.duty.View().Self.Slots == 0 })
	if !kept() {
		t.Error("the target is forgotten")
	}
}
