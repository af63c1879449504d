package spread

import (
	"slices"

	"jasminegate/internal/state"
)

// historyEntry holds the resources changed by one ticket or one update.
type historyEntry struct {
	position uint64
	changes  []state.Resource
	bytes    int
}

// history keeps the newest changes, up to maxHistoryEntries and maxHistoryBytes, and the
// last change whatever its size: without it, the change could not be pushed.
type history struct {
	// base is the position before the oldest entry.
	base    uint64
	entries []historyEntry
	bytes   int
}

// reset drops all entries and starts again at position.
func (h *history) reset(position uint64) {
	*h = history{base: position}
}

func (h *history) add(position uint64, changes []state.Resource) {
	size := 0
	for _, change := range changes {
		size += len(change.Name) + len(change.Data)
	}
	h.entries = append(h.entries, historyEntry{position: position, changes: changes, bytes: size})
	h.bytes += size
	for len(h.entries) > maxHistoryEntries || h.bytes > maxHistoryBytes && len(h.entries) > 1 {
		h.base = h.entries[0].position
		h.bytes -= h.entries[0].bytes
		h.entries[0] = historyEntry{}
		h.entries = h.entries[1:]
	}
}

// since returns the newest state of each resource that changed after position.
// It reports false if the entries after position were dropped, or if position is of a
// later era of the log than the entry before it: its holder then has a state that these
// changes do not build on.
func (h *history) since(position uint64) ([]state.Resource, bool) {
	if position < h.base {
		return nil, false
	}
	seen := make(map[state.Key]bool)
	var changes []state.Resource
	for _, entry := range slices.Backward(h.entries) {
		if entry.position <= position {
			if entry.position != position && state.EraOf(entry.position) != state.EraOf(position) {
				return nil, false
			}
			return changes, true
		}
		for _, change := range entry.changes {
			if !seen[change.Key] {
				seen[change.Key] = true
				changes = append(changes, change)
			}
		}
	}
	return changes, h.base == position || state.EraOf(h.base) == state.EraOf(position)
}
