package rollout

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

func testSpec(t *testing.T) *Spec {
	t.Helper()
	s, err := Parse([]byte(specText))
	require.NoError(t, err)
	return s
}

func startedRecord(t *testing.T) *Record {
	t.Helper()
	r, err := (&Record{}).Start(testSpec(t))
	require.NoError(t, err)
	return r
}

func TestOperations(t *testing.T) {
	r := startedRecord(t)
	assert.EqualValues(t, 1, r.Number)
	assert.EqualValues(t, 1, r.Version)

	repeated, err := r.Start(testSpec(t))
	require.NoError(t, err)
	assert.Same(t, r, repeated, "a repeated operation changes nothing")
	other := *testSpec(t)
	other.To = 3
	_, err = r.Start(&other)
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))
	assert.ErrorContains(t, err, "rollout 1 of tenant-llm to 2 is under way (forward); wait for its end, or abort it")

	_, err = r.Pause(2, "")
	assert.Equal(t, apierror.NotFound, apierror.KindOf(err))
	paused, err := r.Pause(1, "lunch")
	require.NoError(t, err)
	assert.True(t, paused.Paused)
	assert.False(t, r.Paused, "a written record is immutable")
	repeated, err = paused.Pause(1, "")
	require.NoError(t, err)
	assert.Same(t, paused, repeated)
	resumed, err := paused.Resume(1)
	require.NoError(t, err)
	assert.False(t, resumed.Paused)

	rollback, err := resumed.Abort(1, "")
	require.NoError(t, err)
	assert.Equal(t, PhaseRollback, rollback.Phase)
	assert.EqualValues(t, 4, rollback.Version)
	repeated, err = rollback.Abort(1, "another operator")
	require.NoError(t, err)
	assert.Same(t, rollback, repeated)
	_, err = rollback.Start(testSpec(t))
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))

	ended := rollback.nextVersion()
	ended.finish(PhaseRolledBack)
	_, err = ended.Abort(1, "")
	assert.Equal(t, apierror.NotFound, apierror.KindOf(err))
	next, err := ended.Start(testSpec(t))
	require.NoError(t, err)
	assert.EqualValues(t, 2, next.Number)
	assert.Len(t, next.History, 1)
	assert.Empty(t, next.Reason)
}

// Two operators start a rollout at the same time, based on the same record: only one write is committed.
func TestConcurrentOperators(t *testing.T) {
	stored := &Record{}
	compareAndSet := func(next *Record) bool {
		if next.Version != stored.Version+1 {
			return false
		}
		stored = next
		return true
	}
	one, two := *testSpec(t), *testSpec(t)
	two.To = 7
	a, err := stored.Start(&one)
	require.NoError(t, err)
	b, err := stored.Start(&two)
	require.NoError(t, err)
	require.True(t, compareAndSet(a))
	require.False(t, compareAndSet(b))
	_, err = stored.Start(&two)
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))
}

func TestClaimFencesTheFormerHolder(t *testing.T) {
	r := startedRecord(t)
	a, err := r.Claim(1, "a")
	require.NoError(t, err)
	same, err := a.Claim(1, "a")
	require.NoError(t, err)
	assert.Same(t, a, same)
	inFlight := a.nextVersion() // a write of holder a
	b, err := a.Claim(2, "b")
	require.NoError(t, err)
	assert.Equal(t, inFlight.Version, b.Version, "only one of the two writes can be committed")
	_, err = b.Claim(1, "a")
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))
}

func TestJoinRejectsPartsOfTwoRecords(t *testing.T) {
	r := startedRecord(t)
	r.Draining = []DrainingServer{{ID: "a", Addr: "x:1", Zone: "z", Step: DrainMigrating, Since: 1}}
	r.addFullShare("b")
	dynamic, stable, err := r.Split()
	require.NoError(t, err)
	joined, ok, err := Join(dynamic, stable)
	require.NoError(t, err)
	require.True(t, ok)
	assert.Equal(t, r, joined)
	next := r.nextVersion()
	next.addFullShare("c")
	nextDynamic, nextStable, err := next.Split()
	require.NoError(t, err)
	_, ok, err = Join(nextDynamic, stable)
	require.NoError(t, err)
	assert.False(t, ok)
	_, ok, err = Join(dynamic, nextStable)
	require.NoError(t, err)
	assert.False(t, ok)
	_, _, err = Join(nil, stable)
	assert.Error(t, err)
	_, _, err = Join(dynamic[:9], stable)
	assert.Error(t, err)
}

