package platformlog_test

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"jasminegate/internal/standin/platform"
	"jasminegate/internal/transport/platformlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	stream = platformlog.StreamTickets
	// faultTimeout is the request timeout of cases in which the log does not
	// respond.
	faultTimeout = 100 * time.Millisecond
	// generousTimeout is the request timeout of cases in which the log responds.
	generousTimeout = 30 * time.Second
)

// clock is a virtual clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fixture is a log with the records "r0", "r1" and "r2".
type fixture struct {
	*is.I
	log      platformlog.Log
	platform *platform.Server
	clock    *clock
}

func newFixture(t *testing.T, timeout time.Duration, options platform.Options) *fixture {
	f := &fixture{I: is.New(t), clock: &clock{now: time.UnixMilli(1_700_000_000_000)}}
	options.Now = f.clock.Now
	server, err := platform.Start("127.0.0.1:0", options)
	f.NoErr(err)
	transport := &http.Transport{}
	f.platform = server
	f.log = platformlog.New(server.URL()+"/", timeout, &http.Client{Transport: transport})
	t.Cleanup(func() {
		server.Close()
		transport.CloseIdleConnections()
	})
	for _, text := range []string{"r0", "r1", "r2"} {
		_, err := f.log.Append(context.Background(), stream, []byte(text))
		f.NoErr(err)
	}
	return f
}

func (f *fixture) append(data []byte) (int64, error) {
	return f.log.Append(context.Background(), stream, data)
}

func (f *fixture) read(from int64, wait time.Duration) (platformlog.Batch, error) {
	return f.log.Read(context.Background(), stream, from, wait)
}

func (f *fixture) texts(batch platformlog.Batch) string {
	var texts [][]byte
	for _, record := range batch.Records {
		texts = append(texts, record.Data)
	}
	return string(bytes.Join(texts, []byte(" ")))
}

// awaitReader waits until the platform has a waiting read.
func (f *fixture) awaitReader() {
	for f.platform.Stats().Streams[stream].Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
}

// receivePromptly receives a result that must arrive well before generousTimeout ends.
func receivePromptly[T any](f *fixture, results <-chan T) T {
	f.Helper()
	select {
	case result := <-results:
		return result
	case <-time.After(generousTimeout / 3):
		f.Fail() // no result in time
		panic("unreachable")
	}
}

