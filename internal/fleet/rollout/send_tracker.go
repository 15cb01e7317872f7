package rollout

import "time"

const (
	// maxReportPairs is the maximum number of pairs of a server and a bucket in a report, and of a server
	// and a hot group.
	maxReportPairs = 4096
	// trackedHotGroups is the maximum number of groups that an agent counts individually.
	trackedHotGroups = 32
	// A group is hot if it has at least minHotRequests requests in an epoch, and at least the fraction
	// minHotShare of all requests.
	minHotRequests, minHotShare = 20, 0.01
	// newcomerSampling samples untracked groups: only every newcomerSampling-th request of an epoch may
	// make its group a tracked one once trackedHotGroups are tracked.
	newcomerSampling = 8
)

// SendTracker counts, for an agent's reports, which groups the agent sent to which servers. It is not
// safe for concurrent use.
type SendTracker struct {
	epochEndsAt   time.Duration
	epochRequests int // requests in the epoch
	bucketSends   map[bucketSend]int
	groupSends    map[groupSend]int
	hotCounts     map[Group]int // requests in the epoch, by tracked group
}

type (
	bucketSend struct {
		route, server string
		bucket        uint16
	}
	groupSend struct {
		Group
		server string
	}
)

// NewSendTracker returns a tracker without sends.
func NewSendTracker() *SendTracker {
	return &SendTracker{bucketSends: map[bucketSend]int{}, groupSends: map[groupSend]int{}, hotCounts: map[Group]int{}}
}

// Record counts a request of a group that was sent to a server.
func (t *SendTracker) Record(now time.Duration, server string, g Group) {
	if g.Key == 0 {
		return
	}
	if now >= t.epochEndsAt {
		t.epochEndsAt = now + epochDuration
		clear(t.hotCounts)
		t.epochRequests = 0
	}
	t.epochRequests++
	incrementBounded(t.bucketSends, bucketSend{g.Route, server, g.bucket()})
	if n := t.countTracked(g); n >= minHotRequests && float64(n) >= minHotShare*float64(t.epochRequests) {
		incrementBounded(t.groupSends, groupSend{g, server})
	}
}

// incrementBounded increments the count of a key, unless the key is new and there are too many.
func incrementBounded[K comparable](counts map[K]int, key K) {
	if n, ok := counts[key]; ok || len(counts) < maxReportPairs {
		counts[key] = min(n+1, maxCount)
	}
}

// countTracked counts a group by the Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005): an
// untracked group replaces the rarest tracked one and takes over its count. It does so only for a sample
// of the requests, which is enough to find the hot groups. It returns the group's count, or 0 if the
// group was untracked and the maximum number was tracked.
func (t *SendTracker) countTracked(g Group) int {
	n, tracked := t.hotCounts[g]
	if tracked || len(t.hotCounts) < trackedHotGroups {
		t.hotCounts[g] = n + 1
		return n + 1
	}
	if t.epochRequests%newcomerSampling != 0 {
		return 0
	}
	rarest, count := t.rarestTracked()
	delete(t.hotCounts, rarest)
	t.hotCounts[g] = count + 1
	return 0 // for now the group is counted only by its bucket
}

// rarestTracked returns the tracked group with the fewest requests.
func (t *SendTracker) rarestTracked() (rarest Group, count int) {
	count = -1
	for g, n := range t.hotCounts {
		if count < 0 || n < count {
			rarest, count = g, n
		}
	}
	return rarest, count
}

// Take returns the sends since the last call of Take.
func (t *SendTracker) Take() Sends {
	var sends Sends
	for key, n := range t.bucketSends {
		if sends.Buckets == nil {
			sends.Buckets = map[string]map[string][]uint32{}
		}
		servers := sends.Buckets[key.route]
		if servers == nil {
			servers = map[string][]uint32{}
			sends.Buckets[key.route] = servers
		}
		servers[key.server] = append(servers[key.server], packBucket(key.bucket, n))
	}
	for key, n := range t.groupSends {
		if sends.Hot == nil {
			sends.Hot = map[string][]HotGroupSends{}
		}
		sends.Hot[key.server] = append(sends.Hot[key.server], HotGroupSends{key.Group, n})
	}
	clear(t.bucketSends)
	clear(t.groupSends)
	return sends
}