func TestHistoryIsBounded(t *testing.T) {
	r := &Record{}
	for range 3 * maxHistory {
		n, err := r.Start(testSpec(t))
		require.NoError(t, err)
		r = n.nextVersion()
		r.finish(PhaseDone)
		require.NoError(t, r.Validate())
	}
	require.Len(t, r.History, maxHistory)
	assert.EqualValues(t, 3*maxHistory, r.History[maxHistory-1].Number)
}

func TestRecordRoundTrip(t *testing.T) {
	r := startedRecord(t)
	r, err := r.Claim(3, "a")
	require.NoError(t, err)
	r.Initialized, r.InitialCapacity = true, map[string]float64{"r": 4}
	r.Draining = []DrainingServer{{ID: "a", Addr: "x:1", Zone: "z", Step: DrainMigrating, Since: 1}}
	r.Ramping = []RampingServer{{ID: "b", Step: RampThird, Since: 1}}
	for i := range 850 {
		r.addFullShare(fmt.Sprint("s", i))
	}
	raw, err := r.Encode()
	require.NoError(t, err)
	assert.Less(t, len(raw), 10<<10)
	decoded, err := Decode(raw)
	require.NoError(t, err)
	assert.Equal(t, r, decoded)
	assert.True(t, decoded.hasFullShare("s17"))
	assert.False(t, decoded.hasFullShare("s850"))

	_, err = Decode(raw[:len(raw)/2])
	assert.Equal(t, apierror.Corrupted, apierror.KindOf(err))
	_, err = Decode([]byte{99, 1})
	assert.Equal(t, apierror.Corrupted, apierror.KindOf(err))
	none, err := Decode(nil)
	require.NoError(t, err)
	assert.Equal(t, &Record{}, none)
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	valid := startedRecord(t)
	valid.Draining = []DrainingServer{{ID: "a", Addr: "x:1", Zone: "z", Step: DrainMigrating, Since: 1}}
	valid.Ramping = []RampingServer{{ID: "b", Step: RampThird, Since: 1}}
	valid.addFullShare("s1")
	valid.addFullShare("s2")
	require.NoError(t, valid.Validate())
	for name, damage := range map[string]func(*Record){
		"unknown phase":           func(r *Record) { r.Phase = 77 },
		"phase without a number":  func(r *Record) { r.Number = 0 },
		"step of a later version": func(r *Record) { r.Draining[0].Since = 99 },
		"draining and ramping":    func(r *Record) { r.Ramping[0].ID = "a" },
		"unsorted servers":        func(r *Record) { r.FullShare[0], r.FullShare[1] = r.FullShare[1], r.FullShare[0] },
		"invalid spec":            func(r *Record) { r.Spec.To = r.Spec.From },
		"long reason":             func(r *Record) { r.Reason = strings.Repeat("x", 600) },
		"server twice":            func(r *Record) { r.Draining = append(r.Draining, r.Draining[0]) },
		"long holder":             func(r *Record) { r.Holder = strings.Repeat("x", 600) },
	} {
		damaged := valid.clone()
		damage(damaged)
		assert.Equal(t, apierror.Corrupted, apierror.KindOf(damaged.Validate()), name)
	}
}

func FuzzDecode(f *testing.F) {
	raw, _ := (&Record{}).Encode()
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if r, err := Decode(raw); err == nil {
			r.Rules()
		}
	})
}

func TestStatus(t *testing.T) {
	none := (&Record{}).Status(nil)
	assert.Equal(t, "there was no rollout yet", none.String())
	f := startedFleet(t, site6(1))
	f.playUntil("two replacements", func() bool { return f.record.Replaced >= 2 })
	s := f.controller.Status(f.now, f.record, f.observation())
	assert.Equal(t, 6, s.OldServers+s.NewServers)
	assert.Positive(t, s.TimeLeft)
	assert.Less(t, s.TimeLeft, 3*time.Hour)
	text, err := json.Marshal(&s)
	require.NoError(t, err)
	assert.Contains(t, string(text), `"phase":"forward"`)
	assert.Contains(t, s.String(), "rollout 1 of s, model m from 1 to 2: forward")
	f.playUntil("a server handed to the platform", f.firstDrainAt(DrainReplacing))
	s = f.record.Status(f.observation().Servers)
	assert.Equal(t, []string{f.record.Draining[0].ID}, s.Replace)
	assert.False(t, s.HoldsLease)
	f.playUntil("the end", f.ended)
	assert.Zero(t, f.controller.Status(f.now, f.record, f.observation()).TimeLeft)
}
