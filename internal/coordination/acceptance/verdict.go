package acceptance

import (
	"strings"
	"unicode/utf8"

	"github.com/joomcode/errorx"

	"jasminegate/internal/state"
)

// MaxReasonBytes bounds the reason of a verdict.
const MaxReasonBytes = 300

// Outcome is the result of one ticket record.
type Outcome uint8

// Outcomes of a ticket record.
const (
	Accepted    Outcome = 1
	Repeated    Outcome = 2 // same number and content as an accepted ticket; no effect
	Stale       Outcome = 3 // number at or below the highest accepted one
	Undecodable Outcome = 4
	Invalid     Outcome = 5
	Dangling    Outcome = 6
	Conflicting Outcome = 7 // number of an accepted ticket, other content
	Oversized   Outcome = 8
)

// Effective reports whether the configuration holds the ticket's changes, from
// this record or from the one that it repeats.
func (o Outcome) Effective() bool { return o == Accepted || o == Repeated }

// String returns the outcome's name for logs and read-back.
func (o Outcome) String() string {
	names := [...]string{"undecided", "accepted", "repeated", "stale", "undecodable", "invalid", "dangling", "conflicting", "oversized"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Verdict is what became of the record at one offset.
type Verdict struct {
	Number uint64
	// Content is state.Ticket.ContentHash, or the hash of the raw bytes when
	// they are not a ticket.
	Content  uint64
	Position uint64 // one past the record's log offset
	Outcome  Outcome
	Reason   string
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
	case errorx.IsOfType(err, state.ErrInvalid):
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

// truncate cuts text to MaxReasonBytes at a character's border.
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
