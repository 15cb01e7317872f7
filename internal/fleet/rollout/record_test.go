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

func spec(t *testing.T) *Spec {
	s, err := Parse([]byte(specText))
	require.NoError(t, err)
	return s
}

func started(t *testing.T) *Record {
	r, err := (&Record{}).Start(spec(t))
	require.NoError(t, err)
	return r
}

func TestOrdersOfTheOperator(t *testing.T) {
	r := started(t)
	assert.EqualValues(t, 1, r.Number)
	assert.EqualValues(t, 1, r.Version)

	again, err := r.Start(spec(t))
	require.NoError(t, err)
	assert.Same(t, r, again, "the same order changes nothing")
	other := *spec(t)
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

	b, err := p.Abort(1, "")
	require.NoError(t, err)
	assert.Equal(t, Back, b.Phase)
	assert.EqualValues(t, 4, b.Version)
	twice, err = b.Abort(1, "another operator")
	require.NoError(t, err)
	assert.Same(t, b, twice)
	_, err = b.Start(spec(t))
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))

	e := b.change()
	e.end(TurnedBack)
	_, err = e.Abort(1, "")
	assert.Equal(t, apierror.NotFound, apierror.KindOf(err))
	n, err := e.Start(spec(t))
	require.NoError(t, err)
	assert.EqualValues(t, 2, n.Number)
	assert.Len(t, n.Past, 1)
	assert.Empty(t, n.Why)
}

// Two operators at once: each order is made on the record that was read, one write is kept.
func TestTwoOperatorsAtOnce(t *testing.T) {
	kept := &Record{}
	put := func(next *Record) bool {
		if next.Version != kept.Version+1 {
			return false
		}
		kept = next
		return true
	}
	one, two := *spec(t), *spec(t)
	two.To = 7
	a, err := kept.Start(&one)
	require.NoError(t, err)
	b, err := kept.Start(&two)
	require.NoError(t, err)
	require.True(t, put(a))
	require.False(t, put(b))
	_, err = kept.Start(&two)
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))
}

func TestANewHolderFencesTheOldOne(t *testing.T) {
	r := started(t)
	a, err := r.Seize(1, "a")
	require.NoError(t, err)
	same, err := a.Seize(1, "a")
	require.NoError(t, err)
	assert.Same(t, a, same)
	late := a.change() // what a has under way
	b, err := a.Seize(2, "b")
	require.NoError(t, err)
	assert.Equal(t, late.Version, b.Version, "one of them is kept")
	_, err = b.Seize(1, "a")
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))
}

