package members

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/platformlog"
)

// memoryDirectory is a compacted log in memory. While unavailable it fails every
// request.
type memoryDirectory struct {
	mu          sync.Mutex
	unavailable bool
	refusedPuts int // while unavailable
	records     map[string][]byte
}

func (d *memoryDirectory) setUnavailable(unavailable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable = unavailable
}

func (d *memoryDirectory) refusedCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusedPuts
}

func (d *memoryDirectory) Put(_ context.Context, _, key string, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		d.refusedPuts++
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
	if d.unavailable {
		return platformlog.Batch{}, platformlog.ErrUnavailable.New("out")
	}
	var batch platformlog.Batch
	for key, data := range d.records {
		batch.Records = append(batch.Records, platformlog.Record{Key: key, Data: data})
	}
	slices.SortFunc(batch.Records, func(a, b platformlog.Record) int { return strings.Compare(string(a.Data), string(b.Data)) })
	return batch, nil
}

// TestNodesFindEachOtherByTheDirectory checks that nodes without seeds find each
// other, although the directory is unavailable at their start and contains a
// malformed record.
func TestNodesFindEachOtherByTheDirectory(t *testing.T) {
	directory := &memoryDirectory{unavailable: true, records: map[string][]byte{"foreign": []byte("not a roster")}}
	var nodes []*testNode
	for _, id := range []string{"a", "b", "c"} {
		nodes = append(nodes, startDirectoryNode(t, id, "domain-"+id, directory))
	}
	directory.setUnavailable(false)
	for _, node := range nodes {
		waitFor(t, node.self.ID+" knows all", func() bool { return len(node.runner.View().Members) == 3 })
	}
}

// readPrevious returns the record of the node's previous incarnation.
func readPrevious(directory platformlog.CompactedLog, id string) (membership.Member, error) {
	registrations, err := ReadDirectory(context.Background(), directory, time.Now(), logging.Discard())
	return registrations.Previous(id), err
}

// TestReadPreviousSelf checks that a node reads the record of its previous
// incarnation, which it needs for a higher incarnation number after the clock was
// set back.
func TestReadPreviousSelf(t *testing.T) {
	is := is.New(t)
	directory := &memoryDirectory{records: make(map[string][]byte)}
	previous, err := readPrevious(directory, "a")
	is.NoErr(err)
	is.Equal(previous.Incarnation, uint64(0))
	self := membership.Member{ID: "a", Incarnation: 77, Domain: "d", ControlAddress: "10.0.0.1:1"}
	data, err := proto.Marshal(&wire.Roster{Domain: "d", Members: []*wire.Member{joinableMember(self)}})
	is.NoErr(err)
	is.NoErr(directory.Put(context.Background(), platformlog.StreamMembers, "a", data))
	previous, err = readPrevious(directory, "a")
	is.NoErr(err)
	is.Equal(previous.Incarnation, uint64(77))
	directory.setUnavailable(true)
	_, err = readPrevious(directory, "a")
	is.True(err != nil)
}

// TestDirectoryKeepsTheTarget checks that the directory keeps a node's target for
// the node's next incarnation, also if the first write fails and after the target
// is removed.
func TestDirectoryKeepsTheTarget(t *testing.T) {
	directory := &memoryDirectory{records: make(map[string][]byte)}
	node := startDirectoryNode(t, "a", "domain-a", directory)
	targetRecorded := func() bool {
		previous, err := readPrevious(directory, "a")
		return err == nil && previous.Service == "depot" && previous.Slots == 6 && previous.TargetVersion == "v2"
	}
	waitFor(t, "the node is registered", func() bool {
		previous, err := readPrevious(directory, "a")
		return err == nil && previous.ID == "a"
	})
	directory.setUnavailable(true)
	node.runner.SetTarget("depot", 6, membership.TargetReady, "v2")
	waitFor(t, "a write of the target is refused", func() bool { return directory.refusedCount() > 0 })
	directory.setUnavailable(false)
	waitFor(t, "the target is recorded", targetRecorded)
	node.runner.SetTarget("", 0, membership.TargetAbsent, "")
	waitFor(t, "the node has no target", func() bool { return node.runner.View().Self.Slots == 0 })
	if !targetRecorded() {
		t.Error("the directory lost the target after its removal from the node")
	}
}

// TestUnreachableLogStaysUnknownToPeers guards against a reader that the log turns away, and
// whose peers never learn it.
func TestUnreachableLogStaysUnknownToPeers(t *testing.T) {
	directory := &memoryDirectory{records: make(map[string][]byte)}
	var unreachable atomic.Bool
	runNode(t, "a", "domain", Options{Directory: directory, LogUnreachable: unreachable.Load})
	peer := startDirectoryNode(t, "b", "domain", directory)
	peerKnows := func(want bool) func() bool {
		return func() bool {
			members := peer.runner.View().Members
			return len(members) == 2 && members[0].LogUnreachable == want
		}
	}
	unreachable.Store(true)
	waitFor(t, "the peer knows that the log is unreachable", peerKnows(true))
	unreachable.Store(false)
	waitFor(t, "the peer knows that the log is reachable", peerKnows(false))
}
