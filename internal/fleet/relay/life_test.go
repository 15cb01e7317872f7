package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// still is a hub that does not run: a test has it tick, and its clock go.
type still struct {
	*Hub
	core *fakeCore
	last *Snapshot
}

func newStill(name string, core bool, peers ...Peer) *still {
	s := &still{core: newCore(core, core, peers...)}
	s.Hub = New(Options{Self: Member{Name: name, Addr: "addr of " + name, Zone: "near"}, Beat: 500 * time.Millisecond, Core: s.core,
		Seeds: func() []string { return []string{"seed-0", "seed-1", "seed-2"} }, OnChange: func(n *Snapshot) { s.last = n }})
	return s
}

// run ticks for that long; each is called between.
func (s *still) run(d time.Duration, each func()) {
	for end := s.now() + d; s.now() < end; {
		s.skip(tickEvery)
		if each != nil {
			each()
		}
		s.tick()
	}
}

// meet gives a hub a session with a peer, which says nothing by itself.
func (s *still) meet(peer, source string, core bool) *session {
	x := &session{peer: peer, source: source, core: core, has: deltasync.Vector{}, heard: s.now(), since: s.now(), begun: s.now() - time.Minute, cancel: func() {},
		received: func() uint64 { return 0 }, held: deltasync.Vector{}, unacked: map[string]bool{}, replicatedChanged: make(chan struct{}, 1), noticeTimer: time.NewTimer(time.Hour)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[x] = true
	return x
}

// says has the peer of a session say something; it is heard from then on.
func (s *still) says(x *session, m *message) {
	raw, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	copied := new(message)
	if err := msgpack.Unmarshal(raw, copied); err != nil {
		panic(err)
	}
	s.receive(x, copied)
}

func (s *still) hears(x *session) func() {
	return func() { s.says(x, &message{Core: x.core, Linked: x.core}) }
}

// pull takes all that another has.
func (s *still) pull(from *still) {
	from.mu.Lock()
	s.mu.Lock()
	deltas := from.set.DeltasSince(s.set.Vector())
	s.mu.Unlock()
	from.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(deltas)
}

func (s *still) source() string { return s.set.OwnSource() }

// ends are the sources that it tells the end of.
func (s *still) ends() (out []string) {
	for key, data := range s.items(s.source()) {
		if strings.HasPrefix(key, endPrefix) && data != nil {
			out = append(out, key[len(endPrefix):])
		}
	}
	return out
}

// items is all that a source tells.
func (s *still) items(source string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]byte{}
	for _, d := range s.set.DeltasSince(nil) {
		if d.Source == source {
			for _, it := range d.Items {
				out[it.Key] = it.Data
			}
		}
	}
	return out
}

// delta is the first of a source, of keys and data in turn.
func delta(source string, kv ...any) deltasync.Delta {
	d := deltasync.Delta{Source: source}
	for i := 0; i < len(kv); i += 2 {
		d.Upto++
		data, ok := kv[i+1].([]byte)
		if !ok {
			data = encode(kv[i+1])
		}
		d.Items = append(d.Items, deltasync.Item{Key: kv[i].(string), Ver: d.Upto, Data: data})
	}
	return d
}

var one = []byte{1}

// A life that goes on under a new name is told nothing by what peers had of the old one.
func TestANewLifeIsAcknowledgedAnew(t *testing.T) {
	s := newStill("a", false)
	x := s.meet("h", "h/1", true)
	s.says(x, &message{Core: true, Linked: true, Replicated: s.set.OwnVersion()})
	for i := range 20 {
		require.True(t, s.Beat(t.Context(), server(fmt.Sprint("s", i), 1)))
	}
	s.says(x, &message{Core: true, Linked: true, Replicated: s.set.OwnVersion()})
	require.True(t, s.Beat(t.Context(), server("s0", 2)))
	old := s.source()
	s.mu.Lock()
	s.end(old)
	s.mu.Unlock()
	require.NotEqual(t, old, s.source())
	s.says(x, &message{Core: true, Linked: true, Got: s.set.OwnVersion() + 5, Replicated: s.set.OwnVersion() + 5}) // was on its way
	assert.False(t, s.Beat(within(t, 50*time.Millisecond), drains("s0", 3)), "no peer of the new life has it")
	y := s.meet("h", "h/1", true)
	s.says(y, &message{Core: true, Linked: true, Got: s.set.OwnVersion() + 5, Replicated: s.set.OwnVersion() + 5})
	assert.False(t, s.Beat(within(t, 50*time.Millisecond), drains("s0", 4)), "nobody has what was not told yet")
	s.says(y, &message{Core: true, Linked: true, Got: s.set.OwnVersion()})
	assert.False(t, s.Beat(within(t, 50*time.Millisecond), drains("s0", 5)), "one hub has it")
	s.says(y, &message{Core: true, Linked: true, Replicated: s.set.OwnVersion()})
	assert.True(t, s.Beat(t.Context(), drains("s0", 6)))
}

