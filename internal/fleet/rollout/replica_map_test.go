package rollout

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestReplicaMapFindsShortages(t *testing.T) {
	const minRequests = 20
	spec := testSpec(t)
	now := time.Hour
	replicas := NewReplicaMap()
	replicas.Tick(now)
	north, south := NewSendTracker(), NewSendTracker()
	hot := Group{"r.dossier", 77}
	for i := range 400 {
		north.Record(now, []string{"x", "y"}[i%2], hot)
		north.Record(now, "x", Group{"quick", uint64(i)})
	}
	for range 30 {
		south.Record(now, "x", Group{"quick", 1000})
	}
	south.Record(now, "z", Group{"quick", 1000})
	northSends, southSends := north.Take(), south.Take()
	replicas.Add(spec, "n", &northSends)
	replicas.Add(spec, "s", &southSends)
	assert.Empty(t, north.Take().Buckets)

	servers := map[string]serverReplica{
		"x": {"n", oldRevision, true},
		"y": {"n", oldRevision, true},
		"z": {"n", newRevision, true},
		"w": {"s", oldRevision, true},
	}
	n, worst := replicas.shortages("x", servers, minRequests, false)
	// The hot group counts as a bucket and individually. Other groups are rare or requested elsewhere.
	assert.Equal(t, 2, n, "groups short of replicas")
	assert.Equal(t, 3, worst.Need)
	assert.Equal(t, 1, worst.Have)
	assert.Contains(t, worst.Group, "r.dossier/")
	n, _ = replicas.shortages("x", servers, minRequests, true)
	assert.Zero(t, n, "y is a replica of the group as well")
	y := servers["y"]
	y.serves = false
	servers["y"] = y
	n, worst = replicas.shortages("x", servers, minRequests, true)
	assert.Equal(t, 2, n)
	assert.Equal(t, Shortage{worst.Group, 0, 1}, worst)
	n, _ = replicas.shortages("w", servers, minRequests, false)
	assert.Zero(t, n)

	for range 2 * epochs {
		now += epochDuration
		replicas.Tick(now)
	}
	assert.Empty(t, replicas.rows)
	assert.Empty(t, replicas.hotGroups)
}

func TestReplicaMapIsBounded(t *testing.T) {
	spec := testSpec(t)
	replicas, tracker := NewReplicaMap(), NewSendTracker()
	for i := range 4 * maxReportPairs {
		for range 3 {
			tracker.Record(time.Second, fmt.Sprint("s", i), Group{"quick", uint64(i)})
		}
	}
	assert.LessOrEqual(t, len(tracker.bucketSends), maxReportPairs)
	assert.LessOrEqual(t, len(tracker.hotCounts), trackedHotGroups)
	sends := tracker.Take()
	for i := range 4 {
		replicas.Add(spec, fmt.Sprint("region", i*7), &sends)
	}
	excess := Sends{Hot: map[string][]HotGroupSends{"x": nil}, Buckets: map[string]map[string][]uint32{}}
	for i := range 3 * maxHotGroups {
		excess.Hot["x"] = append(excess.Hot["x"], HotGroupSends{Group{"r", uint64(i)}, -5})
		excess.Buckets[fmt.Sprint(i)] = map[string][]uint32{"x": {math.MaxUint32}}
	}
	replicas.Add(spec, "n", &excess)
	assert.LessOrEqual(t, len(replicas.hotGroups), maxHotGroups)
	assert.LessOrEqual(t, len(replicas.regions), maxRegions)
	assert.LessOrEqual(t, len(replicas.routes), maxIndexedRoutes)
}
