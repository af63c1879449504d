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
	// faultTimeout is the request timeout of cases in which the log does not answer.
	faultTimeout = 100 * time.Millisecond
	// generousTimeout is that of cases in which it does.
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

// awaitReader waits until a read waits at the platform.
func (f *fixture) awaitReader() {
	for f.platform.Stats().Streams[stream].Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
}

// promptly receives what must come long before a wait of generousTimeout ends.
func promptly[T any](f *fixture, results <-chan T) T {
	f.Helper()
	select {
	case result := <-results:
		return result
	case <-time.After(generousTimeout / 3):
		f.Fail() // nothing came before the wait's end
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
		"any bytes, also none, come back unchanged": {run: func(f *fixture) {
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
		"streams are apart": {run: func(f *fixture) {
			offset, err := f.log.Append(context.Background(), "another-stream", []byte("x"))
			f.NoErr(err)
			f.Equal(offset, int64(0))
			bounds, err := f.log.Bounds(context.Background(), "never written")
			f.NoErr(err)
			f.Equal(bounds, platformlog.Bounds{})
		}},
		"read at the end returns nothing after its wait": {run: func(f *fixture) {
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
			f.Equal(f.texts(promptly(f, got)), "r3")
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
		"trimmed by age down to nothing keeps the offsets": {options: platform.Options{RetainFor: time.Hour}, run: func(f *fixture) {
			f.clock.advance(time.Hour + time.Second)
			batch, err := f.read(2, 0)
			f.True(errorx.IsOfType(err, platformlog.ErrTrimmed))
			f.Equal(batch.Bounds, platformlog.Bounds{First: 3, Next: 3})
			offset, err := f.append([]byte("r3"))
			f.NoErr(err)
			f.Equal(offset, int64(3))
		}},
		"too large is refused and takes no effect": {options: platform.Options{MaxRecordBytes: 8}, run: func(f *fixture) {
			_, err := f.append([]byte("123456789"))
			f.True(errorx.IsOfType(err, platformlog.ErrTooLarge))
			bounds, err := f.log.Bounds(context.Background(), stream)
			f.NoErr(err)
			f.Equal(bounds.Next, int64(3))
		}},
		"outage": {run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{Outage: true})
			f.unavailable()
			f.recovers(3)
		}},
		"outage ends a waiting read": {run: func(f *fixture) {
			failed := make(chan error, 1)
			go func() {
				_, err := f.read(3, generousTimeout)
				failed <- err
			}()
			f.awaitReader()
			f.platform.SetMode(platform.Mode{Outage: true})
			f.True(errorx.IsOfType(promptly(f, failed), platformlog.ErrUnavailable))
		}},
		"silent": {timeout: faultTimeout, run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{Silent: true})
			f.unavailable()
			f.recovers(3)
		}},
		"slower than the timeout": {timeout: faultTimeout, run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{SlowMS: 60_000})
			f.unavailable()
			f.recovers(3)
		}},
		"slow within the timeout": {run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{SlowMS: 5})
			_, err := f.append([]byte("r3"))
			f.NoErr(err)
		}},
		"lost answer takes effect once": {run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{LostResponses: true})
			_, err := f.append([]byte("r3"))
			f.True(errorx.IsOfType(err, platformlog.ErrUnavailable))
			f.recovers(4)
		}},
		"above the append rate": {run: func(f *fixture) {
			f.platform.SetMode(platform.Mode{AppendsPerSecond: 0.001})
			_, err := f.append([]byte("r3"))
			f.NoErr(err)
			_, err = f.append([]byte("r4"))
			f.True(errorx.IsOfType(err, platformlog.ErrUnavailable))
			f.recovers(4)
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
			f.True(errorx.IsOfType(promptly(f, failed), platformlog.ErrUnavailable))
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

// unavailable expects every operation to fail and none to take effect.
func (f *fixture) unavailable() {
	f.Helper()
	_, err := f.append([]byte("lost"))
	f.True(errorx.IsOfType(err, platformlog.ErrUnavailable)) // append
	_, err = f.read(0, 0)
	f.True(errorx.IsOfType(err, platformlog.ErrUnavailable)) // read
	_, err = f.log.Bounds(context.Background(), stream)
	f.True(errorx.IsOfType(err, platformlog.ErrUnavailable)) // bounds
}

// recovers ends the fault and expects next records.
func (f *fixture) recovers(next int64) {
	f.Helper()
	f.platform.SetMode(platform.Mode{})
	bounds, err := f.log.Bounds(context.Background(), stream)
	f.NoErr(err)
	f.Equal(bounds.Next, next)
}