// What an agent has is not yet on its way to all: a hub waits for another hub.
func TestAnAgentIsNoHub(t *testing.T) {
	h := newStill("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	a, o := h.meet("addr of a", "a/1", false), h.meet("addr of o", "o/1", true)
	require.True(t, h.Beat(t.Context(), server("s", 1)))
	h.says(a, &message{Got: h.set.OwnVersion() + 1})
	require.False(t, h.Beat(within(t, 50*time.Millisecond), drains("s", 2)))
	h.says(a, &message{Got: h.set.OwnVersion()})
	require.False(t, h.Beat(within(t, 50*time.Millisecond), drains("s", 3)))
	h.says(o, &message{Core: true, Got: h.set.OwnVersion(), Held: deltasync.Vector{h.source(): h.set.OwnVersion() - 1}})
	require.False(t, h.Beat(within(t, 50*time.Millisecond), drains("s", 4)))
	h.says(o, &message{Core: true, Held: deltasync.Vector{h.source(): h.set.OwnVersion()}})
	assert.True(t, h.Beat(t.Context(), drains("s", 5)))
}

// A drain that waits while its agent goes on as a new life is acknowledged by what peers have of
// that one.
func TestADrainWaitsOverANewLife(t *testing.T) {
	s := newStill("a", false)
	for i := range 20 {
		s.Beat(t.Context(), server("s", uint64(2*i+1)))
		s.Beat(t.Context(), server(fmt.Sprint("r", i), 1))
		s.mu.Lock()
		s.announce("gone", one) // versions that the new life has not
		s.announce("gone", nil)
		s.mu.Unlock()
	}
	done := make(chan bool)
	go func() { done <- s.Beat(within(t, patience), drains("s", 1000)) }()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.table.List().ByID["s"] == nil
	}, patience, time.Millisecond)
	s.mu.Lock()
	s.end(s.set.OwnSource())
	s.mu.Unlock()
	x := s.meet("h", "h/1", true)
	s.says(x, &message{Core: true, Replicated: s.set.OwnVersion()})
	assert.True(t, <-done)
}

// A session that an earlier life began is not one of the next: its hub would grant no lease.
func TestASessionOfAnEarlierLife(t *testing.T) {
	s := newStill("a", false)
	mine := &hello{Source: s.source(), Addr: "a"}
	s.mu.Lock()
	s.rebase()
	s.mu.Unlock()
	require.Error(t, s.session(t.Context(), nil, &hello{Source: "h/1", Addr: "h"}, "h", mine, &message{}))
	require.Error(t, s.session(t.Context(), nil, &hello{Source: s.source(), Addr: "h"}, "h", nil, nil), "nor one with itself")
	assert.Empty(t, s.sessions)
}

// A hub that goes on as a new life holds the leases of its agents on, so that it ends none of them.
func TestAHubOfANewLifeHoldsItsLeases(t *testing.T) {
	h := newStill("h", true, Peer{Addr: "addr of h"})
	a := newStill("a", false)
	h.pull(a)
	x := h.meet("addr of a", a.source(), false)
	h.run(5*time.Second, h.hears(x))
	require.True(t, h.leases.Held(a.source()))
	h.mu.Lock()
	h.rebase()
	h.mu.Unlock()
	require.Empty(t, h.sessions)
	x = h.meet("addr of a", a.source(), false) // it comes again at once
	h.run(10*time.Second, h.hears(x))
	assert.Empty(t, h.ends())
	assert.Equal(t, one, h.items(h.source())[leasePrefix+a.source()])
	// One that does not come again lapses.
	h.mu.Lock()
	h.rebase()
	h.mu.Unlock()
	h.run(leaseLasts+2*tickEvery, nil)
	assert.Equal(t, []string{a.source()}, h.ends())
	assert.NotContains(t, h.members, a.source())
	assert.Nil(t, h.items(h.source())[leasePrefix+a.source()])
}

