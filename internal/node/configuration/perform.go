package configuration

import (
	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/spread"
	"jasminegate/internal/logging"
	"jasminegate/internal/state"
)

// requestQueueFull is the reason of a platform request that could not be queued.
const requestQueueFull = "the queue of requests to the platform is full"

// perform carries out one action of the machine. If the action's queue is full,
// it returns the event that reports the request as failed, otherwise nil.
func (r *Runner) perform(action spread.Action, reply chan spread.Action) spread.Event {
	switch a := action.(type) {
	case spread.ReadTickets, spread.ReadCheckpoint, spread.ReadNewestTicket:
		if !r.logReads.TryPush(action) {
			return spread.PlatformFailed{Request: action, Reason: requestQueueFull}
		}
	case spread.ReadBounds, spread.WriteCheckpoint:
		if !r.otherRequests.TryPush(action) {
			return spread.PlatformFailed{Request: action, Reason: requestQueueFull}
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
	case spread.ReportCurrent:
		if r.options.OnCurrent != nil {
			r.options.OnCurrent(a.At, a.Version)
		}
	case spread.ReportVerdict:
		r.logVerdict(a.Verdict)
	case spread.ReportRefusedUpdate:
		r.stats.updatesRefused.Add(1)
		r.options.Logger.Event(logging.UpdateRefused).Err(a.Err).Send()
	case spread.ReportCondition:
		r.logCondition(a)
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
		r.stats.ticketsRejected.Add(1)
	}
	line := r.options.Logger.Event(event).Uint("number", verdict.Number).Uint("position", verdict.Position)
	line.Str("outcome", verdict.Outcome.String()).Str("reason", verdict.Reason).Send()
}

func (r *Runner) logCondition(report spread.ReportCondition) {
	switch report.Condition {
	case spread.PlatformUnreachable:
		line := r.options.Logger.Event(logging.PlatformUnreachable)
		line.Str("request", requestName(report.Failed)).Str("reason", report.Reason).Send()
	case spread.PlatformReachable:
		line := r.options.Logger.Event(logging.PlatformReachable).Int("after_ms", report.Lasted.Milliseconds())
		line.Int("delay_ms", report.Delay.Milliseconds()).Uint("era", r.LogEra()).Send()
	case spread.LogTrimmed:
		r.options.Logger.Event(logging.LogTrimmed).Send()
	}
}

// requestName names a request to the platform in the log.
func requestName(request spread.Action) string {
	switch request.(type) {
	case spread.ReadTickets:
		return "tickets"
	case spread.ReadNewestTicket:
		return "newest-ticket"
	case spread.ReadBounds:
		return "bounds"
	case spread.ReadCheckpoint:
		return "checkpoint"
	case spread.WriteCheckpoint:
		return "write-checkpoint"
	default:
		return "unknown"
	}
}