func TestPartsOfARecordAreOfOne(t *testing.T) {
	r := started(t)
	r.Out = []Leaving{{ID: "a", Addr: "x:1", Zone: "z", Step: Passing, Since: 1}}
	r.addFull("b")
	moving, rest, err := r.Split()
	require.NoError(t, err)
	back, ok, err := Join(moving, rest)
	require.NoError(t, err)
	require.True(t, ok)
	assert.Equal(t, r, back)
	n := r.change()
	n.addFull("c")
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

func TestPastIsBounded(t *testing.T) {
	r := &Record{}
	for range 3 * maxPast {
		n, err := r.Start(spec(t))
		require.NoError(t, err)
		r = n.change()
		r.end(Done)
		require.NoError(t, r.Check())
	}
	require.Len(t, r.Past, maxPast)
	assert.EqualValues(t, 3*maxPast, r.Past[maxPast-1].Number)
}

func TestARecordComesBackAsItWas(t *testing.T) {
	r := started(t)
	r, err := r.Seize(3, "a")
	require.NoError(t, err)
	r.Begun, r.Whole = true, map[string]float64{"r": 4}
	r.Out = []Leaving{{ID: "a", Addr: "x:1", Zone: "z", Step: Passing, Since: 1}}
	r.In = []Entering{{ID: "b", Step: Third, Since: 1}}
	for i := range 850 {
		r.addFull(fmt.Sprint("s", i))
	}
	raw, err := r.Encode()
	require.NoError(t, err)
	assert.Less(t, len(raw), 10<<10)
	back, err := Decode(raw)
	require.NoError(t, err)
	assert.Equal(t, r, back)
	assert.True(t, back.full("s17"))
	assert.False(t, back.full("s850"))

	_, err = Decode(raw[:len(raw)/2])
	assert.Equal(t, apierror.Damaged, apierror.KindOf(err))
	_, err = Decode([]byte{99, 1})
	assert.Equal(t, apierror.Damaged, apierror.KindOf(err))
	none, err := Decode(nil)
	require.NoError(t, err)
	assert.Equal(t, &Record{}, none)
	for _, bad := range []func(*Record){
		func(r *Record) { r.Phase = 77 }, func(r *Record) { r.Number = 0 }, func(r *Record) { r.Out[0].Since = 99 }, func(r *Record) { r.In[0].ID = "a" },
		func(r *Record) { r.Full[0], r.Full[1] = r.Full[1], r.Full[0] }, func(r *Record) { r.Spec.To = r.Spec.From }, func(r *Record) { r.Why = strings.Repeat("x", 600) },
		func(r *Record) { r.Out = append(r.Out, r.Out[0]) }, func(r *Record) { r.Holder = strings.Repeat("x", 600) },
	} {
		c := r.clone()
		bad(c)
		assert.Error(t, c.Check())
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
	f := newFleet(t, small6(1))
	f.play(300)
	f.start()
	f.until("a few", func() bool { return f.rec.Moved >= 2 })
	s := f.machine.Status(f.now, f.rec, f.facts())
	assert.Equal(t, 6, s.Old+s.New)
	assert.Positive(t, s.Left)
	assert.Less(t, s.Left, 3*time.Hour)
	text, err := json.Marshal(&s)
	require.NoError(t, err)
	assert.Contains(t, string(text), `"phase":"forward"`)
	assert.Contains(t, s.String(), "rollout 1 of s, model m from 1 to 2: forward")
	f.until("a server for the platform", func() bool { return len(f.rec.Out) > 0 && f.rec.Out[0].Step == Replacing })
	s = f.rec.Status(f.facts().Servers)
	assert.Equal(t, []string{f.rec.Out[0].ID}, s.Replace)
	assert.False(t, s.Holds)
	f.until("the end", f.over)
	assert.Zero(t, f.machine.Status(f.now, f.rec, f.facts()).Left)
}

// Whatever servers, agents and operators do, each record that follows is a proper one, on top of the
// one before it, and with no more servers out than may be, those apart that come in on their own.
func TestWhateverHappensRecordsAreProper(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sp := defaults()
		sp.Service, sp.Model, sp.From, sp.To = "s", "m", 1, 2
		sp.Pace = Pace{AtOnce: rapid.IntRange(1, 3).Draw(t, "at once"), ReplaceS: 60, FillPerS: 1, WaitS: 10}
		sp.Keep = Keep{Usable: 1, LiveS: 15}
		sp.Judge.Own = 0
		rec, err := (&Record{}).Start(&sp)
		if err != nil {
			t.Fatal(err)
		}
		now, next := time.Hour, 0
		var servers []Server
		serve := func(addr string, revision int) {
			next++
			servers = append(servers, Server{ID: fmt.Sprint("s", next), Addr: addr, Zone: "z", Region: "r", Revision: revision, Capacity: 1, Well: true, InFlight: -1})
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
			serve(fmt.Sprint(i), 1)
		}
		m, w := NewMachine(), NewWatch(rec)
		m.learn = 0
		w.Judge.sums[family{}] = &sums{old: 1e6, new: 1e6}
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
				m = NewMachine()
				m.learn = 0
			default:
				seq++
				if err := w.Report(&Report{Source: "a", Seq: seq, Region: "r", Number: rec.Number, Obeys: rec.Version, Held: map[string]int{}}); err != nil {
					t.Fatal(err)
				}
			}
			for _, l := range rec.Out { // the platform's turn
				for i := range servers {
					if s := &servers[i]; s.ID == l.ID && l.Step == Replacing && s.State == registry.Ready && rapid.Bool().Draw(t, "replaced") {
						s.State = registry.Deregistered
						serve(s.Addr, rec.target())
					}
				}
			}
			f := &Facts{Agents: w.Agents([]string{"a"}), Watch: w}
			for _, s := range servers {
				if s.State != registry.Deregistered {
					f.Servers = append(f.Servers, s)
				}
			}
			was := rec
			n := m.Step(now, rec, f)
			if n == nil {
				continue
			}
			if n.Version != was.Version+1 || n.Number != was.Number {
				t.Fatalf("%d of rollout %d follows on %d of %d", n.Version, n.Number, was.Version, was.Number)
			}
			if err := n.Check(); err != nil {
				t.Fatal(err)
			}
			if raw, err := n.Encode(); err != nil {
				t.Fatal(err)
			} else if back, err := Decode(raw); err != nil || back.Version != n.Version {
				t.Fatal(err)
			}
			for _, l := range n.Out {
				if was.leaving(l.ID) == nil && l.Step == Thin && len(n.Out)+len(n.In) > sp.Pace.AtOnce {
					t.Fatalf("%s is taken, and %d are out", l.ID, len(n.Out)+len(n.In))
				}
				for _, s := range f.Servers {
					if old := was.leaving(l.ID); s.ID == l.ID && s.State == registry.Ready && l.Step > Emptying && (old == nil || old.Step < Emptying) {
						t.Fatalf("%s goes from %v to %s at once", l.ID, old, l.Step)
					}
				}
			}
			rec = n
		}
	})
}
