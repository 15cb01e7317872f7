package logevent

// The events of the process.
const (
	Started           ID = 100
	UnknownContract   ID = 101
	UnknownDiscovery  ID = 102
	ShutdownStarted   ID = 110
	ShutdownCompleted ID = 111
	SettingsReloaded  ID = 120
	SettingsInvalid   ID = 121
	StartFailed       ID = 198
	ComponentFailed   ID = 199
)

// The events of the relay, of membership and of servers.
const (
	ConfigApplied          ID = 200
	ConfigUnreadable       ID = 201
	Synced                 ID = 202
	SyncedAfterFullRestart ID = 203
	ServersRestored        ID = 204
	NewestConfigConfirmed  ID = 205
	FirstViewKnown         ID = 206
	CoreUnreachable        ID = 207
	CoreReachable          ID = 208
	ConfigUnconfirmed      ID = 209
	OwnLeaseExpired        ID = 210
	LeaseExpired           ID = 211
	ServerTimedOut         ID = 220
	ServerTableFull        ID = 221
	FirstServersListed     ID = 222
	ServerListEmpty        ID = 223
	ConfigConfirmed        ID = 212
	SessionStarted         ID = 230
	SessionSendFailed      ID = 231
	SessionEnded           ID = 232
)

// The events of clients' requests.
const (
	RequestsAborted    ID = 310
	FirstRequestServed ID = 311
	RequestRejected    ID = 320
	QuotaExceeded      ID = 321
	RequestDenied      ID = 322
	AmbiguousFraming   ID = 330
)

// The events of the core, its view and its disk.
const (
	StateFileCorrupted    ID = 400
	TornWriteTruncated    ID = 401
	StateFileRewritten    ID = 402
	DiskUnavailable       ID = 403
	DiskWriteFailed       ID = 404
	QuotaRecordUnreadable ID = 405
	ViewDecided           ID = 410
	ViewLearned           ID = 411
	ViewUndecided         ID = 412
	ViewPersistFailed     ID = 413
	ToleranceShortfall    ID = 414
	ReplicasDiverged      ID = 420
	PeerCallFailed        ID = 430
)

// noAction is the Action of events that are part of normal operation.
const noAction = "none"

