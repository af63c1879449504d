package logging

import "github.com/phuslu/log"

// Events of the node process.
var (
	SettingsReloaded = Event{106, log.InfoLevel, "settings reloaded: the new log level applies now, other changes take effect after a restart"}
	ShutdownTimedOut = Event{107, log.WarnLevel, "planned shutdown reached its time limit with work still in flight"}
	NodeStarted      = Event{100, log.InfoLevel, "node started"}
	NodeStopping     = Event{101, log.InfoLevel, "node is shutting down: after the leave delay it refuses new work and finishes the work in flight"}
	NodeStopped      = Event{102, log.InfoLevel, "node stopped"}
	NodeFenced       = Event{103, log.WarnLevel, "node is fenced: it lacks the contact with other nodes or the platform that serving requires, has left or was replaced: calls are refused"}
	NodeUnfenced     = Event{104, log.InfoLevel, "node is no longer fenced: calls are admitted"}
	SettingsRejected = Event{105, log.ErrorLevel, "settings rejected"}
	AcceptFailed     = Event{108, log.WarnLevel, "connections could not be accepted: the node tries again"}
	PanicRecovered   = Event{109, log.ErrorLevel, "a part of the node's work failed by a fault of the program: that work is given up"}
	SettingDerived   = Event{111, log.InfoLevel, "setting follows from what the deployment states"}
	PortTaken        = Event{112, log.WarnLevel, "port is taken: the node tries again"}
	StatementIgnored = Event{113, log.ErrorLevel, "what the deployment states cannot be used: the node starts as if it were not stated"}
	NodeFailed       = Event{110, log.ErrorLevel, "a part of the node failed: the node finishes the work in flight and ends"}
)

// Events of configuration distribution.
var (
	TicketAccepted        = Event{200, log.InfoLevel, "ticket accepted"}
	TicketRejected        = Event{201, log.WarnLevel, "ticket rejected"}
	SnapshotInstalled     = Event{202, log.InfoLevel, "snapshot installed"}
	UpdateRefused         = Event{203, log.WarnLevel, "update refused: it cannot be encoded or decoded, does not follow this node's version, or its digest differs"}
	PlatformUnreachable   = Event{204, log.WarnLevel, "platform log unreachable: the node takes updates from its peers and retries"}
	PlatformReachable     = Event{205, log.InfoLevel, "platform log reachable again"}
	LogTrimmed            = Event{206, log.ErrorLevel, "platform log no longer holds tickets that the node needs and no checkpoint covers them: the node gets no newer configuration from the log, and does not serve if it has none"}
	CheckpointWritten     = Event{207, log.InfoLevel, "checkpoint written"}
	PlatformRequestFailed = Event{208, log.DebugLevel, "request to the platform log failed"}
	TicketUndecodable     = Event{210, log.WarnLevel, "configuration on the platform cannot be translated: the previous configuration stays in force"}
	ConfigurationAdjusted = Event{212, log.WarnLevel, "configuration has values that this release cannot use as they are written: the nearest ones that it can are in force"}
	RouteKindUnknown      = Event{211, log.WarnLevel, "kind of a route is not known: its calls are taken for not idempotent"}
	ConfigurationMissing  = Event{213, log.WarnLevel, "node still has no configuration: it refuses every call"}
	CheckpointUnusable    = Event{209, log.WarnLevel, "checkpoint cannot be used: the node reads an older one"}
)

// Events of membership.
var (
	MemberJoined        = Event{300, log.InfoLevel, "member joined"}
	MemberSuspect       = Event{301, log.WarnLevel, "member suspected"}
	MemberDead          = Event{302, log.WarnLevel, "member dead"}
	MemberLeft          = Event{303, log.InfoLevel, "member left"}
	TargetReady         = Event{304, log.InfoLevel, "target is ready"}
	TargetDraining      = Event{305, log.InfoLevel, "target is draining or has deregistered"}
	TargetExpired       = Event{306, log.WarnLevel, "target's announcement expired"}
	AnnouncementRefused = Event{308, log.WarnLevel, "target announcement refused: the node keeps the target that it knows"}
	TargetNotFound      = Event{309, log.InfoLevel, "target of the node's previous incarnation not found: the node waits for the target's announcement"}
	TargetRateLimit     = Event{310, log.InfoLevel, "target changed the rate limit that it states in its responses"}
	TargetLeaving       = Event{311, log.InfoLevel, "target stated in a response that it is leaving"}
	TargetSignalInvalid = Event{312, log.WarnLevel, "target sent a rate limit that cannot be used: the last one stays in force"}
	TargetHeld          = Event{313, log.InfoLevel, "report of a ready target is held: it may have been sent before a leaving that an earlier incarnation of the node acknowledged"}
	TargetCrashed       = Event{314, log.WarnLevel, "target is gone while it ran calls"}
	NodeSuperseded      = Event{307, log.ErrorLevel, "a later incarnation runs under this node's ID: calls are refused; stop this process or set another node.id"}
)

