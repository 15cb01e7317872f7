package logevent

// The events. 1xx: the process; 2xx: the feed, members and servers; 3xx: clients' requests; 4xx: the
// core, its view, chain and disk.
const (
	Started          ID = 100
	UnknownContract  ID = 101
	UnknownDiscovery ID = 102
	Ending           ID = 110
	Ended            ID = 111
	SettingsRead     ID = 120
	SettingsBad      ID = 121
	NotStarted       ID = 198
	PartFailed       ID = 199

	ConfigInForce  ID = 200
	ConfigBad      ID = 201
	Synced         ID = 202
	SyncedAlone    ID = 203
	Restored       ID = 204
	NewestRead     ID = 205
	OwnLapsed      ID = 210
	Lapsed         ID = 211
	ServerSilent   ID = 220
	ServersFull    ID = 221
	SessionBegun   ID = 230
	SessionSending ID = 231
	SessionOver    ID = 232

	BrokenOff       ID = 310
	Refused         ID = 320
	DoubtfulFraming ID = 330

	DiskDamaged    ID = 400
	DiskTorn       ID = 401
	DiskRewritten  ID = 402
	DiskWaits      ID = 403
	DiskWrite      ID = 404
	ViewStep       ID = 410
	ViewLearned    ID = 411
	ViewOpen       ID = 412
	ViewKeep       ID = 413
	ToleranceShort ID = 414
	ValuesDiffer   ID = 420
	CoreCall       ID = 430
)

var table = []Event{
	{Started, "started", "the process listens on all its addresses", "nobody", always},
	{UnknownContract, "contract is not known here; it is not assumed", "`active-contracts` names what this version does not know", "operator: check that this version suits the deployment", always},
	{UnknownDiscovery, "discovery or entry of an unknown kind", "`discovery-source` or `entry-kind` is new; the process goes on as with `self_register` and `vip`", "operator: check that this version suits the deployment", always},
	{Ending, "ending", "SIGTERM came: not ready from now on, streams run on within the grace", "nobody", always},
	{Ended, "ended", "everything held was finished or broken off", "nobody", always},
	{SettingsRead, "settings read again", "the settings file changed or SIGHUP came; the seeds were taken over, all else needs a new start", "nobody", always},
	{SettingsBad, "settings file can't be used; the old settings stay in force", "the file was changed and is wrong; the error names the key", "platform: mend the file, `edged check FILE` tells", always},
	{NotStarted, "not started, or ended by an error", "the error tells why", "platform: mend what the error names", always},
	{PartFailed, "ending: a part of the process failed", "a listener or the control state failed for good", "on-call: read the error; the platform starts the process again", always},

	{ConfigInForce, "configuration in force", "requests go by this revision here from now on", "nobody", control},
	{ConfigBad, "committed configuration can't be read; the old one stays in force", "a member of the core of another version took what this one can't read", "on-call: run one version everywhere", always},
	{Synced, "all that a hub knows is here", "the process may serve", "nobody", always},
	{SyncedAlone, "started with the whole core", "no machine of the core knew more than its disk: everything was down", "nobody; after a planned start only", always},
	{Restored, "servers restored from disk until their next beats", "after a loss of everything requests need not wait for beats", "nobody", always},
	{NewestRead, "the core told its newest configuration", "no older one is gone by in this life", "nobody", control},
	{OwnLapsed, "own lease had lapsed: going on as a new life", "the core took this agent for gone: it was frozen or cut off", "on-call, if it is not in a cut: look at the machine's processor and links", always},
	{Lapsed, "lease lapsed: member ended", "an agent had no session with the core for a lease's time", "on-call: look at that machine", always},
	{ServerSilent, "server fell silent", "a server missed its beats and is off the list until it beats again", "on-call, if it stays away: look at the server", control},
	{ServersFull, "list of servers is full", "a server that is not known here was refused, or is not listed; told once in ten seconds", "on-call: look for servers that come again and again under new ids", always},
	{SessionBegun, "session with a hub", "", "nobody", control},
	{SessionSending, "session broken while sending", "the peer or the link went", "nobody", requests},
	{SessionOver, "session over", "the peer ended, fell silent or was cut off; another hub is tried at once", "nobody", control},

	{BrokenOff, "requests broken off at the end of the grace", "streams were longer than `grace-s`", "platform, if it comes often: a longer grace", always},
	{Refused, "refused", "a request was told when to come back; `why` tells for want of what", "operator, if it comes often: more servers", requests},
	{DoubtfulFraming, "request of doubtful framing", "a client sent what HTTP implementations split in different ways; it got 400, and nothing behind it was read", "the client's owner: mend what `err` names", requests},

	{DiskDamaged, "state file was damaged and is set aside; the machine rejoins as a new one", "what is in the file is not what was written", "on-call: replace the disk if it comes again; keep the `.damaged` file for a look with `edgectl state verify`", always},
	{DiskTorn, "torn write cut off the state file", "power was lost during a write; nothing acknowledged was in it", "nobody", always},
	{DiskRewritten, "state file was not what was written and is written anew", "the sweep found records that differ from memory", "on-call: replace the disk if it comes again", always},
	{DiskWaits, "machine joins once its disk takes a write", "the disk is full or fails; the process serves clients without it", "on-call: free or replace the disk", always},
	{DiskWrite, "record could not be kept on disk", "the disk is full, slow or fails; the member is left out of the chain meanwhile", "on-call: look at the disk", always},
	{ViewStep, "view decided", "the core left a member out, took one in, or swapped a voter; `why` tells", "on-call, if a member stays out: look at that machine", always},
	{ViewLearned, "view learned", "", "nobody", control},
	{ViewOpen, "view was not decided", "another proposer was first, or too few voters answered; it is tried again", "nobody", control},
	{ViewKeep, "view could not be kept on disk", "the member acts by it once it is there", "on-call: look at the disk", always},
	{ToleranceShort, "core can't bear all losses that the settings name", "`losses` tells how many fewer than `fault-tolerance` names: the voters' machines, zones or regions are too few for more", "operator: add machines of the core in other zones or regions", always},
	{ValuesDiffer, "two members hold different values under one number", "this must not happen: a defect, or a damaged disk", "on-call: stop changes, `edgectl view` on all of the core, report it", always},
	{CoreCall, "call between members of the core failed", "", "nobody", control},
}
