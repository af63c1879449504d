package configuration

import (
	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/spread"
	"jasminegate/internal/logging"
	"jasminegate/internal/state"
)

// perform carries out one action of the machine. If the action's queue is full,
// it returns the event that reports the request as failed, otherwise nil.
func (r *Runner) perform(action spread.Action, reply chan spread.Action) spread.Event {
	switch a := action.(type) {
	case spread.ReadTickets, spread.ReadCheckpoint, spread.ReadNewestTicket:
		if !r.logReads.TryPush(action) {
			return spread.PlatformFailed{Request: action}
		}
	case spread.ReadBounds, spread.WriteCheckpoint:
		if !r.otherRequests.TryPush(action) {
			return spread.PlatformFailed{Request: action}
		}
	case spread.PullUpdate:
		if !r.pulls.TryPush(a) {
			return spread.PullDone{PeerID: a.Peer.ID, Failed: true}
		}
	case spread.PushUpdate:
		if !r.pushes.TryPush(a) {
			return spread.PushDone{PeerID: a.Peer.ID, Failed: true}
		}
	case spread.RespondToPush, spread.RespondToPull:
		reply <- action
	case spread.Install:
		r.install(a.Snapshot)
	case spread.ReportVerdict:
		r.logVerdict(a.Verdict)
	case spread.ReportRefusedUpdate:
		r.stats.updatesRefused.Add(1)
		r.options.Logger.Event(logging.UpdateRefused).Err(a.Err).Send()
	case spread.ReportCondition:
		r.logCondition(a.Condition)
	}
	return nil
}

// install makes snapshot the configuration that the node serves with.
func (r *Runner) install(snapshot *state.Snapshot) {
	r.installed.Store(snapshot)
	r.stats.installs.Add(1)
	r.options.Logger.Event(logging.SnapshotInstalled).Str("version", snapshot.Version().String()).Send()
}

func (r *Runner) logVerdict(verdict acceptance.Verdict) {
	event := logging.TicketAccepted
	if !verdict.Outcome.Effective() {
		event = logging.TicketRejected
	}
	line := r.options.Logger.Event(event).Uint("number", verdict.Number).Uint("position", verdict.Position)
	line.Str("outcome", verdict.Outcome.String()).Str("reason", verdict.Reason).Send()
}

func (r *Runner) logCondition(condition spread.Condition) {
	switch condition {
	case spread.PlatformUnreachable:
		r.options.Logger.Event(logging.PlatformUnreachable).Send()
	case spread.PlatformReachable:
		r.options.Logger.Event(logging.PlatformReachable).Send()
	case spread.LogTrimmed:
		r.options.Logger.Event(logging.LogTrimmed).Send()
	}
}