// A source that carries too many removed items goes on under a new name by itself.
func TestAStaleSourceIsRebased(t *testing.T) {
	s := newStill("a", false)
	old := s.source()
	s.mu.Lock()
	for i := range 3000 {
		s.announce(fmt.Sprint("x", i), one)
		s.announce(fmt.Sprint("x", i), nil)
	}
	s.mu.Unlock()
	s.tick()
	assert.NotEqual(t, old, s.source())
	assert.Less(t, s.set.OwnVersion(), uint64(10))
	assert.Contains(t, s.members, s.source())
	assert.NotContains(t, s.members, old)
}

// Who was away when its end was told hears of it when it comes back, however late.
func TestTheEndIsToldAgain(t *testing.T) {
	h, other, a := newStill("h", true, Peer{Addr: "addr of h"}), newStill("o", true), newStill("a", false)
	h.tick()
	other.tick()
	h.pull(a)
	other.pull(a)
	h.mu.Lock()
	h.end(a.source())
	h.mu.Unlock()
	h.run(time.Second, nil)
	require.Empty(t, h.ends(), "the one that ended it has told so, and told so no more since")
	x := h.meet("addr of a", a.source(), false)
	h.run(tickEvery, h.hears(x))
	assert.Nil(t, h.items(h.source())[leasePrefix+a.source()], "a dropped source gets no lease")

	// By the lease that another hub grants, which knows nothing of it.
	y := other.meet("addr of a", a.source(), false)
	other.run(tickEvery, other.hears(y))
	require.True(t, other.leases.Held(a.source()))
	h.pull(other)
	require.Equal(t, []string{a.source()}, h.ends())
	other.pull(h)
	assert.NotContains(t, other.members, a.source())
	old := a.source()
	a.pull(h)
	assert.NotEqual(t, old, a.source())
	z := h.meet("addr of o", other.source(), true)
	h.run(endedFor+time.Second, h.hears(z))
	assert.Empty(t, h.ends(), "not for ever")
	h.pull(other)
	assert.Empty(t, h.ends(), "and not by old news")
}

// A machine of the core that was not linked may not have heard of leases that others hold: it ends
// nobody before it had the time to.
func TestALinkedHubWaitsBeforeItEnds(t *testing.T) {
	h, other, a := newStill("h", true), newStill("o", true), newStill("a", false)
	h.pull(a)
	x := h.meet("addr of a", a.source(), false)
	h.run(time.Second, h.hears(x))
	h.core.linked.Store(false)
	delete(h.sessions, x)
	h.run(time.Minute, nil)
	require.Empty(t, h.ends())
	h.core.linked.Store(true)
	h.run(leaseLasts-tickEvery, nil)
	require.Empty(t, h.ends(), "it has just come back")
	other.pull(a)
	y := other.meet("addr of a", a.source(), false)
	other.run(tickEvery, other.hears(y))
	h.pull(other)
	z := h.meet("addr of o", other.source(), true)
	h.run(time.Minute, h.hears(z))
	assert.Empty(t, h.ends(), "another holds the lease")
	assert.Len(t, h.members, 3)
}

// A dead hub's lease lapses, and with it those that it held.
func TestADeadHubLapses(t *testing.T) {
	h, dead, a := newStill("h", true, Peer{}, Peer{}), newStill("d", true, Peer{}, Peer{}), newStill("a", false)
	h.pull(a)
	dead.pull(a)
	x, y := h.meet("addr of d", dead.source(), true), dead.meet("addr of h", h.source(), true)
	z := dead.meet("addr of a", a.source(), false)
	dead.run(time.Second, func() { dead.hears(y)(); dead.hears(z)() })
	h.pull(dead)
	h.run(leaseLasts+time.Second, h.hears(x))
	require.Empty(t, h.ends())
	require.True(t, h.leases.Held(a.source()), "by the other")
	delete(h.sessions, x)
	h.run(leaseLasts+2*tickEvery, nil)
	assert.Equal(t, []string{dead.source()}, h.ends())
	h.run(leaseLasts+2*tickEvery, nil)
	assert.ElementsMatch(t, []string{dead.source(), a.source()}, h.ends(), "nobody holds the agent's either")
	assert.Len(t, h.members, 1)
}