// Events of calls and connections.
var (
	CallOutcomeUnknown     = Event{400, log.WarnLevel, "outcome of a call could not be determined"}
	PeerConnectionsDropped = Event{401, log.WarnLevel, "connection to a gate broke or timed out: the idle pooled connections to this gate are closed"}
	CallFailed             = Event{404, log.InfoLevel, "call failed: the caller received an error instead of a target's response"}
	ResponseMismatch       = Event{403, log.WarnLevel, "response of the local target does not belong to its call or does not follow the header contract: the outcome is unknown and the connection is closed"}
	// KeyHistoryIncomplete is logged only after a claim attempt, not for a call that
	// is refused before the history sync is complete.
	KeyHistoryIncomplete = Event{405, log.InfoLevel, "gate refused a call with an idempotency key: too few of the gates that may have recorded an earlier claim on the key could confirm that there is none"}
	CallerCutOff         = Event{406, log.InfoLevel, "caller's connection ended without the whole response to its request"}
	RequestQuarantined   = Event{407, log.WarnLevel, "request is in quarantine: targets crashed while they ran it, and it is refused"}
	QuarantineEnded      = Event{408, log.InfoLevel, "request is no longer in quarantine"}
	TenantInvalid        = Event{409, log.WarnLevel, "tenant in the configuration cannot be used as it is written: what is unambiguous is in force"}
	KeysUnconfirmed      = Event{410, log.WarnLevel, "requests with an API key are refused: without contact the node cannot know whether keys were removed"}
	KeysConfirmed        = Event{411, log.InfoLevel, "requests with an API key are admitted again"}
	PeerConnectionBroken = Event{412, log.InfoLevel, "connection from another node broke: the calls on it end"}
	CallerUnconfirmed    = Event{413, log.InfoLevel, "call was written to the target long after its caller was last known to wait"}
	RepeatsAtTarget      = Event{414, log.InfoLevel, "calls reach the local target more than once"}
	StopVerdict          = Event{415, log.InfoLevel, "request or call came while the node is about to stop: it is taken or refused"}
	StopBrokeOff         = Event{416, log.WarnLevel, "request or call was given up while the node is about to stop: its outcome is unknown"}
	MalformedMessage     = Event{402, log.WarnLevel, "malformed message: the connection is closed, or the record of a stream skipped"}
)

// Events of rollouts of new versions of targets' software.
var (
	RolloutOrderRefused = Event{510, log.WarnLevel, "order of a rollout refused: nothing changes"}
	RolloutOrdered      = Event{511, log.InfoLevel, "rollout ordered"}
	RolloutPhase        = Event{512, log.InfoLevel, "rollout entered another phase"}
	RolloutCompleted    = Event{513, log.InfoLevel, "rollout completed: the new version is the current one"}
	RolloutRolledBack   = Event{514, log.WarnLevel, "rollout rolled back: the new version gets no calls"}
	RolloutCoordinated  = Event{515, log.InfoLevel, "this node coordinates the rollout"}
	RolloutStopped      = Event{516, log.WarnLevel, "this node found the new version bad and sends it no more calls"}
	RolloutWritten      = Event{517, log.InfoLevel, "record of the rollout written to the platform"}
)

// Events of tenant quotas.
var (
	TenantOverQuota         = Event{520, log.InfoLevel, "tenant is over its quota: its requests are refused"}
	TenantWithinQuota       = Event{521, log.InfoLevel, "tenant keeps to its quota again"}
	UsageDomainSilent       = Event{522, log.WarnLevel, "usage coordinator of a failure domain does not respond: its part of the quotas is kept for it"}
	UsageDomainHeard        = Event{523, log.InfoLevel, "usage coordinator of a failure domain responds again"}
	UsageCoordinatorChanged = Event{524, log.InfoLevel, "usage of tenants is reported to another coordinator"}
)
