package controlplane

import "time"

// Detection of failures among the voters.
const (
	// heartbeatInterval is the time between two ticks, which send heartbeats and repair the view.
	heartbeatInterval = 100 * time.Millisecond
	// idleTickInterval is the time between two ticks of a process that sends no heartbeats.
	idleTickInterval = 5 * heartbeatInterval
	// joiningInterval is the time between two heartbeats of a process that asks to become a voter.
	joiningInterval = 2 * heartbeatInterval
	// standbyInterval is the same while all places of voters are taken.
	standbyInterval = time.Second
	// pauseThreshold is how late a tick may be; after a later tick the process counts as having been paused.
	pauseThreshold = 200 * time.Millisecond
	// peerTimeout is the silence after which a member is removed from the chain.
	peerTimeout = 600 * time.Millisecond
	// stabilizationDelay is how long a returning peer must stay in contact before it is relied on.
	stabilizationDelay = 300 * time.Millisecond
	// voterReplacementDelay is the silence after which a voter may be replaced by a joining process.
	voterReplacementDelay = 2 * time.Second
	// refusalConfirmation is how long a peer's port must refuse connections before its process counts as
	// ended.
	refusalConfirmation = 150 * time.Millisecond
	// contactTimeout is how long after an exchange with a peer the two still count as in contact.
	contactTimeout = 400 * time.Millisecond
	// passiveContactLimit is how long the voter with the higher ID waits for the other's heartbeat
	// before it sends one of its own.
	passiveContactLimit = 5 * heartbeatInterval / 2
	// maxContactAge bounds the age of a contact that a peer may report.
	maxContactAge = time.Minute
)

// Remote calls.
const (
	// callTimeout bounds a small call.
	callTimeout = 400 * time.Millisecond
	// pushTimeout bounds the replication of a value along the whole chain; the transfer time of the value
	// is added. Each member waits pushTimeoutStep less than the one before it, so that the member next to
	// a fault detects it first.
	pushTimeout     = time.Second
	pushTimeoutStep = 60 * time.Millisecond
	// phaseTimeout bounds each phase of a proposal.
	phaseTimeout = 500 * time.Millisecond
	// minLinkRate is the assumed minimum throughput of a link, in bytes per second. The timeouts of calls
	// that carry a value or an update are extended by its transfer time at this rate.
	minLinkRate = 1 << 20
	// leavingNoticeTimeout bounds the announcement that this member is shutting down.
	leavingNoticeTimeout = 3 * heartbeatInterval / 2
)

// Repair of the chain.
const (
	// proposerRankDelay is how much longer each healthy member waits before proposing a repair than the
	// one before it in the proposer order.
	proposerRankDelay = 400 * time.Millisecond
	// snapshotDelay is how long a view must be in force before the value is sent directly to its joining
	// members.
	snapshotDelay = 150 * time.Millisecond
	// minProposalBackoff and maxProposalBackoff bound the random delay after an undecided proposal.
	minProposalBackoff = heartbeatInterval / 2
	maxProposalBackoff = 2 * heartbeatInterval
	// activationRetryDelay is the time between two attempts to push the head's value through the chain.
	activationRetryDelay = heartbeatInterval
	// handoverPollInterval is the time between two steps of a handover.
	handoverPollInterval = heartbeatInterval / 2
	// maxIdleHandoverSteps is the number of blocked steps in a row after which a handover ends.
	maxIdleHandoverSteps = 10
	// announceRetryDelay is the time between two announcements of the view at the end of a handover.
	announceRetryDelay = heartbeatInterval
)

// The disk.
const (
	// diskStallLimit is how long an operation on a disk may take before the disk counts as unhealthy.
	diskStallLimit = 400 * time.Millisecond
	// diskProbeInterval is the time between two probes of an unhealthy disk.
	diskProbeInterval = 250 * time.Millisecond
	// diskScrubInterval is the time between two comparisons of the file with memory.
	diskScrubInterval = 20 * time.Second
	// persistFailureLogInterval is the shortest time between two log lines about views that can't be
	// written.
	persistFailureLogInterval = time.Second
)

// Requests and discovery.
const (
	defaultRequestTimeout = 900 * time.Millisecond
	// attemptTimeout bounds one attempt of a request, as the next one may use a better connection.
	attemptTimeout = 500 * time.Millisecond
	// hedgeDelay is the interval at which other processes are asked for a newer view while an attempt
	// has no response.
	hedgeDelay = 120 * time.Millisecond
	// retryDelay is the time between two attempts.
	retryDelay = 30 * time.Millisecond
	// discoveryInterval is the time between two requests for a newer view.
	discoveryInterval = 500 * time.Millisecond
	// relayDiscoveryInterval replaces discoveryInterval while this process has a session with a relay that has a
	// quorum.
	relayDiscoveryInterval = 2 * time.Second
	// maxDiscoveryInterval bounds the interval while requests time out.
	maxDiscoveryInterval = 2 * time.Second
	// maxDiscoveryHaste is the greatest share of an interval by which a request may be early.
	maxDiscoveryHaste = 0.25
	// startupPeriod is how long after its start or a pause a process discovers and announces views more
	// often, as many others may have started at the same time.
	startupPeriod = 3 * time.Second
	// firstDiscoveryInterval replaces discoveryInterval while no view is known and during startupPeriod.
	firstDiscoveryInterval = 150 * time.Millisecond
)

// Bootstrap of the first view.
const (
	bootstrapInterval = 100 * time.Millisecond
	// bootstrapQuietPeriod is the time without the announcement of another machine with a disk after
	// which the first view may be proposed.
	bootstrapQuietPeriod = 300 * time.Millisecond
	// bootstrapMinDelay is the shortest time between the start of the process and a proposal of the first
	// view; bootstrapDisklessDelay replaces it while no machine with a disk is known.
	bootstrapMinDelay      = 700 * time.Millisecond
	bootstrapDisklessDelay = 1500 * time.Millisecond
	// bootstrapRankDelay is how much longer each seed waits before proposing than the one before it in
	// the list.
	bootstrapRankDelay = 400 * time.Millisecond
)

// Bounds of what a Member holds in memory.
const (
	maxSubmissions    = 64
	maxPeers          = 64
	maxBootstrapPeers = 64 // applies separately to peers with a disk and to peers without
)

// transferTime returns how long the transfer of size bytes may take over a link with minLinkRate.
func transferTime(size int) time.Duration {
	return time.Duration(size) * time.Second / minLinkRate
}