// A machine that is of the core no more holds no leases.
func TestAFormerHubHoldsNoLeases(t *testing.T) {
	h, a := newStill("h", true), newStill("a", false)
	h.pull(a)
	x := h.meet("addr of a", a.source(), false)
	h.run(time.Second, h.hears(x))
	require.NotNil(t, h.items(h.source())[leasePrefix+a.source()])
	h.core.core.Store(false)
	h.run(tickEvery, h.hears(x))
	assert.Nil(t, h.items(h.source())[leasePrefix+a.source()])
	h.run(time.Minute, h.hears(x))
	assert.Empty(t, h.ends())
}

// An agent that could not hear of an end drops a source that nobody holds, once a linked hub has
// told it all for long enough, and not what it hears itself.
func TestAnAgentDropsWhatMustHaveEnded(t *testing.T) {
	s, gone, held := newStill("a", false), newStill("gone", false), newStill("held", false)
	s.pull(gone)
	s.pull(held)
	s.run(time.Minute, nil)
	require.Len(t, s.members, 3, "it hears nobody: that proves nothing")
	x := s.meet("addr of h", "h/1", true) // a core of one: nobody holds its lease
	s.says(x, &message{Core: true, Linked: true, Deltas: []deltasync.Delta{delta("h/1", memberKey, &Member{Name: "h"}, leasePrefix+held.source(), one)}})
	s.run(2*leaseLasts-time.Second, s.hears(x))
	require.Len(t, s.members, 4)
	s.run(2*time.Second, s.hears(x))
	assert.Len(t, s.members, 3)
	assert.NotContains(t, s.members, gone.source())
	assert.Empty(t, s.ends(), "for itself alone")
	s.run(time.Minute, s.hears(x))
	assert.Len(t, s.members, 3)
	assert.Equal(t, 3, s.last.Agents)
}

// Only machines of the core with a majority say that they know all by themselves.
func TestAlone(t *testing.T) {
	for name, c := range map[string]struct {
		core, linked, newest bool
		peer                 *message
		after                time.Duration
		want                 bool
	}{
		"whole core, none knows":      {true, true, true, &message{Core: true, Linked: true}, tickEvery, true},
		"whole core, one knows":       {true, true, true, &message{Core: true, Full: true}, tickEvery, false}, // it is not linked
		"whole core, one knows, late": {true, true, true, &message{Core: true, Full: true}, aloneFor + 2*tickEvery, true},
		"one is missing":              {true, true, true, nil, aloneFor - tickEvery, false},
		"one is missing, late":        {true, true, true, nil, aloneFor + 2*tickEvery, true},
		"not asked for the newest":    {true, true, false, &message{Core: true, Linked: true}, time.Minute, false},
		"no majority":                 {true, false, true, &message{Core: true}, time.Minute, false},
		"no machine of the core":      {false, false, true, &message{Core: true, Linked: true}, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newStill("h", c.core, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
			h.core.linked.Store(c.linked)
			if c.newest {
				h.Newest()
			}
			var x *session
			if c.peer != nil {
				x = h.meet("addr of o", "o/1", true)
			}
			h.run(c.after, func() {
				if x != nil {
					h.says(x, c.peer)
				}
			})
			assert.Equal(t, c.want, h.last.Fresh)
		})
	}
}

// A peer that says Full makes an agent fresh only if it is a linked machine of the core, and a
// machine of the core only if that is linked itself.
func TestFresh(t *testing.T) {
	for name, c := range map[string]struct {
		core, linked bool
		m            message
		want         bool
	}{
		"an agent":                     {false, false, message{Core: true, Linked: true, Full: true}, true},
		"by a hub that is not linked":  {false, false, message{Core: true, Full: true}, false},
		"by a hub that is not full":    {false, false, message{Core: true, Linked: true}, false},
		"by one that is no hub":        {false, false, message{Linked: true, Full: true}, false},
		"a machine of the core":        {true, true, message{Core: true, Linked: true, Full: true}, true},
		"a machine that is not linked": {true, false, message{Core: true, Linked: true, Full: true}, false},
	} {
		s := newStill("a", c.core, Peer{Addr: "addr of a"}, Peer{Addr: "addr of h"})
		s.core.linked.Store(c.linked)
		x := s.meet("addr of h", "h/1", true)
		s.says(x, &c.m)
		s.tick()
		assert.Equal(t, c.want, s.last.Fresh, name)
	}
}

