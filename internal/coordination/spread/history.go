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
	// skipped is true if the ticket replaced records that this node did not apply. The changes
	// build on the entry before, and on no position between the two.
	skipped bool
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
	h.append(historyEntry{position: position, changes: changes})
}

// addReplacement adds the changes by a ticket that was read without the records before it.
func (h *history) addReplacement(position uint64, changes []state.Resource) {
	h.append(historyEntry{position: position, changes: changes, skipped: true})
}

func (h *history) append(entry historyEntry) {
	for _, change := range entry.changes {
		entry.bytes += len(change.Name) + len(change.Data)
	}
	h.entries = append(h.entries, entry)
	h.bytes += entry.bytes
	for len(h.entries) > maxHistoryEntries || h.bytes > maxHistoryBytes && len(h.entries) > 1 {
		h.base = h.entries[0].position
		h.bytes -= h.entries[0].bytes
		h.entries[0] = historyEntry{}
		h.entries = h.entries[1:]
	}
}

// since returns the newest state of each resource that changed after position.
// It reports false if the entries after position were dropped, or if position lies between two
// entries and this node did not apply the records between them, or one of them is of another era
// of the log: its holder then has a state that these changes do not build on.
func (h *history) since(position uint64) ([]state.Resource, bool) {
	if position < h.base {
		return nil, false
	}
	seen := make(map[state.Key]bool)
	var changes []state.Resource
	skipped := false
	for _, entry := range slices.Backward(h.entries) {
		if entry.position <= position {
			return changes, buildsOn(entry.position, position, skipped)
		}
		skipped = entry.skipped || state.EraOf(entry.position) != state.EraOf(position)
		for _, change := range entry.changes {
			if !seen[change.Key] {
				seen[change.Key] = true
				changes = append(changes, change)
			}
		}
	}
	return changes, buildsOn(h.base, position, skipped)
}

// buildsOn reports whether the changes after the entry also apply to the state at position,
// which is not before it. The next entry may have skipped records.
func buildsOn(entry, position uint64, skipped bool) bool {
	return entry == position || !skipped && state.EraOf(entry) == state.EraOf(position)
}
