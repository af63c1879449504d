// Package logging writes numbered events. docs/events.md is their catalogue.
package logging

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// Event is one kind of log line. Its code never changes its meaning.
type Event struct {
	Code  int
	Level log.Level
	Text  string
}

// Logger writes events as JSON lines.
type Logger struct {
	logger log.Logger
	// writer is nil when lines are written by whoever logs them.
	writer *lossyWriter
}

// New returns a logger that writes events at or above level ("debug", "info",
// "warn", "error") to out, each with the node's id.
func New(out io.Writer, level, node string) *Logger {
	return &Logger{logger: log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000000Z07:00",
		Writer:     log.IOWriter{Writer: out},
		Context:    log.NewContext(nil).Str("node", node).Value(),
	}}
}

// pendingLines is how many lines may wait for a slow reader of the log.
const pendingLines = 2048

// NewLossy is New for a logger that never waits for out: lines that find too many
// waiting are left out and counted. Close ends it.
func NewLossy(out io.Writer, level, node string) *Logger {
	l := New(out, level, node)
	l.writer = &lossyWriter{async: log.AsyncWriter{Writer: l.logger.Writer, ChannelSize: pendingLines, DiscardOnFull: true}}
	l.logger.Writer = l.writer
	return l
}

// Close writes the lines that wait. Nothing is logged afterwards.
func (l *Logger) Close() error {
	if l.writer == nil {
		return nil
	}
	return l.writer.async.Close()
}

// DroppedLines returns how many lines a slow reader has cost.
func (l *Logger) DroppedLines() uint64 {
	if l.writer == nil {
		return 0
	}
	return l.writer.leftOut.Load()
}

// lossyWriter hands lines to another goroutine, and counts those that it has no
// room for.
type lossyWriter struct {
	async   log.AsyncWriter
	leftOut atomic.Uint64
}

// WriteEntry implements log.Writer.
func (w *lossyWriter) WriteEntry(entry *log.Entry) (int, error) {
	n, err := w.async.WriteEntry(entry)
	if err != nil {
		w.leftOut.Add(1)
	}
	return n, err
}

// SetLevel changes the least level of the events that are written.
func (l *Logger) SetLevel(level string) { l.logger.SetLevel(log.ParseLevel(level)) }

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, "error", "")
}

// Event starts a line of the event. The caller adds fields and ends it with
// Send. The result is nil, and safe to use, when the level is filtered out or
// the logger is nil.
func (l *Logger) Event(event Event) *Line {
	if l == nil {
		return nil
	}
	entry := l.logger.WithLevel(event.Level)
	if entry == nil {
		return nil
	}
	return &Line{entry: entry.Int("event", event.Code), text: event.Text}
}

// Line is one log line under construction. A nil line takes fields and writes
// nothing. A line is used by one goroutine and ends with Send.
type Line struct {
	entry *log.Entry
	text  string
}

// Str adds a text field.
func (l *Line) Str(key, value string) *Line {
	if l != nil {
		l.entry.Str(key, value)
	}
	return l
}

// Uint adds a whole number.
func (l *Line) Uint(key string, value uint64) *Line {
	if l != nil {
		l.entry.Uint64(key, value)
	}
	return l
}

// Int adds a whole number.
func (l *Line) Int(key string, value int64) *Line {
	if l != nil {
		l.entry.Int64(key, value)
	}
	return l
}

// Err adds an error's text under "error".
func (l *Line) Err(err error) *Line {
	if l != nil {
		l.entry.Err(err)
	}
	return l
}

// Send writes the line.
func (l *Line) Send() {
	if l != nil {
		l.entry.Msg(l.text)
	}
}
