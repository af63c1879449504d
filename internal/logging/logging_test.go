package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

func TestLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	event := Event{Code: 999, Level: log.WarnLevel, Text: "something happened"}
	New(&out, "info", "n1").Event(event).Str("peer", "n2\"\n").Uint("version", 1<<63).Int("delta", -5).Err(errors.New("cut off")).Send()
	var line struct {
		Level, Node, Peer, Error, Message string
		Event                             int
		Version                           uint64
		Delta                             int64
	}
	is.Equal(strings.Count(out.String(), "\n"), 1) // one line per event
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line.Level, "warn")
	is.Equal(line.Node, "n1")
	is.Equal(line.Event, 999)
	is.Equal(line.Peer, "n2\"\n")
	is.Equal(line.Version, uint64(1<<63))
	is.Equal(line.Delta, int64(-5))
	is.Equal(line.Error, "cut off")
	is.Equal(line.Message, "something happened")
}

func TestFilteredLineWritesNothing(t *testing.T) {
	var out bytes.Buffer
	cases := map[string]struct {
		logger *Logger
		level  log.Level
		writes bool
	}{
		"below the level": {New(&out, "error", "n1"), log.InfoLevel, false},
		"at the level":    {New(&out, "error", "n1"), log.ErrorLevel, true},
		"nil logger":      {nil, log.ErrorLevel, false},
		"discarded":       {Discard(), log.ErrorLevel, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out.Reset()
			line := tc.logger.Event(Event{Code: 1, Level: tc.level, Text: "text"})
			line.Str("a", "b").Uint("c", 1).Int("d", 2).Err(errors.New("e")).Send()
			is.Equal(out.Len() > 0, tc.writes)
		})
	}
}