// Agents try their hubs in turn, those of their zone first, and the seeds between.
func TestWanted(t *testing.T) {
	peers := []Peer{{"h0", "far"}, {"h1", "near"}, {"h2", "far"}, {"h3", "far"}}
	s := newStill("a", false, peers...)
	var got []string
	for turn := range 16 {
		got = append(got, s.wanted(turn)...)
	}
	require.Len(t, got, 16)
	assert.Equal(t, "h1", got[0], "of its zone")
	count := map[string]int{}
	for _, a := range got {
		count[a]++
	}
	for _, p := range peers {
		assert.Equal(t, 3, count[p.Addr], "%v", got)
	}
	for i := range 3 {
		assert.Positive(t, count[fmt.Sprint("seed-", i)], "%v", got)
	}
	// Without any known hub the seeds, and those that others named.
	s = newStill("a", false)
	s.redirects = []string{"named", "addr of a"}
	count = map[string]int{}
	for turn := range 20 {
		for _, a := range s.wanted(turn) {
			count[a]++
		}
	}
	assert.Len(t, count, 4, "%v", count)
	assert.Zero(t, count["addr of a"], "not itself")
	// With one that is linked none, and the others are ended.
	s = newStill("a", false, peers...)
	over := map[string]bool{}
	for _, p := range []string{"h0", "h3", "h2"} {
		x := s.meet(p, p+"/1", true)
		x.dialed, x.linked = true, p != "h2"
		x.cancel = func() { over[p] = true }
	}
	assert.Empty(t, s.wanted(0))
	assert.Len(t, over, 2)
	assert.True(t, over["h2"])
	// Machines of the core begin sessions with those above them, and end what is none any more.
	s = newStill("c", true, Peer{Addr: "addr of a"}, Peer{Addr: "addr of c"}, Peer{Addr: "addr of d"}, Peer{Addr: "addr of e"})
	x := s.meet("addr of d", "d/1", true)
	x.dialed = true
	y := s.meet("addr of z", "z/1", true)
	y.dialed, y.cancel = true, func() { over["z"] = true }
	assert.Equal(t, []string{"addr of e"}, s.wanted(0))
	assert.True(t, over["z"])
}

