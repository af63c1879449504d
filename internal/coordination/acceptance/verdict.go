package acceptance

import (
	"strings"
	"unicode/utf8"

	"github.com/joomcode/errorx"

	"jasminegate/internal/state"
)

// MaxReasonBytes is the maximum length of a verdict's reason in bytes.
const MaxReasonBytes = 300

// Outcome is the result of one ticket record.
type Outcome uint8

// Outcomes of a ticket record.
const (
	Accepted    Outcome = 1
	Repeated    Outcome = 2 // same number and content as an accepted ticket; no effect
	Stale       Outcome = 3 // number not above the highest accepted one
	Undecodable Outcome = 4
	Invalid     Outcome = 5
	Dangling    Outcome = 6 // a route would refer to a service that does not exist
	Conflicting Outcome = 7 // number of an accepted ticket with other content
	Oversized   Outcome = 8
)

// Effective reports whether the ticket's changes are accepted, by this record or by
// an earlier one that it repeats.
func (o Outcome) Effective() bool { return o == Accepted || o == Repeated }

// String returns the outcome's name as used in logs and status responses.
func (o Outcome) String() string {
	names := [...]string{"undecided", "accepted", "repeated", "stale", "undecodable", "invalid", "dangling", "conflicting", "oversized"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Verdict is the outcome of the record at one log offset.
type Verdict struct {
	Number uint64
	// ContentHash is state.Ticket.ContentHash, or the hash of the raw record when it
	// cannot be decoded or is oversized.
	ContentHash uint64
	Position    uint64 // one past the record's log offset
	Outcome     Outcome
	Reason      string // empty for Accepted and Repeated
}

func (v Verdict) rejected(err error) Verdict {
	v.Outcome = outcomeOf(err)
	v.Reason = reasonOf(err)
	return v
}

func outcomeOf(err error) Outcome {
	switch {
	case errorx.IsOfType(err, state.ErrDangling):
		return Dangling
	case errorx.IsOfType(err, state.ErrInvalid), errorx.IsOfType(err, state.ErrAmbiguousKey):
		return Invalid
	case errorx.IsOfType(err, state.ErrTooLarge):
		return Oversized
	case errorx.IsOfType(err, errStale):
		return Stale
	case errorx.IsOfType(err, errConflicting):
		return Conflicting
	default:
		return Undecodable
	}
}

func reasonOf(err error) string {
	reason := err.Error()
	if typed := errorx.Cast(err); typed != nil {
		reason = typed.Message()
	}
	return truncate(strings.ToValidUTF8(reason, "?"))
}

// truncate shortens text to MaxReasonBytes at most without splitting a character.
func truncate(text string) string {
	if len(text) <= MaxReasonBytes {
		return text
	}
	end := MaxReasonBytes
	for !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end]
}
