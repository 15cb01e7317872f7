package policy

import (
	"cmp"
	"slices"
)

const (
	// snapshotMaxAgeMs is the age up to which a snapshot is believed of servers and load,
	// snapshotKeysMaxAgeMs that for the popularity of keys and expected latencies.
	snapshotMaxAgeMs, snapshotKeysMaxAgeMs = 30e3, 600e3
	// maxSnapshotKeys bounds the keys of a snapshot.
	maxSnapshotKeys = 10_000
	// maxRestoredSamples and maxRestoredConcurrency bound how much weight a restored mean and how much
	// concurrency a restored server has.
	maxRestoredSamples, maxRestoredConcurrency = 5, 64
)

// Snapshot is what an agent has learned, as plain values with ages, to outlive its process. What of it is
// believed is decided when it is restored.
type Snapshot struct {
	AgeMs             float64          `json:"AgeMs"` // since it was taken; an upper bound
	Servers           []ServerSnapshot `json:"Servers"`
	Keys              []KeyCount       `json:"Keys"`     // the most popular first
	Demand            float64          `json:"Demand"`   // of the fleet if nothing were rejected, and
	PeakCapacity      float64          `json:"Peak"`     // its capacity, both in warm servers of weight one
	AdmittedShare     float64          `json:"Admitted"` // part of the requests
	BaselineLatency   float64          `json:"CalmLat"`  // mean relative latency without overload
	RecentLatency     float64          `json:"FleetLat"` // and of late
	Responses         float64          `json:"Answers"`  // served requests
	ExpectedLatencyMs []float64        `json:"Expect"`   // expected latencies of the classes, ms
}

// ServerSnapshot is what was known of one server.
type ServerSnapshot struct {
	Server           Addr    `json:"Server"`
	StartedMs        float64 `json:"StartedMs"` // as listed: another process is another server
	State            State   `json:"State"`
	InStateMs        float64 `json:"InStateMs"` // for how long
	TimedOut         bool    `json:"Silent"`    // ejected for a time-out
	Ejections        int     `json:"Strikes"`   // ejections of late
	FailureRate      float64 `json:"Failing"`
	Latency          float64 `json:"Lat"` // mean relative latency
	MeanLatencyMs    float64 `json:"RTTMs"`
	LatencySamples   int     `json:"Samples"`
	ConcurrencyLimit float64 `json:"Window"`
}

// KeyCount is how often a key was requested of late.
type KeyCount struct {
	Key   uint64  `json:"Key"`
	Count float64 `json:"Count"`
}

// Snapshot is what the Balancer has learned so far.
func (b *Balancer) Snapshot(now float64) *Snapshot {
	snapshot := &Snapshot{
		Demand:            b.admission.demand,
		PeakCapacity:      b.capacity.peak,
		AdmittedShare:     b.admission.admittedShare,
		BaselineLatency:   b.latency.baseline,
		RecentLatency:     b.latency.recent,
		Responses:         b.latency.responses,
		ExpectedLatencyMs: slices.Clone(b.latency.expected),
	}
	for _, srv := range b.servers {
		snapshot.Servers = append(snapshot.Servers, srv.snapshot(now))
	}
	for key, count := range b.keys.counts {
		snapshot.Keys = append(snapshot.Keys, KeyCount{key, count})
	}
	slices.SortFunc(snapshot.Keys, func(x, y KeyCount) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Key, y.Key))
	})
	snapshot.Keys = snapshot.Keys[:min(len(snapshot.Keys), maxSnapshotKeys)]
	return snapshot
}

func (srv *server) snapshot(now float64) ServerSnapshot {
	return ServerSnapshot{
		Server:           srv.addr,
		StartedMs:        srv.listedStartAt,
		State:            srv.state,
		InStateMs:        max(now-srv.since, 0),
		TimedOut:         srv.timedOut,
		Ejections:        srv.ejections,
		FailureRate:      srv.failureRate,
		Latency:          srv.latency,
		MeanLatencyMs:    srv.meanLatencyMs,
		LatencySamples:   srv.latencySamples,
		ConcurrencyLimit: srv.concurrencyLimit,
	}
}