// catalogue is the list of all events, sorted by number.
var catalogue = []Event{
	{Started, "process started", "the process listens on all of its addresses", noAction, levelAlways},
	{UnknownContract, "unknown contract ignored", "`active-contracts` names a contract that this version does not know; the process runs as if it were not active", "operator: check that this version suits the deployment", levelAlways},
	{UnknownDiscovery, "unknown kind of discovery or entry", "`discovery-source` or `entry-kind` is unknown to this version; the process uses `self_register` and `vip`", "operator: check that this version suits the deployment", levelAlways},
	{ShutdownStarted, "graceful shutdown started", "SIGTERM arrived; the process is not ready any more, and streams in flight continue for up to `grace-s`", noAction, levelAlways},
	{ShutdownCompleted, "graceful shutdown completed", "all requests in flight were completed or aborted", noAction, levelAlways},
	{SettingsReloaded, "settings reloaded", "the settings file changed or SIGHUP arrived; the seeds are in force, all other settings need a restart", noAction, levelAlways},
	{SettingsInvalid, "settings file is invalid; the previous settings stay in force", "the settings file was changed and can't be used; the error names the key", "platform: correct the file; `edged check FILE` validates it", levelAlways},
	{StartFailed, "process failed to start, or ended with an error", "the error names the cause", "platform: correct what the error names", levelAlways},
	{ComponentFailed, "component failed; shutting down", "a listener or the control plane failed permanently", "on-call: read the error; the platform restarts the process", levelAlways},

	{ConfigApplied, "configuration in force", "requests are routed by this revision from now on", noAction, levelControl},
	{ConfigUnreadable, "committed configuration can't be parsed; the previous one stays in force", "a machine of the core that runs another version accepted a configuration that this version can't parse", "on-call: run the same version on all machines", levelAlways},
	{Synced, "initial synchronization completed", "the process has all that its relay knows, and may become ready", noAction, levelAlways},
	{SyncedAfterFullRestart, "initial synchronization completed after a restart of the complete core", "no machine of the core knew more than its own disk: all of them were down", "on-call, unless the restart was planned: find out why all machines of the core were down", levelAlways},
	{ServersRestored, "servers restored from disk until their next heartbeats", "after a restart of everything requests are routed before the servers' next heartbeats", noAction, levelAlways},
	{NewestConfigConfirmed, "newest configuration confirmed by the core", "a member of the core has just started, or become one, and has no older configuration than the core", noAction, levelControl},
	{FirstViewKnown, "machines of the core known", "a step of the start: the process knows a view, from its disk or from another process; `after` counts from its start", noAction, levelAlways},
	{CoreUnreachable, "no machine of the core can be reached", "the process has had no session with a relay that has a quorum for the time in `for`; `seeds` are the addresses that it asks, `members` the relays that it knows, none as long as it knows no view, and `heartbeats` counts the servers' heartbeats that came meanwhile", "on-call: check that the seeds run and that one of them knows the core (`edgectl --agent SEED view`); look for a partition", levelAlways},
	{CoreReachable, "session with a relay that has a quorum", "a step of the start, or the end of an E207; `after` counts from the start of the process, `lost` is for how long there was none. A loss of under 2 s is logged once in 10 s; `unlogged` counts those that were not", noAction, levelAlways},
	{ConfigUnconfirmed, "configuration is not confirmed by the core", "the process could not learn for the time in `for` whether its configuration is the newest; requests that it does not allow get 503 in place of a 4xx once that takes as long as `converge-ms` allows, and with `revocation-closed` it refuses requests with API keys, by 503, once that takes as long as `revoke-ms` allows", "on-call, if it lasts: look for a partition, and for E207", levelAlways},
	{OwnLeaseExpired, "own lease expired; continuing as a new incarnation", "the core ended this agent's lease while it was frozen or partitioned", "on-call, unless there is a network partition: check the machine's processor and links", levelAlways},
	{LeaseExpired, "lease expired; member removed", "an agent had no session with the core for the duration of a lease", "on-call: check that machine", levelAlways},
	{ConfigConfirmed, "configuration is confirmed by the core", "the end of an E209, or a step of the start: requests with API keys are served, and those that the configuration does not allow get a 4xx", noAction, levelAlways},
	{ServerTimedOut, "server timed out", "a server's heartbeats are overdue; it gets no requests until its next heartbeat", "on-call, if it does not return: check the server", levelControl},
	{ServerTableFull, "server table is full", "a server that is not in the table was rejected, or is not listed; logged once in ten seconds", "on-call: look for servers that register again and again with new ids", levelAlways},
	{FirstServersListed, "servers listed", "a step of the start, or the end of an E223: requests have servers to go to", noAction, levelAlways},
	{ServerListEmpty, "no server is listed any more", "all servers have drained, ended or missed their heartbeats, or those come to agents that are partitioned off; requests are refused", "on-call: check the servers, and for E207 at the agents that take their heartbeats", levelAlways},
	{SessionStarted, "session with a relay started", "this agent has connected to a machine of the core", noAction, levelControl},
	{SessionSendFailed, "session failed while sending", "the peer or the link failed", noAction, levelRequests},
	{SessionEnded, "session with a relay ended", "the peer shut down, timed out or was partitioned; the agent connects to another relay at once", noAction, levelControl},

	{RequestsAborted, "requests aborted at the end of the grace period", "streams took longer than `grace-s`; `held` counts them", "platform, if it happens often: extend the grace period", levelAlways},
	{FirstRequestServed, "first request served", "the last step of the start; `after` counts from the start of the process", noAction, levelAlways},
	{RequestRejected, "request rejected", "a request got 503 with `Retry-After`; `why` names the missing capacity", "operator, if it happens often: add servers", levelRequests},
	{QuotaExceeded, "request over its tenant's quota rejected", "a request got 429 with `Retry-After`; `tenant` names the tenant", "operator, if it happens often: raise the tenant's quota", levelRequests},
	{RequestDenied, "request denied", "a request got the 4xx in `status`, for the reason in `err`; `revision` is the configuration in force, and `confirmed` is how long ago the core confirmed that no newer one was acknowledged, -1s if it never did; logged once a second", "owner of the client: correct the request; on-call, if `status` is 401, 404 or 413 and `confirmed` is -1s or over `converge-ms`: report it, as the configuration may be out of date", levelAlways},
	{AmbiguousFraming, "request with ambiguous framing rejected", "a client sent a request that HTTP implementations delimit in different ways; it got 400 and its connection was closed", "owner of the client: correct what `err` names", levelRequests},

	{StateFileCorrupted, "state file is corrupted and was set aside; the machine rejoins as a new member", "records in the state file don't match their checksums", "on-call: replace the disk if it happens again; keep the `.damaged` file and examine it with `edgectl state verify`", levelAlways},
	{TornWriteTruncated, "torn write truncated from the state file", "power was lost during a write; the write was not acknowledged", noAction, levelAlways},
	{StateFileRewritten, "state file did not match memory and was rewritten", "the scrubber found records on disk that differ from memory", "on-call: replace the disk if it happens again", levelAlways},
	{DiskUnavailable, "machine joins the core once its disk accepts a write", "the disk is full or fails; the process serves clients without it", "on-call: free or replace the disk", levelAlways},
	{DiskWriteFailed, "record could not be written to disk", "the disk is full, slow or fails; the member is removed from the chain until it recovers", "on-call: check the disk", levelAlways},
	{QuotaRecordUnreadable, "record of the quotas can't be read", "another version has written it, or it is damaged; the shares of the quotas begin with next to nothing, as on an empty disk", "platform, if it comes without a change of version: check the disk", levelAlways},
	{ViewDecided, "view decided", "the core removed, added or replaced a member; `why` names the reason", "on-call, if a member does not return: check that machine", levelAlways},
	{ViewLearned, "view learned", "this machine acts by a view that the core has decided", noAction, levelControl},
	{ViewUndecided, "view not decided", "another proposer was first, or too few voters answered; the proposal is retried", noAction, levelControl},
	{ViewPersistFailed, "view could not be written to disk", "the member acts by the view once it is on disk", "on-call: check the disk", levelAlways},
	{ToleranceShortfall, "core can't tolerate all losses of the settings", "`losses` tells by how many losses the core falls short of `fault-tolerance`: the voters' machines, zones or regions are too few", "operator: add machines of the core in other zones or regions", levelAlways},
	{ReplicasDiverged, "two replicas hold different values with the same sequence number", "this is a defect or a corrupted disk; it must not happen", "on-call: stop configuration changes, save `edgectl view` of all machines of the core, and report it", levelAlways},
	{PeerCallFailed, "call between members of the core failed", "the peer is down, partitioned or runs another version", noAction, levelControl},
}
