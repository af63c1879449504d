// Package logging writes log events, each with a numeric code. docs/events.md
// lists them.
package logging

import (
	"io"

	"github.com/phuslu/log"
)

// Event is one kind of log line. The meaning of a code never changes.
type Event struct {
	Code  int
	Level log.Level
	Text  string
}

// Logger writes events as JSON lines.
type Logger struct {
	logger log.Logger
	// writer is nil if lines are written synchronously.
	writer *lossyWriter
	panics panicCounter
}

// New returns a logger that writes events at or above level ("debug", "info",
// "warn", "error") to out, each with the node's ID.
func New(out io.Writer, level, node string) *Logger {
	return &Logger{logger: log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000000Z07:00",
		Writer:     log.IOWriter{Writer: out},
		Context:    log.NewContext(nil).Str("node", node).Value(),
	}}
}

// NewLossy is like New, but writes lines asynchronously and never blocks on out.
// Lines that arrive while the buffer is full are dropped and counted. The caller
// must call Close.
func NewLossy(out io.Writer, level, node string) *Logger {
	writer := newLossyWriter(out)
	l := New(writer, level, node)
	l.writer = writer
	return l
}

// Close writes the buffered lines. Later lines are dropped and counted.
func (l *Logger) Close() error {
	if l.writer == nil {
		return nil
	}
	return l.writer.Close()
}

// DroppedLines returns the number of lines dropped because the buffer was full.
func (l *Logger) DroppedLines() uint64 {
	if l.writer == nil {
		return 0
	}
	return l.writer.dropped.Load()
}

// SetLevel changes the minimum level of the events that are written.
func (l *Logger) SetLevel(level string) { l.logger.SetLevel(log.ParseLevel(level)) }

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, "error", "")
}

// Event starts a log line for the event. The caller adds fields and writes the line
// with Send. The result is nil, and safe to use, if the event's level is filtered
// out or the logger is nil.
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

// Line is a log line to which fields can be added until Send. A nil line accepts
// fields and writes nothing. A line is not safe for concurrent use.
type Line struct {
	entry *log.Entry
	text  string
}

// Str adds a string field.
func (l *Line) Str(key, value string) *Line {
	if l != nil {
		l.entry.Str(key, value)
	}
	return l
}

// Uint adds an unsigned integer field.
func (l *Line) Uint(key string, value uint64) *Line {
	if l != nil {
		l.entry.Uint64(key, value)
	}
	return l
}

// Int adds an integer field.
func (l *Line) Int(key string, value int64) *Line {
	if l != nil {
		l.entry.Int64(key, value)
	}
	return l
}

// Err adds the error's text as the field "error".
func (l *Line) Err(err error) *Line {
	if l != nil {
		l.entry.Err(err)
	}
	return l
}

// Send writes the line. The line must not be used afterwards.
func (l *Line) Send() {
	if l != nil {
		l.entry.Msg(l.text)
	}
}
