package calls

import (
	"time"

	"jasminegate/internal/coordination/keyed"
	"jasminegate/internal/protocol/wire"
)

// toWireClaimRequest converts a request. In this file, some names differ on the
// wire: the messages KeyClaim, GateNote and ClaimAnswer are keyed.ClaimID,
// GateHistory and Response; the fields Claimant and Holder are ClaimID, Dismissed
// is Released, Notes is History, Handed is Claims, ChangedNs is
// SinceMembershipChange and LostMemoryNs is SinceRestart.
func toWireClaimRequest(r keyed.Request) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Key: r.Key, Kind: uint32(r.Kind),
		Claimant: r.ClaimID.Gate, ClaimantIncarnation: r.ClaimID.Incarnation, ClaimantSerial: r.ClaimID.Serial,
		Dismissed:     &wire.KeyClaim{Gate: r.Released.Gate, Incarnation: r.Released.Incarnation, Serial: r.Released.Serial},
		ToIncarnation: r.ToIncarnation,
		Notes:         toWireGateNotes(r.History),
		Handed:        toWireHandedClaims(r.Claims),
		Last:          r.Last,
	}
}

func toWireHandedClaims(claims []keyed.HandedClaim) []*wire.HandedClaim {
	out := make([]*wire.HandedClaim, 0, len(claims))
	for _, c := range claims {
		claimID := &wire.KeyClaim{Gate: c.ClaimID.Gate, Incarnation: c.ClaimID.Incarnation, Serial: c.ClaimID.Serial}
		out = append(out, &wire.HandedClaim{Key: c.Key, Holder: claimID, AgeNs: c.Age.Nanoseconds()})
	}
	return out
}

func fromWireHandedClaims(claims []*wire.HandedClaim) []keyed.HandedClaim {
	out := make([]keyed.HandedClaim, 0, len(claims))
	for _, c := range claims {
		claimID := keyed.ClaimID{Gate: c.Holder.GetGate(), Incarnation: c.Holder.GetIncarnation(), Serial: c.Holder.GetSerial()}
		out = append(out, keyed.HandedClaim{Key: c.Key, ClaimID: claimID, Age: time.Duration(c.AgeNs)})
	}
	return out
}

func fromWireClaimRequest(r *wire.ClaimRequest) keyed.Request {
	return keyed.Request{
		Key: r.Key, Kind: keyed.Kind(r.Kind),
		ClaimID:       keyed.ClaimID{Gate: r.Claimant, Incarnation: r.ClaimantIncarnation, Serial: r.ClaimantSerial},
		Released:      keyed.ClaimID{Gate: r.Dismissed.GetGate(), Incarnation: r.Dismissed.GetIncarnation(), Serial: r.Dismissed.GetSerial()},
		ToIncarnation: r.ToIncarnation,
		History:       fromWireGateNotes(r.Notes),
		Claims:        fromWireHandedClaims(r.Handed),
		Last:          r.Last,
	}
}

func toWireClaimAnswer(r keyed.Response) *wire.ClaimAnswer {
	return &wire.ClaimAnswer{
		State: uint32(r.State), Notes: toWireGateNotes(r.History),
		Claimant: r.ClaimID.Gate, ClaimantIncarnation: r.ClaimID.Incarnation, ClaimantSerial: r.ClaimID.Serial,
	}
}

func fromWireClaimAnswer(a *wire.ClaimAnswer) keyed.Response {
	return keyed.Response{
		State: keyed.State(a.State), History: fromWireGateNotes(a.Notes),
		ClaimID: keyed.ClaimID{Gate: a.Claimant, Incarnation: a.ClaimantIncarnation, Serial: a.ClaimantSerial},
	}
}

func toWireGateNotes(history []keyed.GateHistory) []*wire.GateNote {
	out := make([]*wire.GateNote, 0, len(history))
	for _, h := range history {
		out = append(out, &wire.GateNote{
			Gate: h.Gate.ID, Incarnation: h.Gate.Incarnation, Running: h.Gate.Running,
			ChangedNs: h.SinceMembershipChange.Nanoseconds(), LostMemoryNs: h.SinceRestart.Nanoseconds(),
		})
	}
	return out
}

func fromWireGateNotes(notes []*wire.GateNote) []keyed.GateHistory {
	out := make([]keyed.GateHistory, 0, len(notes))
	for _, n := range notes {
		out = append(out, keyed.GateHistory{
			Gate:                  keyed.Gate{ID: n.Gate, Incarnation: n.Incarnation, Running: n.Running},
			SinceMembershipChange: time.Duration(n.ChangedNs), SinceRestart: time.Duration(n.LostMemoryNs),
		})
	}
	return out
}
