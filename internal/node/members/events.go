package members

import (
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
)

// stateEvents holds the event for each new state. MemberJoined is logged also when
// a suspected or dead member is alive again.
var stateEvents = map[membership.State]logging.Event{
	membership.Alive:   logging.MemberJoined,
	membership.Suspect: logging.MemberSuspect,
	membership.Dead:    logging.MemberDead,
	membership.Left:    logging.MemberLeft,
}

// logMemberChange logs a change of a member's state or incarnation.
func (r *Runner) logMemberChange(change membership.MemberChanged) {
	unchanged := change.Previous.State == change.Current.State && change.Previous.Incarnation == change.Current.Incarnation
	if unchanged {
		return
	}
	event, known := stateEvents[change.Current.State]
	if !known {
		return
	}
	r.options.Logger.Event(event).
		Str("member", change.Current.ID).
		Str("domain", change.Current.Domain).
		Uint("incarnation", change.Current.Incarnation).
		Send()
}

// logFenceChange logs when the node becomes fenced or unfenced.
func (r *Runner) logFenceChange() {
	fenced := !r.Serving(r.options.Now())
	if fenced == r.fenced {
		return
	}
	r.fenced = fenced
	event := logging.NodeUnfenced
	if fenced {
		event = logging.NodeFenced
	}
	r.options.Logger.Event(event).Send()
}
