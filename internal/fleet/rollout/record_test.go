package rollout

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

func testSpec(t *testing.T) *Spec {
	s, err := Parse([]byte(specText))
	require.NoError(t, err)
	return s
}

func startedRecord(t *testing.T) *Record {
	r, err := (&Record{}).Start(testSpec(t))
	require.NoError(t, err)
	return r
}

func TestOperations(t *testing.T) {
	r := startedRecord(t)
	assert.EqualValues(t, 1, r.Number)
	assert.EqualValues(t, 1, r.Version)

	again, err := r.Start(testSpec(t))
	require.NoError(t, err)
	assert.Same(t, r, again, "the same order changes nothing")
	other := *testSpec(t)
	other.To = 3
	_, err = r.Start(&other)
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))
	assert.ErrorContains(t, err, "rollout 1 of tenant-llm to 2 is under way (forward); wait for its end, or abort it")

	_, err = r.Pause(2, "")
	assert.Equal(t, apierror.NotFound, apierror.KindOf(err))
	p, err := r.Pause(1, "lunch")
	require.NoError(t, err)
	assert.True(t, p.Paused)
	assert.False(t, r.Paused, "a record that was written stays as it is")
	twice, err := p.Pause(1, "")
	require.NoError(t, err)
	assert.Same(t, p, twice)
	p, err = p.Resume(1)
	require.NoError(t, err)
	assert.False(t, p.Paused)

	rollback, err := p.Abort(1, "")
	require.NoError(t, err)
	assert.Equal(t, PhaseRollback, rollback.Phase)
	assert.EqualValues(t, 4, rollback.Version)
	twice, err = rollback.Abort(1, "another operator")
	require.NoError(t, err)
	assert.Same(t, rollback, twice)
	_, err = rollback.Start(testSpec(t))
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))

	e := rollback.nextVersion()
	e.finish(PhaseRolledBack)
	_, err = e.Abort(1, "")
	assert.Equal(t, apierror.NotFound, apierror.KindOf(err))
	n, err := e.Start(testSpec(t))
	require.NoError(t, err)
	assert.EqualValues(t, 2, n.Number)
	assert.Len(t, n.History, 1)
	assert.Empty(t, n.Reason)
}

// Two operators at once: each order is made on the record that was read, one write is kept.
func TestConcurrentOperators(t *testing.T) {
	stored := &Record{}
	put := func(next *Record) bool {
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
	require.True(t, put(a))
	require.False(t, put(b))
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
	late := a.nextVersion() // what a has under way
	b, err := a.Claim(2, "b")
	require.NoError(t, err)
	assert.Equal(t, late.Version, b.Version, "one of them is kept")
	_, err = b.Claim(1, "a")
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))
}

