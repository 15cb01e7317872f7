package rollout

import "time"

const (
	// maxReportPairs bounds the counts of groups in one report.
	maxReportPairs = 4096
	// trackedHotGroups is the number of groups that an agent counts by themselves.
	trackedHotGroups = 32
	// minHotRequests and minHotShare are the requests of an epoch, and the part of all of them, from
	// which a group is hot.
	minHotRequests, minHotShare = 20, 0.01
	// newcomerSampling is how many requests of untracked groups pass for each one that is counted.
	newcomerSampling = 8
)

// SendTracker is an agent's part of the ReplicaMap: which groups it sent where. It is not safe for
// concurrent use.
type SendTracker struct {
	epochEndsAt   time.Duration
	epochRequests int
	bucketSends   map[bucketSend]int
	groupSends    map[groupSend]int
	hotCounts     map[Group]int // of the epoch
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

// NewSendTracker returns a tracker that has sent nothing.
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
	if n := t.countHot(g); n >= minHotRequests && float64(n) >= minHotShare*float64(t.epochRequests) {
		incrementBounded(t.groupSends, groupSend{g, server})
	}
}

// incrementBounded counts a key, unless that would be one key too many.
func incrementBounded[K comparable](counts map[K]int, key K) {
	if n, ok := counts[key]; ok || len(counts) < maxReportPairs {
		counts[key] = min(n+1, maxCount)
	}
}

// countHot counts a group by the Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005): a
// newcomer replaces the rarest group and takes over its count. Only some of the newcomers do: that
// is enough to find the hot ones. It returns the group's count, 0 for a newcomer.
func (t *SendTracker) countHot(g Group) int {
	n, tracked := t.hotCounts[g]
	if tracked || len(t.hotCounts) < trackedHotGroups {
		t.hotCounts[g] = n + 1
		return n + 1
	}
	if t.epochRequests%newcomerSampling != 0 {
		return 0
	}
	rarest, count := t.rarestHot()
	delete(t.hotCounts, rarest)
	t.hotCounts[g] = count + 1
	return 0 // its bucket stands for it at first
}

// rarestHot is the tracked group of the fewest requests.
func (t *SendTracker) rarestHot() (rarest Group, count int) {
	count = -1
	for g, n := range t.hotCounts {
		if count < 0 || n < count {
			rarest, count = g, n
		}
	}
	return rarest, count
}

// Take returns what was sent since it was last called.
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
