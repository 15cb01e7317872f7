package logevent

// The events. 1xx: the process; 2xx: the feed, members and servers; 3xx: clients' requests; 4xx: the
// core, its view, chain and disk.
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

	ConfigApplied          ID = 200
	ConfigUnreadable       ID = 201
	Synced                 ID = 202
	SyncedAfterFullRestart ID = 203
	ServersRestored        ID = 204
	NewestConfigConfirmed  ID = 205
	OwnLeaseExpired        ID = 210
	LeaseExpired           ID = 211
	ServerTimedOut         ID = 220
	ServerTableFull        ID = 221
	SessionStarted         ID = 230
	SessionSendFailed      ID = 231
	SessionEnded           ID = 232

	RequestsAborted  ID = 310
	RequestRejected  ID = 320
	AmbiguousFraming ID = 330

	StateFileCorrupted ID = 400
	TornWriteTruncated ID = 401
	StateFileRewritten ID = 402
	DiskUnavailable    ID = 403
	DiskWriteFailed    ID = 404
	ViewDecided        ID = 410
	ViewLearned        ID = 411
	ViewUndecided      ID = 412
	ViewPersistFailed  ID = 413
	ToleranceShortfall ID = 414
	ReplicasDiverged   ID = 420
	PeerCallFailed     ID = 430
)

var catalogue = []Event{
	{Started, "started", "the process listens on all its addresses", "nobody", levelAlways},
	{UnknownContract, "contract is not known here; it is not assumed", "`active-contracts` names what this version does not know", "operator: check that this version suits the deployment", levelAlways},
	{UnknownDiscovery, "discovery or entry of an unknown kind", "`discovery-source` or `entry-kind` is new; the process goes on as with `self_register` and `vip`", "operator: check that this version suits the deployment", levelAlways},
	{ShutdownStarted, "ending", "SIGTERM came: not ready from now on, streams run on within the grace", "nobody", levelAlways},
	{ShutdownCompleted, "ended", "everything held was finished or broken off", "nobody", levelAlways},
	{SettingsReloaded, "settings read again", "the settings file changed or SIGHUP came; the seeds were taken over, all else needs a new start", "nobody", levelAlways},
	{SettingsInvalid, "settings file can't be used; the old settings stay in force", "the file was changed and is wrong; the error names the key", "platform: mend the file, `edged check FILE` tells", levelAlways},
	{StartFailed, "not started, or ended by an error", "the error tells why", "platform: mend what the error names", levelAlways},
	{ComponentFailed, "ending: a part of the process failed", "a listener or the control state failed for good", "on-call: read the error; the platform starts the process again", levelAlways},

	{ConfigApplied, "configuration in force", "requests go by this revision here from now on", "nobody", levelControl},
	{ConfigUnreadable, "committed configuration can't be read; the old one stays in force", "a member of the core of another version took what this one can't read", "on-call: run one version everywhere", levelAlways},
	{Synced, "all that a hub knows is here", "the process may serve", "nobody", levelAlways},
	{SyncedAfterFullRestart, "started with the whole core", "no machine of the core knew more than its disk: everything was down", "nobody; after a planned start only", levelAlways},
	{ServersRestored, "servers restored from disk until their next beats", "after a loss of everything requests need not wait for beats", "nobody", levelAlways},
	{NewestConfigConfirmed, "the core told its newest configuration", "no older one is gone by in this life", "nobody", levelControl},
	{OwnLeaseExpired, "own lease had lapsed: going on as a new life", "the core took this agent for gone: it was frozen or cut off", "on-call, if it is not in a cut: look at the machine's processor and links", levelAlways},
	{LeaseExpired, "lease lapsed: member ended", "an agent had no session with the core for a lease's time", "on-call: look at that machine", levelAlways},
	{ServerTimedOut, "server fell silent", "a server missed its beats and is off the list until it beats again", "on-call, if it stays away: look at the server", levelControl},
	{ServerTableFull, "list of servers is full", "a server that is not known here was refused, or is not listed; told once in ten seconds", "on-call: look for servers that come again and again under new ids", levelAlways},
	{SessionStarted, "session with a hub", "", "nobody", levelControl},
	{SessionSendFailed, "session broken while sending", "the peer or the link went", "nobody", levelRequests},
	{SessionEnded, "session over", "the peer ended, fell silent or was cut off; another hub is tried at once", "nobody", levelControl},

	{RequestsAborted, "requests broken off at the end of the grace", "streams were longer than `grace-s`", "platform, if it comes often: a longer grace", levelAlways},
	{RequestRejected, "refused", "a request was told when to come back; `why` tells for want of what", "operator, if it comes often: more servers", levelRequests},
	{AmbiguousFraming, "request of doubtful framing", "a client sent what HTTP implementations split in different ways; it got 400, and nothing behind it was read", "the client's owner: mend what `err` names", levelRequests},

	{StateFileCorrupted, "state file was damaged and is set aside; the machine rejoins as a new one", "what is in the file is not what was written", "on-call: replace the disk if it comes again; keep the `.damaged` file for a look with `edgectl state verify`", levelAlways},
	{TornWriteTruncated, "torn write cut off the state file", "power was lost during a write; nothing acknowledged was in it", "nobody", levelAlways},
	{StateFileRewritten, "state file was not what was written and is written anew", "the sweep found records that differ from memory", "on-call: replace the disk if it comes again", levelAlways},
	{DiskUnavailable, "machine joins once its disk takes a write", "the disk is full or fails; the process serves clients without it", "on-call: free or replace the disk", levelAlways},
	{DiskWriteFailed, "record could not be kept on disk", "the disk is full, slow or fails; the member is left out of the chain meanwhile", "on-call: look at the disk", levelAlways},
	{ViewDecided, "view decided", "the core left a member out, took one in, or swapped a voter; `why` tells", "on-call, if a member stays out: look at that machine", levelAlways},
	{ViewLearned, "view learned", "", "nobody", levelControl},
	{ViewUndecided, "view was not decided", "another proposer was first, or too few voters answered; it is tried again", "nobody", levelControl},
	{ViewPersistFailed, "view could not be kept on disk", "the member acts by it once it is there", "on-call: look at the disk", levelAlways},
	{ToleranceShortfall, "core can't bear all losses that the settings name", "`losses` tells how many fewer than `fault-tolerance` names: the voters' machines, zones or regions are too few for more", "operator: add machines of the core in other zones or regions", levelAlways},
	{ReplicasDiverged, "two members hold different values under one number", "this must not happen: a defect, or a damaged disk", "on-call: stop changes, `edgectl view` on all of the core, report it", levelAlways},
	{PeerCallFailed, "call between members of the core failed", "", "nobody", levelControl},
}
