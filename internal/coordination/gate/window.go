package gate

// windowSize is the number of counters of one entry that a window tracks.
const windowSize = 8192

const wordBits = 64

// window is the anti-replay window of RFC 6479 with a second bit per counter. For
// the last windowSize counters of one entry incarnation it records which were
// received or fenced, and which were started. Lower counters are below the window:
// their calls are refused, and their outcome is unknown.
type window struct {
	incarnation uint64
	// highest is the highest counter marked as seen.
	highest uint64
	seen    [windowSize / wordBits]uint64
	started [windowSize / wordBits]uint64
}

// below reports whether the counter is below the window.
func (w *window) below(counter uint64) bool {
	return counter+windowSize <= w.highest
}

// mark records that the counter was received or fenced, and advances the window.
func (w *window) mark(counter uint64) {
	if counter > w.highest {
		w.advance(counter)
	}
	word, bit := position(counter)
	w.seen[word] |= bit
}

// advance moves the window up to the counter and clears the bits of new counters.
func (w *window) advance(counter uint64) {
	if counter-w.highest >= windowSize {
		clear(w.seen[:])
		clear(w.started[:])
		w.highest = counter
		return
	}
	for next := w.highest + 1; next <= counter; next++ {
		word, bit := position(next)
		w.seen[word] &^= bit
		w.started[word] &^= bit
	}
	w.highest = counter
}

// isSeen reports whether the counter was received or fenced. It must not be below
// the window.
func (w *window) isSeen(counter uint64) bool {
	word, bit := position(counter)
	return counter <= w.highest && w.seen[word]&bit != 0
}

// setStarted sets or clears the started bit of the counter. It is cleared when it
// turns out that the target did not run the call.
func (w *window) setStarted(counter uint64, started bool) {
	if w.below(counter) {
		return
	}
	word, bit := position(counter)
	w.started[word] &^= bit
	if started {
		w.started[word] |= bit
	}
}

// isStarted reports whether the call of the counter was started. The counter must
// not be below the window.
func (w *window) isStarted(counter uint64) bool {
	word, bit := position(counter)
	return counter <= w.highest && w.started[word]&bit != 0
}

// position returns the word and the bit of the counter.
func position(counter uint64) (word int, bit uint64) {
	index := counter % windowSize
	return int(index / wordBits), 1 << (index % wordBits)
}
