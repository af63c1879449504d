package calls

import (
	"time"

	"jasminegate/internal/coordination/keyed"
	"jasminegate/internal/protocol/wire"
)

func wireClaim(r keyed.Request) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Key: r.Key, Kind: uint32(r.Kind),
		Claimant: r.Holder.Gate, ClaimantIncarnation: r.Holder.Incarnation, ClaimantSerial: r.Holder.Serial,
		Dismissed:     &wire.KeyClaim{Gate: r.Dismissed.Gate, Incarnation: r.Dismissed.Incarnation, Serial: r.Dismissed.Serial},
		ToIncarnation: r.ToIncarnation,
		Notes:         wireNotes(r.Notes),
		Handed:        wireHanded(r.Handed),
		Last:          r.Last,
	}
}

func wireHanded(claims []keyed.HandedClaim) []*wire.HandedClaim {
	out := make([]*wire.HandedClaim, 0, len(claims))
	for _, c := range claims {
		holder := &wire.KeyClaim{Gate: c.Holder.Gate, Incarnation: c.Holder.Incarnation, Serial: c.Holder.Serial}
		out = append(out, &wire.HandedClaim{Key: c.Key, Holder: holder, AgeNs: c.Age.Nanoseconds()})
	}
	return out
}

func handedOf(claims []*wire.HandedClaim) []keyed.HandedClaim {
	out := make([]keyed.HandedClaim, 0, len(claims))
	for _, c := range claims {
		holder := keyed.Holder{Gate: c.Holder.GetGate(), Incarnation: c.Holder.GetIncarnation(), Serial: c.Holder.GetSerial()}
		out = append(out, keyed.HandedClaim{Key: c.Key, Holder: holder, Age: time.Duration(c.AgeNs)})
	}
	return out
}

func requestOf(r *wire.ClaimRequest) keyed.Request {
	return keyed.Request{
		Key: r.Key, Kind: keyed.Kind(r.Kind),
		Holder:        keyed.Holder{Gate: r.Claimant, Incarnation: r.ClaimantIncarnation, Serial: r.ClaimantSerial},
		Dismissed:     keyed.Holder{Gate: r.Dismissed.GetGate(), Incarnation: r.Dismissed.GetIncarnation(), Serial: r.Dismissed.GetSerial()},
		ToIncarnation: r.ToIncarnation,
		Notes:         notesOf(r.Notes),
		Handed:        handedOf(r.Handed),
		Last:          r.Last,
	}
}

func wireAnswer(a keyed.Answer) *wire.ClaimAnswer {
	return &wire.ClaimAnswer{
		State: uint32(a.State), Notes: wireNotes(a.Notes),
		Claimant: a.Holder.Gate, ClaimantIncarnation: a.Holder.Incarnation, ClaimantSerial: a.Holder.Serial,
	}
}

func answerOf(a *wire.ClaimAnswer) keyed.Answer {
	return keyed.Answer{
		State: keyed.State(a.State), Notes: notesOf(a.Notes),
		Holder: keyed.Holder{Gate: a.Claimant, Incarnation: a.ClaimantIncarnation, Serial: a.ClaimantSerial},
	}
}

func wireNotes(notes []keyed.Note) []*wire.GateNote {
	out := make([]*wire.GateNote, 0, len(notes))
	for _, n := range notes {
		out = append(out, &wire.GateNote{
			Gate: n.Gate.ID, Incarnation: n.Gate.Incarnation, Running: n.Gate.Running,
			ChangedNs: n.Changed.Nanoseconds(), LostMemoryNs: n.LostMemory.Nanoseconds(),
		})
	}
	return out
}

func notesOf(notes []*wire.GateNote) []keyed.Note {
	out := make([]keyed.Note, 0, len(notes))
	for _, n := range notes {
		out = append(out, keyed.Note{
			Gate:    keyed.Gate{ID: n.Gate, Incarnation: n.Incarnation, Running: n.Running},
			Changed: time.Duration(n.ChangedNs), LostMemory: time.Duration(n.LostMemoryNs),
		})
	}
	return out
}
