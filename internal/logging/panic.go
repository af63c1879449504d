package logging

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of guarded code.
var (
	Errors = errorx.NewNamespace("logging")

	// ErrPanicked means that guarded code panicked.
	ErrPanicked = errorx.NewType(Errors, "panicked")
)

const (
	// maxStackBytes bounds the stack in the event of a panic.
	maxStackBytes = 4 << 10
	// panicLogInterval is the least time between two events of panics.
	panicLogInterval = time.Second
)

// panicCounter counts the recovered panics and bounds their events.
type panicCounter struct {
	mu      sync.Mutex
	count   uint64
	lastLog time.Time
	leftOut uint64
}

// add counts a panic. It reports whether to log it, and how many were not logged since
// the last one that was.
func (c *panicCounter) add(now time.Time) (logged bool, leftOut uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	if now.Sub(c.lastLog) < panicLogInterval {
		c.leftOut++
		return false, 0
	}
	leftOut, c.leftOut = c.leftOut, 0
	c.lastLog = now
	return true, leftOut
}

// Panicked counts a recovered panic and logs it, at most once in panicLogInterval. It
// must be called by the deferred function that recovered it, so that the stack has the
// place of the panic.
func (l *Logger) Panicked(place string, value any) {
	if l == nil {
		return
	}
	logged, leftOut := l.panics.add(time.Now())
	if !logged {
		return
	}
	stack := debug.Stack()
	stack = stack[:min(len(stack), maxStackBytes)]
	l.Event(PanicRecovered).Str("place", place).Str("panic", fmt.Sprint(value)).Uint("left_out", leftOut).Str("stack", string(stack)).Send()
}

// Guard runs run. A panic is logged and returned as an error.
func (l *Logger) Guard(place string, run func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			l.Panicked(place, value)
			err = ErrPanicked.New("%s: %v: look for event %d in the log", place, value, PanicRecovered.Code)
		}
	}()
	return run()
}

// Contained returns run for a timer, a callback or a goroutine, which nothing else guards. A panic
// is logged, and end is called unless it is nil.
func (l *Logger) Contained(place string, run, end func()) func() {
	return func() {
		err := l.Guard(place, func() error { run(); return nil })
		if err != nil && end != nil {
			end()
		}
	}
}

// Panics returns the number of recovered panics.
func (l *Logger) Panics() uint64 {
	if l == nil {
		return 0
	}
	l.panics.mu.Lock()
	defer l.panics.mu.Unlock()
	return l.panics.count
}