// What a source at fault tells changes nothing but its own.
func TestItemsOutOfBounds(t *testing.T) {
	long := strings.Repeat("x", 1<<16)
	bad := server("s", 1)
	bad.Cold = -time.Hour
	big := server("s", 1)
	big.Service = long
	odd := server("s", 1)
	odd.State = 77
	for name, d := range map[string]deltasync.Delta{
		"end of nobody":               delta("x/1", endPrefix, one),
		"end of the configuration":    delta("x/1", endPrefix+configSource, one),
		"lease of nobody":             delta("x/1", leasePrefix, one),
		"lease of the configuration":  delta("x/1", leasePrefix+configSource, one),
		"a member that is none":       delta("x/1", memberKey, []byte("\xc1")),
		"a huge member":               delta("x/1", memberKey, &Member{Name: long}),
		"a member as a list":          delta("x/1", memberKey, []int{1, 2}),
		"no server":                   delta("x/1", instPrefix+"s", []byte("\xc1\xff")),
		"a server by another's name":  delta("x/1", instPrefix+"r", server("s", 1)),
		"a server without name":       delta("x/1", instPrefix, server("", 1)),
		"a negative time":             delta("x/1", instPrefix+"s", bad),
		"a huge text":                 delta("x/1", instPrefix+"s", big),
		"a state that nobody knows":   delta("x/1", instPrefix+"s", odd),
		"nil":                         delta("x/1", instPrefix+"s", []byte{0xc0}),
		"an unknown key":              delta("x/1", "of-later", one),
		"config that is none":         delta(configSource, configKey, []byte("\xc1")),
		"config of another number":    delta(configSource, configKey, &Config{Seq: 1 << 60, Raw: document(1 << 30)}),
		"config under another key":    delta(configSource, "d", &Config{Seq: 1, Raw: document(1 << 30)}),
		"a member of the config":      delta(configSource, memberKey, &Member{Name: "x"}),
		"an end by the config":        delta(configSource, endPrefix+"v/1", one),
		"a server of the config":      delta(configSource, instPrefix+"s", server("s", 1)),
		"config that can't be parsed": delta(configSource, configKey, &Config{Seq: 1, Raw: []byte("{")}),
	} {
		t.Run(name, func(t *testing.T) {
			s := newStill("a", true)
			s.tick()
			x := s.meet("addr of v", "v/1", true)
			s.says(x, &message{Core: true, Deltas: []deltasync.Delta{delta("v/1", memberKey, &Member{Name: "v"}, instPrefix+"t", server("t", 1))}})
			source, own := s.source(), len(s.items(s.source()))
			s.says(x, &message{Core: true, Deltas: []deltasync.Delta{d}})
			s.run(leaseLasts+2*tickEvery, s.hears(x))
			assert.Equal(t, source, s.source())
			for m := range s.members {
				assert.Contains(t, []string{source, "v/1"}, m)
			}
			assert.Len(t, s.members, 2)
			assert.Len(t, s.last.List.ByID, 1)
			assert.LessOrEqual(t, len(s.items(source)), own+3, "no more than the lease of the peer and the end of the one at fault")
			assert.Zero(t, s.seq)
			// The next configuration comes all the same.
			s.Commit(9, document(5))
			assert.Equal(t, uint64(9), s.last.Seq)
			assert.Equal(t, int64(5), s.last.Doc.Revision)
		})
	}
}

// Whatever peers send, an agent stays one, knows itself, and takes the next sound news.
func TestAnyMessages(t *testing.T) {
	names := rapid.SampledFrom([]string{"", configSource, "self", "x/1", "y/1", "z/1"})
	rapid.Check(t, func(t *rapid.T) {
		s := newStill("a", rapid.Bool().Draw(t, "core"))
		s.tick()
		x := s.meet("addr of v", "v/1", true)
		name := func(t *rapid.T) string {
			if n := names.Draw(t, "name"); n != "self" {
				return n
			}
			return s.source()
		}
		data := func(t *rapid.T) []byte {
			switch rapid.IntRange(0, 5).Draw(t, "data") {
			case 0:
				return rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(t, "bytes")
			case 1:
				return encode(&registry.Instance{ID: "s", Service: "x", Seq: rapid.Uint64().Draw(t, "seq"), State: registry.State(rapid.Byte().Draw(t, "state")),
					Slots: rapid.Int().Draw(t, "slots"), Cold: time.Duration(rapid.Int64().Draw(t, "cold"))})
			case 2:
				return encode(&Config{Seq: rapid.Uint64Range(0, 1<<20).Draw(t, "seq"), Raw: document(rapid.IntRange(1, 9).Draw(t, "revision"))})
			case 3:
				return encode(&Member{Name: "m", Core: rapid.Bool().Draw(t, "core")})
			case 4:
				return nil
			}
			return one
		}
		seq, list := uint64(0), uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			m := &message{Core: rapid.Bool().Draw(t, "o"), Linked: rapid.Bool().Draw(t, "l"), Full: rapid.Bool().Draw(t, "f"), Got: rapid.Uint64().Draw(t, "got"),
				Redirect: make([]Peer, rapid.IntRange(0, 40).Draw(t, "redirect"))}
			if rapid.Bool().Draw(t, "hello") {
				m.Hello = &hello{Source: name(t)}
			}
			for range rapid.IntRange(0, 4).Draw(t, "deltas") {
				d := deltasync.Delta{Source: name(t), From: rapid.Uint64Range(0, 4).Draw(t, "from")}
				d.Upto = d.From
				for range rapid.IntRange(0, 4).Draw(t, "items") {
					d.Upto += rapid.Uint64Range(0, 2).Draw(t, "step")
					key := rapid.SampledFrom([]string{"", memberKey, configKey, instPrefix + "s", leasePrefix + name(t), endPrefix + name(t)}).Draw(t, "key")
					d.Items = append(d.Items, deltasync.Item{Key: key, Ver: d.Upto, Data: data(t)})
				}
				if rapid.IntRange(0, 9).Draw(t, "upto") == 0 {
					d.Upto = rapid.Uint64().Draw(t, "wrong")
				}
				m.Deltas = append(m.Deltas, d)
			}
			for range rapid.IntRange(0, 2).Draw(t, "notices") {
				m.Notices = append(m.Notices, notice{Instance: "s", AgeMs: rapid.Int().Draw(t, "age"), Hops: rapid.Int().Draw(t, "hops"), Prompt: rapid.Int().Draw(t, "prompt")})
			}
			s.says(x, m)
			s.tick()
			require.Contains(t, s.members, s.source())
			require.GreaterOrEqual(t, s.last.Seq, seq, "the configuration went back")
			require.GreaterOrEqual(t, s.last.List.Version, list)
			seq, list = s.last.Seq, s.last.List.Version
			require.LessOrEqual(t, len(x.has), 8)
			require.LessOrEqual(t, s.last.Agents, 6)
			require.NotContains(t, s.members, configSource)
		}
		s.Commit(1<<40, document(7))
		require.Equal(t, int64(7), s.last.Doc.Revision)
		y := s.meet("addr of w", "w/1", false)
		s.says(y, &message{Deltas: []deltasync.Delta{delta("w/1", memberKey, &Member{Name: "w"}, instPrefix+"new", server("new", 1))}})
		require.Contains(t, s.last.List.ByID, "new")
	})
}