// restore takes over what an earlier process knew and is likely to hold still: of servers listed as the same
// process, and never so that one waits for more than one validation.
func (b *Balancer) restore(snapshot *Snapshot) {
	if snapshot == nil || !(snapshot.AgeMs >= 0) || snapshot.AgeMs > snapshotKeysMaxAgeMs {
		return
	}
	b.restoreKeys(snapshot)
	b.restoreLatency(snapshot)
	recent := snapshot.AgeMs <= snapshotMaxAgeMs
	if recent {
		b.restoreLoad(snapshot)
	}
	for i := range snapshot.Servers {
		saved := &snapshot.Servers[i]
		srv := b.serverByAddr[saved.Server]
		if srv == nil || !srv.ready || srv.listedStartAt != finiteOrZero(saved.StartedMs) ||
			srv.state != Unknown {
			continue
		}
		srv.slowStartCredit = 0 // it was drawn before: a restart of the agent must not draw another
		if recent {
			b.restoreServer(srv, saved)
		}
	}
}

// restoreKeys takes over the popularity of keys, less with age.
func (b *Balancer) restoreKeys(snapshot *Snapshot) {
	remaining := 1 - snapshot.AgeMs/snapshotKeysMaxAgeMs
	for _, key := range snapshot.Keys[:min(len(snapshot.Keys), maxSnapshotKeys)] {
		if count := finiteOrZero(key.Count) * remaining; count >= minKeyCount {
			b.keys.counts[key.Key] += count
			b.keys.total += count
		}
	}
}

func (b *Balancer) restoreLatency(snapshot *Snapshot) {
	model := &b.latency
	classes := min(len(model.expected), len(snapshot.ExpectedLatencyMs))
	for i, expected := range snapshot.ExpectedLatencyMs[:classes] {
		if finiteOrZero(expected) > 0 {
			model.expected[i] = min(expected, maxRelativeLatency*b.settings.Classes[i].LatencyTargetMs)
		}
	}
	baseline := finiteOrZero(snapshot.BaselineLatency)
	if baseline > 0 && snapshot.Responses > baselineResponses {
		model.baseline = min(baseline, overloadTargetShare)
		model.recent = min(finiteOrZero(snapshot.RecentLatency), maxRelativeLatency)
		model.responses = baselineResponses + 1
	}
}

// restoreLoad takes over the demand on the fleet; two probes outweigh it.
func (b *Balancer) restoreLoad(snapshot *Snapshot) {
	if !(finiteOrZero(snapshot.Demand) > 0) || !(snapshot.AdmittedShare > 0) || snapshot.AdmittedShare > 1 {
		return
	}
	b.admission.demand, b.admission.admittedShare = snapshot.Demand, snapshot.AdmittedShare
	b.admission.samples = utilizationWindow / 2
	b.capacity.peak = max(b.capacity.peak, min(finiteOrZero(snapshot.PeakCapacity), 2*b.currentCapacity()))
}

// restoreServer takes over what was known of a server's process.
func (b *Balancer) restoreServer(srv *server, saved *ServerSnapshot) {
	srv.failureRate = min(finiteOrZero(saved.FailureRate), 1)
	srv.latency = min(finiteOrZero(saved.Latency), maxRelativeLatency)
	srv.meanLatencyMs = finiteOrZero(saved.MeanLatencyMs)
	srv.latencySamples = min(max(saved.LatencySamples, 0), maxRestoredSamples)
	limit := min(finiteOrZero(saved.ConcurrencyLimit), maxRestoredConcurrency)
	srv.concurrencyLimit = max(limit, minConcurrency)
	b.transition(srv, min(saved.State, UnhealthyPending))
	if srv.state == UnhealthyPending {
		srv.timedOut, srv.ejections = saved.TimedOut, min(saved.Ejections, 1)
		// Spread over the lapse of the tier, as agents that start together must not act in step.
		srv.since = b.now - b.rng.Float64()*b.minLatencyTarget
	}
}
