package members

import (
	"context"
	"sync"
	"testing"
	"time"

	"jasminegate/internal/config"
	"jasminegate/internal/transport/platformlog"
)

// memoryLog is a members stream in memory. While unavailable it fails every
// request.
type memoryLog struct {
	mu          sync.Mutex
	unavailable bool
	records     []platformlog.Record
}

func (l *memoryLog) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

func (l *memoryLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return 0, platformlog.ErrUnavailable.New("out")
	}
	offset := int64(len(l.records))
	l.records = append(l.records, platformlog.Record{Offset: offset, Time: time.Now(), Data: data})
	return offset, nil
}

func (l *memoryLog) Read(_ context.Context, _ string, from int64, _ time.Duration) (platformlog.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return platformlog.Batch{}, platformlog.ErrUnavailable.New("out")
	}
	return platformlog.Batch{Bounds: platformlog.Bounds{Next: int64(len(l.records))}, Records: l.records[from:]}, nil
}

func (l *memoryLog) Bounds(context.Context, string) (platformlog.Bounds, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return platformlog.Bounds{}, platformlog.ErrUnavailable.New("out")
	}
	return platformlog.Bounds{Next: int64(len(l.records))}, nil
}

func TestNodesWithoutSeedsFindEachOtherByTheStream(t *testing.T) {
	log := &memoryLog{unavailable: true}
	log.records = append(log.records, platformlog.Record{Data: []byte("not a roster")})
	first := startNode(t, "a", "east", nil, log)
	second := startNode(t, "b", "west", nil, log)
	log.setUnavailable(false)
	for _, node := range []*testNode{first, second} {
		waitFor(t, node.self.ID+" knows both", func() bool { return len(node.runner.View().Members) == 2 })
	}
}

func TestSummariesOfAllDomainsAreGatheredWhenRead(t *testing.T) {
	first := startNode(t, "a", "east", nil, nil)
	startNode(t, "b", "east", []config.Seed{first.seed()}, nil)
	startNode(t, "c", "west", []config.Seed{first.seed()}, nil)
	waitFor(t, "a has recent summaries of both domains", func() bool {
		least := make(map[string]uint64)
		for _, s := range first.runner.Summaries(time.Now()) {
			if s.Age <= recentSummaryAge {
				least[s.Domain] = s.LeastPosition
			}
		}
		return least["east"] == 7 && least["west"] == 7
	})
}