func TestJoinRejectsPartsOfTwoRecords(t *testing.T) {
	r := startedRecord(t)
	r.Draining = []DrainingServer{{ID: "a", Addr: "x:1", Zone: "z", Step: DrainMigrating, Since: 1}}
	r.addFullShare("b")
	moving, rest, err := r.Split()
	require.NoError(t, err)
	back, ok, err := Join(moving, rest)
	require.NoError(t, err)
	require.True(t, ok)
	assert.Equal(t, r, back)
	n := r.nextVersion()
	n.addFullShare("c")
	moving2, rest2, err := n.Split()
	require.NoError(t, err)
	_, ok, err = Join(moving2, rest)
	require.NoError(t, err)
	assert.False(t, ok)
	_, ok, err = Join(moving, rest2)
	require.NoError(t, err)
	assert.False(t, ok)
	_, _, err = Join(nil, rest)
	assert.Error(t, err)
	_, _, err = Join(moving[:9], rest)
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
	back, err := Decode(raw)
	require.NoError(t, err)
	assert.Equal(t, r, back)
	assert.True(t, back.hasFullShare("s17"))
	assert.False(t, back.hasFullShare("s850"))

	_, err = Decode(raw[:len(raw)/2])
	assert.Equal(t, apierror.Corrupted, apierror.KindOf(err))
	_, err = Decode([]byte{99, 1})
	assert.Equal(t, apierror.Corrupted, apierror.KindOf(err))
	none, err := Decode(nil)
	require.NoError(t, err)
	assert.Equal(t, &Record{}, none)
	for _, bad := range []func(*Record){
		func(r *Record) { r.Phase = 77 }, func(r *Record) { r.Number = 0 }, func(r *Record) { r.Draining[0].Since = 99 }, func(r *Record) { r.Ramping[0].ID = "a" },
		func(r *Record) { r.FullShare[0], r.FullShare[1] = r.FullShare[1], r.FullShare[0] }, func(r *Record) { r.Spec.To = r.Spec.From }, func(r *Record) { r.Reason = strings.Repeat("x", 600) },
		func(r *Record) { r.Draining = append(r.Draining, r.Draining[0]) }, func(r *Record) { r.Holder = strings.Repeat("x", 600) },
	} {
		c := r.clone()
		bad(c)
		assert.Error(t, c.Validate())
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
	f := newFleet(t, site6(1))
	f.play(300)
	f.start()
	f.playUntil("a few", func() bool { return f.record.Replaced >= 2 })
	s := f.controller.Status(f.now, f.record, f.observation())
	assert.Equal(t, 6, s.OldServers+s.NewServers)
	assert.Positive(t, s.TimeLeft)
	assert.Less(t, s.TimeLeft, 3*time.Hour)
	text, err := json.Marshal(&s)
	require.NoError(t, err)
	assert.Contains(t, string(text), `"phase":"forward"`)
	assert.Contains(t, s.String(), "rollout 1 of s, model m from 1 to 2: forward")
	f.playUntil("a server for the platform", func() bool { return len(f.record.Draining) > 0 && f.record.Draining[0].Step == DrainReplacing })
	s = f.record.Status(f.observation().Servers)
	assert.Equal(t, []string{f.record.Draining[0].ID}, s.Replace)
	assert.False(t, s.HoldsLease)
	f.playUntil("the end", f.ended)
	assert.Zero(t, f.controller.Status(f.now, f.record, f.observation()).TimeLeft)
}

// Whatever servers, agents and operators do, each record that follows is a proper one, on top of the
// one before it, and with no more servers out than may be, those apart that come in on their own.
func TestArbitraryHistoryKeepsRecordsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sp := defaultSpec()
		sp.Service, sp.Model, sp.From, sp.To = "s", "m", 1, 2
		sp.Pace = Pace{AtOnce: rapid.IntRange(1, 3).Draw(t, "at once"), ReplaceSeconds: 60, WarmupPromptsPerSecond: 1, WaitSeconds: 10}
		sp.Safety = Safety{UsableCapacity: 1, LiveSeconds: 15}
		sp.Judge.MinServerRequests = 0
		rec, err := (&Record{}).Start(&sp)
		if err != nil {
			t.Fatal(err)
		}
		now, next := time.Hour, 0
		var servers []Server
		serve := func(addr string, revision int) {
			next++
			servers = append(servers, Server{ID: fmt.Sprint("s", next), Addr: addr, Zone: "z", Region: "r", Revision: revision, Capacity: 1, Healthy: true, InFlight: -1})
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
			serve(fmt.Sprint(i), 1)
		}
		m, w := NewController(), NewReportAggregator(rec)
		m.learningPeriod = 0
		w.Judge.comparisons[cohort{}] = &comparison{baseline: 1e6, canary: 1e6}
		seq := uint64(0)
		for range rapid.IntRange(1, 150).Draw(t, "turns") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "s")) * time.Second
			order := func(r *Record, err error) {
				if err == nil && r != rec {
					rec = r
				}
			}
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				order(rec.Pause(rec.Number, "x"))
			case 1:
				order(rec.Resume(rec.Number))
			case 2:
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
					order(rec.Abort(rec.Number, "x"))
				}
			case 3:
				s := &servers[rapid.IntRange(0, len(servers)-1).Draw(t, "which")]
				s.State = rapid.SampledFrom([]registry.State{registry.Ready, registry.Expired, registry.Draining, registry.Deregistered}).Draw(t, "state")
				if s.State == registry.Deregistered {
					serve(s.Addr, rapid.SampledFrom([]int{1, 2, 2, 2}).Draw(t, "revision"))
				}
			case 4:
				m = NewController()
				m.learningPeriod = 0
			default:
				seq++
				if err := w.Add(&Report{Source: "a", Seq: seq, Region: "r", Rollout: rec.Number, AppliedVersion: rec.Version, InFlight: map[string]int{}}); err != nil {
					t.Fatal(err)
				}
			}
			for _, l := range rec.Draining { // the platform's turn
				for i := range servers {
					if s := &servers[i]; s.ID == l.ID && l.Step == DrainReplacing && s.State == registry.Ready && rapid.Bool().Draw(t, "replaced") {
						s.State = registry.Deregistered
						serve(s.Addr, rec.targetRevision())
					}
				}
			}
			f := &Observation{Agents: w.Agents([]string{"a"}), Reports: w}
			for _, s := range servers {
				if s.State != registry.Deregistered {
					f.Servers = append(f.Servers, s)
				}
			}
			was := rec
			n := m.Reconcile(now, rec, f)
			if n == nil {
				continue
			}
			if n.Version != was.Version+1 || n.Number != was.Number {
				t.Fatalf("%d of rollout %d follows on %d of %d", n.Version, n.Number, was.Version, was.Number)
			}
			if err := n.Validate(); err != nil {
				t.Fatal(err)
			}
			if raw, err := n.Encode(); err != nil {
				t.Fatal(err)
			} else if back, err := Decode(raw); err != nil || back.Version != n.Version {
				t.Fatal(err)
			}
			for _, l := range n.Draining {
				if was.draining(l.ID) == nil && l.Step == DrainThird && len(n.Draining)+len(n.Ramping) > sp.Pace.AtOnce {
					t.Fatalf("%s is taken, and %d are out", l.ID, len(n.Draining)+len(n.Ramping))
				}
				for _, s := range f.Servers {
					if old := was.draining(l.ID); s.ID == l.ID && s.State == registry.Ready && l.Step > DrainFinishing && (old == nil || old.Step < DrainFinishing) {
						t.Fatalf("%s goes from %v to %s at once", l.ID, old, l.Step)
					}
				}
			}
			rec = n
		}
	})
}