func TestLogContract(t *testing.T) {
	cases := map[string]struct {
		timeout time.Duration // generousTimeout if 0
		options platform.Options
		run     func(f *fixture)
	}{
		"records come back in order": {run: func(f *fixture) {
			batch, err := f.read(1, 0)
			f.NoErr(err)
			f.Equal(f.texts(batch), "r1 r2")
			f.Equal(batch.Records[0].Offset, int64(1))
			f.True(batch.Records[0].Time.Equal(f.clock.Now()))
			f.Equal(batch.Bounds, platformlog.Bounds{First: 0, Next: 3})
		}},
		"any bytes, including none, come back unchanged": {run: func(f *fixture) {
			data := []byte{0, 0xff, '\n', '"', 0x80}
			offset, err := f.append(data)
			f.NoErr(err)
			_, err = f.append(nil)
			f.NoErr(err)
			batch, err := f.read(offset, 0)
			f.NoErr(err)
			f.Equal(batch.Records[0].Data, data)
			f.Equal(len(batch.Records[1].Data), 0)
		}},
		"streams are independent": {run: func(f *fixture) {
			offset, err := f.log.Append(context.Background(), "another-stream", []byte("x"))
			f.NoErr(err)
			f.Equal(offset, int64(0))
			bounds, err := f.log.Bounds(context.Background(), "never written")
			f.NoErr(err)
			f.Equal(bounds, platformlog.Bounds{})
		}},
		"read at the end returns no records after its wait": {run: func(f *fixture) {
			batch, err := f.read(3, time.Millisecond)
			f.NoErr(err)
			f.Equal(len(batch.Records), 0)
			f.Equal(batch.Bounds.Next, int64(3))
		}},
		"waiting read is woken by an append": {run: func(f *fixture) {
			got := make(chan platformlog.Batch, 1)
			go func() {
				batch, _ := f.read(3, generousTimeout)
				got <- batch
			}()
			f.awaitReader()
			_, err := f.append([]byte("r3"))
			f.NoErr(err)
			f.Equal(f.texts(receivePromptly(f, got)), "r3")
		}},
		"large backlog comes in bounded batches": {run: func(f *fixture) {
			big := bytes.Repeat([]byte("0123456789abcdef"), platformlog.MaxReadBytes/32)
			for range 5 {
				_, err := f.append(big)
				f.NoErr(err)
			}
			next := int64(3)
			for next < 8 {
				batch, err := f.read(next, 0)
				f.NoErr(err)
				f.True(len(batch.Records) > 0 && len(batch.Records) <= 2)
				next += int64(len(batch.Records))
			}
		}},
		"trimmed by count": {options: platform.Options{RetainRecords: 2}, run: func(f *fixture) {
			batch, err := f.read(0, 0)
			f.True(errorx.IsOfType(err, platformlog.ErrTrimmed))
			f.Equal(batch.Bounds, platformlog.Bounds{First: 1, Next: 3})
		}},
		"trimming all records by age keeps the offsets": {options: platform.Options{RetainFor: time.Hour}, run: func(f *fixture) {
			f.clock.advance(time.Hour + time.Second)
			batch, err := f.read(2, 0)
			f.True(errorx.IsOfType(err, platformlog.ErrTrimmed))
			f.Equal(batch.Bounds, platformlog.Bounds{First: 3, Next: 3})
			offset, err := f.append([]byte("r3"))
			f.NoErr(err)
			f.Equal(offset, int64(3))
		}},
		"oversized record is rejected and not added": {options: platform.Options{MaxRecordBytes: 8}, run: func(f *fixture) {
			_, err := f.append([]byte("123456789"))
			f.True(errorx.IsOfType(err, platformlog.ErrTooLarge))
			bounds, err := f.log.Bounds(context.Background(), stream)
			f.NoErr(err)
			f.Equal(bounds.Next, int64(3))
		}},
		"outage": {run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{Outage: true})
			f.expectUnavailable()
			f.expectRecovery(3)
		}},
		"outage ends a waiting read": {run: func(f *fixture) {
			failed := make(chan error, 1)
			go func() {
				_, err := f.read(3, generousTimeout)
				failed <- err
			}()
			f.awaitReader()
			f.platform.SetMode(platform.Mode{Outage: true})
			f.True(errorx.IsOfType(receivePromptly(f, failed), platformlog.ErrUnavailable))
		}},
		"unresponsive": {timeout: faultTimeout, run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{Silent: true})
			f.expectUnavailable()
			f.expectRecovery(3)
		}},
		"slower than the timeout": {timeout: faultTimeout, run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{SlowMS: 60_000})
			f.expectUnavailable()
			f.expectRecovery(3)
		}},
		"slow within the timeout": {run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{SlowMS: 5})
			_, err := f.append([]byte("r3"))
			f.NoErr(err)
		}},
		"append with a lost response is added once": {run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{LostResponses: true})
			_, err := f.append([]byte("r3"))
			f.True(errorx.IsOfType(err, platformlog.ErrUnavailable))
			f.expectRecovery(4)
		}},
		"above the append rate": {run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{AppendsPerSecond: 0.001})
			_, err := f.append([]byte("r3"))
			f.NoErr(err)
			_, err = f.append([]byte("r4"))
			f.True(errorx.IsOfType(err, platformlog.ErrUnavailable))
			f.expectRecovery(4)
		}},
		"cancelled caller ends its wait": {run: func(f *fixture) {
			ctx, cancel := context.WithCancel(context.Background())
			failed := make(chan error, 1)
			go func() {
				_, err := f.log.Read(ctx, stream, 3, generousTimeout)
				failed <- err
			}()
			f.awaitReader()
			cancel()
			f.True(errorx.IsOfType(receivePromptly(f, failed), platformlog.ErrUnavailable))
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			timeout := tc.timeout
			if timeout == 0 {
				timeout = generousTimeout
			}
			tc.run(newFixture(t, timeout, tc.options))
		})
	}
}

// expectUnavailable expects every operation to fail with ErrUnavailable. The next offset
// that expectRecovery checks shows whether the append took effect.
func (f *fixture) expectUnavailable() {
	f.Helper()
	_, err := f.append([]byte("lost"))
	f.True(errorx.IsOfType(err, platformlog.ErrUnavailable)) // append
	_, err = f.read(0, 0)
	f.True(errorx.IsOfType(err, platformlog.ErrUnavailable)) // read
	_, err = f.log.Bounds(context.Background(), stream)
	f.True(errorx.IsOfType(err, platformlog.ErrUnavailable)) // bounds
}

// expectRecovery ends the fault and expects the stream's next offset to be next.
func (f *fixture) expectRecovery(next int64) {
	f.Helper()
	f.platform.SetMode(platform.Mode{})
	bounds, err := f.log.Bounds(context.Background(), stream)
	f.NoErr(err)
	f.Equal(bounds.Next, next)
}

// TestConditionalAppend guards against two results of one rollout: an append must fail if the stream
// has grown since it was read.
func TestConditionalAppend(t *testing.T) {
	f := newFixture(t, generousTimeout, platform.Options{})
	ctx := context.Background()
	log := f.log.(platformlog.RolloutLog)
	f.True(errorx.IsOfType(log.PutIf(ctx, stream, "", []byte("r3"), 2), platformlog.ErrConditionFailed))
	f.NoErr(log.PutIf(ctx, stream, "", []byte("r3"), 3))
	batch, err := log.NewestByKey(ctx, stream)
	f.NoErr(err)
	f.Equal(f.texts(batch), "r0 r1 r2 r3")
	f.Equal(batch.Bounds.Next, int64(4))
}
