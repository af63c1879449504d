package members

import (
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
)

var stateEvents = map[membership.State]logging.Event{
	membership.Alive:   logging.MemberJoined,
	membership.Suspect: logging.MemberSuspect,
	membership.Dead:    logging.MemberDead,
	membership.Left:    logging.MemberLeft,
}

// logChange logs a change of a member's state or the start of its process.
func (d *Runner) logChange(change membership.MemberChanged) {
	same := change.Previous.State == change.Current.State && change.Previous.Incarnation == change.Current.Incarnation
	if same {
		return
	}
	event, known := stateEvents[change.Current.State]
	if !known {
		return
	}
	d.options.Logger.Event(event).
		Str("member", change.Current.ID).
		Str("domain", change.Current.Domain).
		Uint("incarnation", change.Current.Incarnation).
		Send()
}

// logFence logs when the node begins or ends to refuse calls.
func (d *Runner) logFence() {
	fenced := !d.Serving(d.options.Now())
	if fenced == d.fenced {
		return
	}
	d.fenced = fenced
	event := logging.NodeUnfenced
	if fenced {
		event = logging.NodeFenced
	}
	d.options.Logger.Event(event).Send()
}
