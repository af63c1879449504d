package configuration

import (
	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/spread"
	"jasminegate/internal/logging"
	"jasminegate/internal/state"
)

// perform carries out one action. It returns the event of a request that could
// not be handed to a worker.
func (d *Runner) perform(action spread.Action, reply chan spread.Action) spread.Event {
	switch a := action.(type) {
	case spread.ReadTickets, spread.ReadCheckpoint, spread.ReadNewestTicket:
		if !d.tail.TryPush(action) {
			return spread.PlatformFailed{Request: action}
		}
	case spread.ReadBounds, spread.WriteCheckpoint:
		if !d.requests.TryPush(action) {
			return spread.PlatformFailed{Request: action}
		}
	case spread.PullUpdate:
		if !d.pulls.TryPush(a) {
			return spread.PullDone{PeerID: a.Peer.ID, Failed: true}
		}
	case spread.PushUpdate:
		if !d.pushes.TryPush(a) {
			return spread.PushDone{PeerID: a.Peer.ID, Failed: true}
		}
	case spread.AnswerPush, spread.AnswerPull:
		reply <- action
	case spread.Install:
		d.install(a.Snapshot)
	case spread.ReportVerdict:
		d.logVerdict(a.Verdict)
	case spread.ReportRefusedUpdate:
		d.stats.updatesRefused.Add(1)
		d.options.Logger.Event(logging.UpdateRefused).Err(a.Err).Send()
	case spread.ReportCondition:
		d.logCondition(a.Condition)
	}
	return nil
}

// install swaps the snapshot that the node serves with.
func (d *Runner) install(snapshot *state.Snapshot) {
	d.installed.Store(snapshot)
	d.stats.installs.Add(1)
	d.options.Logger.Event(logging.SnapshotInstalled).Str("version", snapshot.Version().String()).Send()
}

func (d *Runner) logVerdict(verdict acceptance.Verdict) {
	event := logging.TicketAccepted
	if !verdict.Outcome.Effective() {
		event = logging.TicketRejected
	}
	line := d.options.Logger.Event(event).Uint("number", verdict.Number).Uint("position", verdict.Position)
	line.Str("outcome", verdict.Outcome.String()).Str("reason", verdict.Reason).Send()
}

func (d *Runner) logCondition(condition spread.Condition) {
	switch condition {
	case spread.PlatformUnreachable:
		d.options.Logger.Event(logging.PlatformUnreachable).Send()
	case spread.PlatformReachable:
		d.options.Logger.Event(logging.PlatformReachable).Send()
	case spread.LogTrimmed:
		d.options.Logger.Event(logging.LogTrimmed).Send()
	}
}