// What restores servers may be anything.
func TestRestoreOfAnything(t *testing.T) {
	sound := server("s", 1)
	wrong := server("r", 1)
	wrong.Slots = -5
	for name, c := range map[string]struct {
		saved []byte
		want  int
	}{
		"nothing":        {nil, 0},
		"noise":          {[]byte("\xff\x00\x12noise"), 0},
		"another format": {encode(&saved{Format: savedFormat + 1, Servers: []*registry.Instance{sound}}), 0},
		"holes":          {encode(&saved{Format: savedFormat, Servers: []*registry.Instance{nil, sound, nil, {}}}), 1},
		"twice":          {encode(&saved{Format: savedFormat, Servers: []*registry.Instance{sound, sound}}), 1},
		"out of bounds":  {encode(&saved{Format: savedFormat, Servers: []*registry.Instance{sound, wrong}}), 1},
		"not ready":      {encode(&saved{Format: savedFormat, Servers: []*registry.Instance{drains("d", 1)}}), 0},
		"cut":            {encode(&saved{Format: savedFormat, Servers: []*registry.Instance{sound}})[:20], 0},
	} {
		h := New(Options{Self: Member{Name: "a"}, Beat: time.Second, Core: newCore(false, false), OnChange: func(*Snapshot) {}, Saved: c.saved})
		assert.Len(t, h.table.List().ByID, c.want, name)
	}
}

// A call that is out of bounds is refused, as the others would not take it.
func TestCallsOutOfBounds(t *testing.T) {
	s := newStill("a", true, Peer{Addr: "addr of a"})
	in := server("s", 1)
	in.Slots = -1
	assert.False(t, s.Beat(t.Context(), in))
	assert.False(t, s.Beat(t.Context(), server("", 1)))
	assert.False(t, s.Leave(t.Context(), ""))
	assert.False(t, s.Leave(t.Context(), strings.Repeat("x", 1<<16)))
	assert.True(t, s.Leave(t.Context(), "unknown"))
	assert.True(t, s.Beat(t.Context(), server("s", 1)))
}

// What is kept for operators holds on to no large configuration.
func TestTheJournalIsSlim(t *testing.T) {
	s := newStill("a", false)
	raw := fmt.Appendf(nil, `{"revision":1,"routes":[],"services":[],"note":%q}`, strings.Repeat("x", 1<<20))
	for seq := range uint64(3) {
		s.Commit(seq+1, raw)
	}
	kept, _ := s.journal.Since(0)
	for _, c := range kept {
		assert.LessOrEqual(t, len(c.Item.Data), keepData)
	}
	assert.Equal(t, uint64(3), s.last.Seq)
}
