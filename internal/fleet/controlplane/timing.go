package controlplane

import "time"

// Detection of failures among the voters.
const (
	// heartbeatInterval is the time between two ticks: heartbeats and repair.
	heartbeatInterval = 100 * time.Millisecond
	// idleTickInterval is the time between two ticks of a process that sends no heartbeats.
	idleTickInterval = 5 * heartbeatInterval
	// joiningInterval is the time between two heartbeats of a process that asks to become a voter.
	joiningInterval = 2 * heartbeatInterval
	// standbyInterval is the time between two heartbeats of one that finds all places taken.
	standbyInterval = time.Second
	// pauseThreshold is how late a tick may be before the process counts as having been paused.
	pauseThreshold = 200 * time.Millisecond
	// peerTimeout is the silence after which a member is left out of the chain.
	peerTimeout = 600 * time.Millisecond
	// stabilizationDelay is how long a returning peer must stay in contact before it is relied on.
	stabilizationDelay = 300 * time.Millisecond
	// voterReplacementDelay is the silence after which a voter may be replaced by a joining process.
	voterReplacementDelay = 2 * time.Second
	// refusalConfirmation is for how long a peer's port must refuse connections before its process
	// counts as ended.
	refusalConfirmation = 150 * time.Millisecond
	// contactTimeout is for how long an exchange with a peer counts as contact.
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
	// pushTimeout bounds the replication of a value along the whole chain, beside the time that its transfer
	// takes. Each member waits pushTimeoutStep less than the one before it, so that the member next to a
	// fault notices it first.
	pushTimeout     = time.Second
	pushTimeoutStep = 60 * time.Millisecond
	// phaseTimeout bounds each phase of a proposal.
	phaseTimeout = 500 * time.Millisecond
	// minLinkRate is what a link carries at least, in bytes per second: the time-outs of calls with a value
	// or an update are longer by its transfer at this rate.
	minLinkRate = 1 << 20
	// leavingNoticeTimeout bounds the announcement that this member is shutting down.
	leavingNoticeTimeout = 3 * heartbeatInterval / 2
)

// Repair of the chain.
const (
	// proposerRankDelay is how much later each further healthy member proposes a repair.
	proposerRankDelay = 400 * time.Millisecond
	// snapshotDelay is how long a view is in force before its joining members are sent the value
	// directly.
	snapshotDelay = 150 * time.Millisecond
	// Proposals that were not decided are repeated after a random delay between these two.
	minProposalBackoff = heartbeatInterval / 2
	maxProposalBackoff = 2 * heartbeatInterval
	// activationRetryDelay is the time between two attempts to push the head's value through the chain.
	activationRetryDelay = heartbeatInterval
	// handoverPollInterval is the time between two steps of a handover.
	handoverPollInterval = heartbeatInterval / 2
	// maxIdleHandoverSteps is how many steps in a row with nothing to do or to wait for end a handover.
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
	// persistFailureLogInterval bounds how often a view that can't be written is logged.
	persistFailureLogInterval = time.Second
)

// Requests and discovery.
const (
	defaultRequestTimeout = 900 * time.Millisecond
	// attemptTimeout bounds one attempt of a request: the next one may use a better connection.
	attemptTimeout = 500 * time.Millisecond
	// hedgeDelay is how long an attempt may be without a response before another process is asked for
	// a newer view, and again each time as long.
	hedgeDelay = 120 * time.Millisecond
	// retryDelay is the time between two attempts.
	retryDelay = 30 * time.Millisecond
	// discoveryInterval is the time between two requests for a newer view.
	discoveryInterval = 500 * time.Millisecond
	// startupPeriod is how long after its start, or after a pause, a process looks more often for others
	// to ask or to inform: many may have started with it.
	startupPeriod = 3 * time.Second
	// firstDiscoveryInterval is the same while no view is known, or in startupPeriod.
	firstDiscoveryInterval = 150 * time.Millisecond
)

// Bootstrap of the first view.
const (
	bootstrapInterval = 100 * time.Millisecond
	// bootstrapQuietPeriod is how long no further machine with a disk must have been announced.
	bootstrapQuietPeriod = 300 * time.Millisecond
	// bootstrapMinDelay is the earliest time, after the start of the process, at which the first view
	// is proposed; bootstrapDisklessDelay is the same while no machine with a disk is known.
	bootstrapMinDelay      = 700 * time.Millisecond
	bootstrapDisklessDelay = 1500 * time.Millisecond
	// bootstrapRankDelay is how much later each further seed of the list proposes.
	bootstrapRankDelay = 400 * time.Millisecond
)

// Bounds of what a Member holds in memory.
const (
	maxSubmissions    = 64
	maxPeers          = 64
	maxBootstrapPeers = 64 // with a disk, and as many without
)

// transferTime is how long a message of a size may be on its way over a slow link.
func transferTime(size int) time.Duration {
	return time.Duration(size) * time.Second / minLinkRate
}
