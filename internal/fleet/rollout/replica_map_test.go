package rollout

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestReplicaMapFindsShortages(t *testing.T) {
	s := testSpec(t)
	now := time.Hour
	g := NewReplicaMap()
	g.Tick(now)
	a, b := NewSendTracker(), NewSendTracker()
	hot := Group{"r.dossier", 77}
	for i := range 400 {
		a.Record(now, []string{"x", "y"}[i%2], hot)
		a.Record(now, "x", Group{"quick", uint64(i)})
	}
	for range 30 {
		b.Record(now, "x", Group{"quick", 1000})
	}
	b.Record(now, "z", Group{"quick", 1000})
	ra, rb := a.Take(), b.Take()
	g.Add(s, "n", &ra)
	g.Add(s, "s", &rb)
	assert.Empty(t, a.Take().Buckets)

	servers := map[string]serverReplica{"x": {"n", oldRevision, true}, "y": {"n", oldRevision, true}, "z": {"n", newRevision, true}, "w": {"s", oldRevision, true}}
	n, worst := g.shortages("x", servers, 20, false)
	assert.Equal(t, 2, n, "the hot one by its hash and by its name; the others come seldom or are asked for elsewhere")
	assert.Equal(t, 3, worst.Need)
	assert.Equal(t, 1, worst.Have)
	assert.Contains(t, worst.Group, "r.dossier/")
	n, _ = g.shortages("x", servers, 20, true)
	assert.Zero(t, n, "y holds it, too")
	y := servers["y"]
	y.serves = false
	servers["y"] = y
	n, worst = g.shortages("x", servers, 20, true)
	assert.Equal(t, 2, n)
	assert.Equal(t, Shortage{worst.Group, 0, 1}, worst)
	n, _ = g.shortages("w", servers, 20, false)
	assert.Zero(t, n)

	for range 2 * epochs {
		now += epochDuration
		g.Tick(now)
	}
	assert.Empty(t, g.rows)
	assert.Empty(t, g.hot)
}

func TestReplicaMapIsBounded(t *testing.T) {
	s := testSpec(t)
	g, tr := NewReplicaMap(), NewSendTracker()
	for i := range 4 * maxReportPairs {
		for range 3 {
			tr.Record(time.Second, fmt.Sprint("s", i), Group{"quick", uint64(i)})
		}
	}
	assert.LessOrEqual(t, len(tr.bucketSends), maxReportPairs)
	assert.LessOrEqual(t, len(tr.hotCounts), trackedHotGroups)
	r := tr.Take()
	for i := range 4 {
		g.Add(s, fmt.Sprint("region", i*7), &r)
	}
	many := Sends{Hot: map[string][]HotGroupSends{"x": nil}, Buckets: map[string]map[string][]uint32{}}
	for i := range 3 * maxHotGroups {
		many.Hot["x"] = append(many.Hot["x"], HotGroupSends{Group{"r", uint64(i)}, -5})
		many.Buckets[fmt.Sprint(i)] = map[string][]uint32{"x": {math.MaxUint32}}
	}
	g.Add(s, "n", &many)
	assert.LessOrEqual(t, len(g.hot), maxHotGroups)
	assert.LessOrEqual(t, len(g.regions), maxRegions)
	assert.LessOrEqual(t, len(g.routes), 254)
}
