package policy

import (
	"cmp"
	"slices"
)

const (
	// snapshotMaxAgeMs is the age up to which the servers and the load of a snapshot are restored,
	// snapshotKeysMaxAgeMs the age up to which key popularity and latencies are.
	snapshotMaxAgeMs, snapshotKeysMaxAgeMs = 30e3, 600e3
	// maxSnapshotKeys bounds the keys of a snapshot.
	maxSnapshotKeys = 10_000
	// maxRestoredSamples bounds the samples of a restored mean latency, maxRestoredConcurrency a restored
	// concurrency limit.
	maxRestoredSamples, maxRestoredConcurrency = 5, 64
)

// Snapshot holds what an agent has learned, as plain values with ages, for its next process. That process
// decides which of it to restore.
type Snapshot struct {
	AgeMs             float64          `json:"AgeMs"` // time since it was taken; an upper bound
	Servers           []ServerSnapshot `json:"Servers"`
	Keys              []KeyCount       `json:"Keys"`     // the most popular first
	Demand            float64          `json:"Demand"`   // load on the fleet if nothing were rejected
	PeakCapacity      float64          `json:"Peak"`     // recent maximum of the fleet's capacity
	AdmittedShare     float64          `json:"Admitted"` // fraction of the recent requests that was admitted
	BaselineLatency   float64          `json:"CalmLat"`  // mean relative latency without overload
	RecentLatency     float64          `json:"FleetLat"` // recent mean relative latency
	Responses         float64          `json:"Answers"`  // number of served attempts
	ExpectedLatencyMs []float64        `json:"Expect"`   // mean latency of each class, ms
}

// ServerSnapshot holds what an agent has learned about one server.
type ServerSnapshot struct {
	Server           Addr    `json:"Server"`
	StartedMs        float64 `json:"StartedMs"` // start as listed; a restarted server counts as another one
	State            State   `json:"State"`
	InStateMs        float64 `json:"InStateMs"` // time since State was entered
	TimedOut         bool    `json:"Silent"`    // ejected for a timeout
	Ejections        int     `json:"Strikes"`   // number of recent ejections
	FailureRate      float64 `json:"Failing"`
	Latency          float64 `json:"Lat"` // mean relative latency
	MeanLatencyMs    float64 `json:"RTTMs"`
	LatencySamples   int     `json:"Samples"`
	ConcurrencyLimit float64 `json:"Window"`
}

// KeyCount is the number of recent requests of a key.
type KeyCount struct {
	Key   uint64  `json:"Key"`
	Count float64 `json:"Count"`
}

// Snapshot returns what the Balancer has learned so far.
func (b *Balancer) Snapshot(now float64) *Snapshot {
	snapshot := &Snapshot{
		Demand:            b.admission.demand,
		PeakCapacity:      b.capacity.peak,
		AdmittedShare:     b.admission.admittedShare,
		BaselineLatency:   b.latency.baseline,
		RecentLatency:     b.latency.recentMean,
		Responses:         b.latency.responses,
		ExpectedLatencyMs: slices.Clone(b.latency.expectedMs),
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
		Latency:          srv.relativeLatency,
		MeanLatencyMs:    srv.meanLatencyMs,
		LatencySamples:   srv.latencySamples,
		ConcurrencyLimit: srv.concurrencyLimit,
	}
}

// restore restores what an earlier process had learned and what probably still holds. The state of a server
// is only restored if the list still has the same process of it, and no server has to wait for more than one
// validation.
func (b *Balancer) restore(snapshot *Snapshot) {
	if snapshot == nil || !(snapshot.AgeMs >= 0) || snapshot.AgeMs > snapshotKeysMaxAgeMs {
		return
	}
	b.restoreKeys(snapshot)
	b.restoreLatency(snapshot)
	isRecent := snapshot.AgeMs <= snapshotMaxAgeMs
	if isRecent {
		b.restoreLoad(snapshot)
	}
	for i := range snapshot.Servers {
		savedServer := &snapshot.Servers[i]
		srv := b.serverByAddr[savedServer.Server]
		if srv == nil || !srv.ready || srv.listedStartAt != finiteOrZero(savedServer.StartedMs) ||
			srv.state != Unknown {
			continue
		}
		srv.slowStartCredit = 0 // the earlier process has drawn it; a restart must not draw another one
		if isRecent {
			b.restoreServer(srv, savedServer)
		}
	}
}

// restoreKeys restores the popularity of keys. The older the snapshot, the less its counts weigh.
func (b *Balancer) restoreKeys(snapshot *Snapshot) {
	weight := 1 - snapshot.AgeMs/snapshotKeysMaxAgeMs
	for _, key := range snapshot.Keys[:min(len(snapshot.Keys), maxSnapshotKeys)] {
		if count := finiteOrZero(key.Count) * weight; count >= minKeyCount {
			b.keys.counts[key.Key] += count
			b.keys.total += count
		}
	}
}

func (b *Balancer) restoreLatency(snapshot *Snapshot) {
	model := &b.latency
	classes := min(len(model.expectedMs), len(snapshot.ExpectedLatencyMs))
	for i, expectedMs := range snapshot.ExpectedLatencyMs[:classes] {
		if finiteOrZero(expectedMs) > 0 {
			model.expectedMs[i] = min(expectedMs, maxRelativeLatency*b.settings.Classes[i].LatencyTargetMs)
		}
	}
	baseline := finiteOrZero(snapshot.BaselineLatency)
	if baseline > 0 && snapshot.Responses > baselineResponses {
		model.baseline = min(baseline, overloadTargetShare)
		model.recentMean = min(finiteOrZero(snapshot.RecentLatency), maxRelativeLatency)
		model.responses = baselineResponses + 1
	}
}

// restoreLoad restores the demand on the fleet with little weight: two probes outweigh it.
func (b *Balancer) restoreLoad(snapshot *Snapshot) {
	if !(finiteOrZero(snapshot.Demand) > 0) || !(snapshot.AdmittedShare > 0) || snapshot.AdmittedShare > 1 {
		return
	}
	b.admission.demand, b.admission.admittedShare = snapshot.Demand, snapshot.AdmittedShare
	b.admission.samples = utilizationWindow / 2
	b.capacity.peak = max(b.capacity.peak, min(finiteOrZero(snapshot.PeakCapacity), 2*b.currentCapacity()))
}

// restoreServer restores what the earlier process had learned about a server.
func (b *Balancer) restoreServer(srv *server, savedServer *ServerSnapshot) {
	srv.failureRate = min(finiteOrZero(savedServer.FailureRate), 1)
	srv.relativeLatency = min(finiteOrZero(savedServer.Latency), maxRelativeLatency)
	srv.meanLatencyMs = finiteOrZero(savedServer.MeanLatencyMs)
	srv.latencySamples = min(max(savedServer.LatencySamples, 0), maxRestoredSamples)
	limit := min(finiteOrZero(savedServer.ConcurrencyLimit), maxRestoredConcurrency)
	srv.concurrencyLimit = max(limit, minConcurrency)
	b.transition(srv, min(savedServer.State, UnhealthyPending))
	if srv.state == UnhealthyPending {
		srv.timedOut, srv.ejections = savedServer.TimedOut, min(savedServer.Ejections, 1)
		// Validation is spread over the time in the pending tier: agents that start together must not
		// validate the server all at once.
		srv.since = b.now - b.rng.Float64()*b.minLatencyTarget
	}
}
