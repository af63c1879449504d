package logging

import "github.com/phuslu/log"

// Events of the process.
var (
	SettingsReloaded = Event{106, log.InfoLevel, "settings read again: changes other than the log level take effect at the next start"}
	ShutdownTimedOut = Event{107, log.WarnLevel, "planned stop ended before the work in flight"}
	NodeStarted      = Event{100, log.InfoLevel, "node started"}
	NodeStopping     = Event{101, log.InfoLevel, "node stops: new work is refused, work in flight is finished"}
	NodeStopped      = Event{102, log.InfoLevel, "node stopped"}
	NodeFenced       = Event{103, log.WarnLevel, "node heard no other node and no platform within the fence timeout: calls are refused until it does"}
	NodeUnfenced     = Event{104, log.InfoLevel, "node is in contact again: calls are admitted"}
	SettingsRejected = Event{105, log.ErrorLevel, "settings rejected"}
)

// Events of configuration.
var (
	TicketAccepted        = Event{200, log.InfoLevel, "ticket accepted"}
	TicketRejected        = Event{201, log.WarnLevel, "ticket rejected"}
	SnapshotInstalled     = Event{202, log.InfoLevel, "snapshot installed"}
	UpdateRefused         = Event{203, log.WarnLevel, "update refused: it does not fit this node's version or its digest differs"}
	PlatformUnreachable   = Event{204, log.WarnLevel, "platform log unreachable: the node follows its peers and tries again"}
	PlatformReachable     = Event{205, log.InfoLevel, "platform log reachable again"}
	LogTrimmed            = Event{206, log.ErrorLevel, "needed tickets are past the log's retention and no checkpoint covers them: the node does not serve"}
	CheckpointWritten     = Event{207, log.InfoLevel, "checkpoint written"}
	PlatformRequestFailed = Event{208, log.DebugLevel, "request to the platform log failed"}
	TicketUndecodable     = Event{210, log.WarnLevel, "configuration on the platform cannot be translated: the one before stays in force"}
	CheckpointUnusable    = Event{209, log.WarnLevel, "checkpoint cannot be used: an older one is read"}
)

// Events of membership.
var (
	MemberJoined        = Event{300, log.InfoLevel, "member joined"}
	MemberSuspect       = Event{301, log.WarnLevel, "member suspected"}
	MemberDead          = Event{302, log.WarnLevel, "member dead"}
	MemberLeft          = Event{303, log.InfoLevel, "member left"}
	TargetReady         = Event{304, log.InfoLevel, "target announced ready"}
	TargetDraining      = Event{305, log.InfoLevel, "target announced draining"}
	TargetExpired       = Event{306, log.WarnLevel, "target's announcement expired"}
	AnnouncementRefused = Event{308, log.WarnLevel, "announcement of a target refused: the known target stays"}
	TargetNotFound      = Event{309, log.InfoLevel, "target that the node's former process served was not found: the node waits for its announcement"}
	NodeSuperseded      = Event{307, log.ErrorLevel, "a later process holds this node's ID: calls are refused; stop this one, or give it another ID"}
)

// Events of calls and connections.
var (
	CallOutcomeUnknown     = Event{400, log.WarnLevel, "outcome of a call could not be learned"}
	PeerConnectionsDropped = Event{401, log.WarnLevel, "path went silent: its pooled connections are dropped"}
	CallFailed             = Event{404, log.InfoLevel, "caller told that its call has no answer from a target"}
	ResponseMismatch       = Event{403, log.WarnLevel, "answer of the local target does not belong to its call: the outcome is unknown and the connection is closed"}
	KeyHistoryIncomplete   = Event{405, log.InfoLevel, "gate refused a call with a key: the gates that may know of an earlier one cannot all be counted on"}
	MalformedMessage       = Event{402, log.WarnLevel, "foreign or malformed bytes on a port: connection closed"}
)
