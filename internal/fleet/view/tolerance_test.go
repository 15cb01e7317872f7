package view

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// located are peers named REGION/ZONE/NAME.
func located(names string) (out []Peer) {
	for _, name := range strings.Fields(names) {
		part := strings.Split(name, "/")
		p := machine(part[2])
		p.Region, p.Zone = part[0], part[1]
		out = append(out, p)
	}
	return out
}

func ids(peers []Peer) string {
	var out []string
	for _, p := range peers {
		out = append(out, p.ID)
	}
	return strings.Join(out, " ")
}

func TestShortfallCountsLossesThatAreNotBorne(t *testing.T) {
	for _, c := range []struct {
		voters    string
		tolerance Tolerance
		want      Shortfall
	}{
		{"r/a/1", Tolerance{}, Shortfall{}},
		{"r/a/1", Tolerance{Machines: 1}, Shortfall{Machines: 1}},
		{"r/a/1 r/a/2 r/a/3", Tolerance{Machines: 1}, Shortfall{}},
		{"r/a/1 r/a/2 r/a/3", Tolerance{Machines: 2}, Shortfall{Machines: 1}},
		{"r/a/1 r/a/2 r/a/3", Tolerance{Machines: 1, Zones: 1}, Shortfall{Zones: 1}},
		{"r/a/1 r/a/2 r/b/3 r/c/4", Tolerance{Zones: 1}, Shortfall{Zones: 1}},
		{"r/a/1 r/a/2 r/b/3 r/b/4 r/c/5", Tolerance{Machines: 2, Zones: 1}, Shortfall{}},
		{"r/a/1 r/b/2 r/c/3", Tolerance{Machines: 1, Zones: 1, Regions: 1}, Shortfall{Regions: 1}},
		{"r/a/1 s/a/2 q/a/3", Tolerance{Machines: 1, Zones: 1, Regions: 1}, Shortfall{}},
	} {
		require.Equal(t, c.want, View{Voters: located(c.voters)}.Shortfall(c.tolerance), "%s %+v", c.voters, c.tolerance)
	}
	require.Equal(t, "machines: 1 fewer, regions: 2 fewer", Shortfall{Machines: 1, Regions: 2}.String())
}

// Voters are left out where a zone or a region would hold a majority with them.
func TestFirstViewBearsZonesAndRegions(t *testing.T) {
	for _, c := range []struct {
		found     string
		tolerance Tolerance
		voters    string
		chain     string
	}{
		{"r/a/1 r/a/2 r/a/3 r/b/4 r/c/5", Tolerance{Machines: 1}, "1 2 3 4 5", "1 2 4 5"},
		{"r/a/1 r/a/2 r/a/3 r/b/4 r/c/5", Tolerance{Machines: 1, Zones: 1}, "1 4 5", "1 4 5"},
		{"r/a/1 r/a/2 r/b/3 r/b/4 r/c/5 r/c/6", Tolerance{Machines: 1, Zones: 1}, "1 2 3 4 5 6", "1 2 3 5"},
		{"r/a/1 r/b/2 r/c/3 r/d/4 s/e/5 q/f/6", Tolerance{Machines: 1, Regions: 1}, "1 2 3 4 5 6", ""},
		{"r/a/1 r/a/2 r/a/3 r/a/4 r/a/5", Tolerance{Machines: 1, Zones: 1}, "1 2 3 4 5", "1 2 3 4"}, // none could bear it
		{"r/a/1 r/a/2", Tolerance{Machines: 2}, "1 2", "1 2"},
	} {
		v, ok := InitialView(located(c.found), c.tolerance)
		require.True(t, ok)
		require.NoError(t, v.Validate())
		if c.chain == "" { // regions r r r r s q: at most as many of r as leave a majority
			require.True(t, v.Shortfall(c.tolerance).None(), "%+v", v.Voters)
			continue
		}
		require.Equal(t, c.voters, ids(v.Voters), "%+v", c)
		s := scene{v: v}
		require.Equal(t, c.chain, s.chain(), "%+v", c)
		var members []Peer
		for _, l := range v.Chain {
			members = append(members, l.Peer)
		}
		require.True(t, SpreadOf(members).Covers(v.RequiredSpread(c.tolerance)))
	}
}

func TestFloorIsWhatLossesLeave(t *testing.T) {
	v := View{Voters: located("r/a/1 r/a/2 r/a/3 r/b/4 r/c/5")}
	require.Equal(t, Spread{Machines: 3, Zones: 1, Regions: 1}, v.RequiredSpread(Tolerance{Machines: 2, Zones: 1}), "two machines may be two zones")
	v = View{Voters: located("r/a/1 r/b/2 s/c/3 s/d/4")}
	require.Equal(t, Spread{Machines: 2, Zones: 1, Regions: 1}, v.RequiredSpread(Tolerance{Machines: 1}))
	require.Equal(t, Spread{Machines: 2, Zones: 2, Regions: 1}, v.RequiredSpread(Tolerance{Machines: 1, Zones: 1}))
	require.Equal(t, Spread{Machines: 1, Zones: 2, Regions: 1}, v.RequiredSpread(Tolerance{Zones: 1, Regions: 1}))
	require.Equal(t, Spread{Machines: 1, Zones: 2, Regions: 1}, v.RequiredSpread(Tolerance{Zones: 2, Regions: 1}))
	require.Equal(t, Spread{Machines: 3, Zones: 1, Regions: 1}, v.RequiredSpread(Tolerance{Machines: 9, Zones: 9, Regions: 9}))
}

// A record of a version without regions is read, and is the same view as it was.
func TestRecordsWithoutRegionsAreRead(t *testing.T) {
	type oldPeer struct {
		ID      string `msgpack:"i"`
		Addr    string `msgpack:"a"`
		Zone    string `msgpack:"z"`
		Disk    bool   `msgpack:"d,omitempty"`
		Counted bool   `msgpack:"c,omitempty"`
	}
	type oldLink struct {
		oldPeer
		Since uint64
	}
	type oldView struct {
		Number uint64
		Voters []oldPeer
		Chain  []oldLink
		Memory bool
	}
	now, _ := InitialView(peers("a b c"), machineLosses(1))
	old := oldView{Number: 1}
	for _, p := range now.Voters {
		o := oldPeer{p.ID, p.Addr, p.Zone, p.Disk, p.Counted}
		old.Voters, old.Chain = append(old.Voters, o), append(old.Chain, oldLink{o, 1})
	}
	raw, err := msgpack.Marshal(&now)
	require.NoError(t, err)
	oldRaw, err := msgpack.Marshal(&old)
	require.NoError(t, err)
	var read View
	require.Equal(t, oldRaw, raw, "without regions the record is what it was")
	require.NoError(t, msgpack.Unmarshal(oldRaw, &read))
	require.NoError(t, read.Validate())
	require.True(t, now.Equal(read))

	// An older version reads a record with regions.
	regional, _ := InitialView(located("r/a/1 r/b/2 s/c/3"), machineLosses(1))
	require.False(t, now.Equal(regional))
	raw, err = msgpack.Marshal(&regional)
	require.NoError(t, err)
	require.NoError(t, msgpack.Unmarshal(raw, &old))
	require.Equal(t, "c", old.Chain[2].Zone)
	require.NoError(t, msgpack.Unmarshal(raw, &read))
	require.True(t, regional.Equal(read))
}

// zoned is a scene with zones and regions of its own.
func zoned(t *testing.T, names string, tolerance Tolerance) *scene {
	v, ok := InitialView(located(names), tolerance)
	require.True(t, ok)
	s := &scene{v: v, health: map[string]Health{}, tolerance: &tolerance}
	for _, p := range v.Voters {
		s.comes(p)
	}
	return s
}

func (s *scene) ending(id string) *scene { return s.with(id, func(h *Health) { h.Leaving = true }) }

// fill has all members of the chain hold everything.
func (s *scene) fill() *scene {
	for _, l := range s.v.Chain {
		s.with(l.ID, func(h *Health) { h.Complete = true })
	}
	return s
}

// The only copy of a second zone stays until another machine of that zone has one.
func TestLeavingMemberHoldsTheOnlyCopyOfItsZone(t *testing.T) {
	s := zoned(t, "r/a/a1 r/a/a2 r/b/b1 r/b/b2 r/c/c1 r/c/c2", Tolerance{Machines: 1, Zones: 1})
	require.Equal(t, "a1 a2 b1 c1", s.chain())
	s.silent("c1", policy.FailAfter).next(t, "a1 a2 b1")
	s.silent("c2", policy.FailAfter).ending("b1")
	s.next(t, "a1 a2 b1 b2")
	require.False(t, MayLeave(s.v, "b1", s.health, s.policy()))
	s.nothing(t)
	s.fill().next(t, "a1 a2 b2")
}

// A lost zone is dropped although no copy outside of the zone that stays is left.
func TestLostZoneDoesNotHoldOrdersUp(t *testing.T) {
	s := zoned(t, "r/a/a1 r/a/a2 r/b/b1", Tolerance{Machines: 1, Zones: 1})
	s.silent("b1", policy.FailAfter)
	s.next(t, "a1 a2")
}

// A zone that comes back is joined beyond the chain's length where the chain lacks it.
func TestChainIsExtendedToAnotherZone(t *testing.T) {
	s := zoned(t, "r/a/a1 r/a/a2 r/a/a3 r/a/a4 r/b/b1", Tolerance{Machines: 1, Zones: 1})
	s.silent("b1", policy.FailAfter)
	for s.v.Position("b1") >= 0 || len(s.v.Chain) < 4 {
		step, due := s.plan(t)
		require.True(t, due)
		s.take(t, step)
		s.fill()
	}
	require.Equal(t, "a1 a2 a3 a4", s.chain())
	s.with("b1", func(h *Health) { h.SinceContact, h.StableFor = 0, policy.StableAfter })
	s.next(t, "a1 a2 a3 a4 b1")
}

func TestJoinExtendsToTheRegionFirst(t *testing.T) {
	s := zoned(t, "r/a/1 r/b/2 r/c/3 s/d/4 s/e/5 q/f/6", Tolerance{Machines: 1, Regions: 1})
	s.v.Chain = s.v.Chain[:0]
	for _, p := range located("r/a/1 s/d/4") {
		s.v.Chain = append(s.v.Chain, Member{Peer: p, JoinedIn: 1})
	}
	s.fill().next(t, "1 4 6")
}

// A planned replacement: the newcomer is there first, and the old one's vote goes with it.
func TestVoteOfALeavingMemberIsHandedOver(t *testing.T) {
	s := newScene(t, "a b c").ending("a")
	s.next(t, "b c")
	require.True(t, MayLeave(s.v, "a", s.health, s.policy()), "two voters bear no more than three")
	s.comes(machine("d"))
	require.False(t, MayLeave(s.v, "a", s.health, s.policy()))
	require.Equal(t, "a", s.next(t, "b c").RemovedVoter)
	require.Equal(t, "b c d", ids(s.v.Voters))
	s.next(t, "b c d")

	// It was admitted before: four voters without one of them don't bear a loss, three do.
	s = newScene(t, "a b c")
	s.comes(machine("d"))
	s.next(t, "a b c")
	s.next(t, "a b c d")
	s.fill().ending("a").next(t, "b c d")
	require.Equal(t, "a", s.next(t, "b c d").RemovedVoter)
	require.Equal(t, "b c d", ids(s.v.Voters))

	// And it died meanwhile: the two that stay are a majority of three, not of four.
	s = newScene(t, "a b c")
	s.comes(machine("d"))
	s.next(t, "a b c")
	s.silent("d", policy.FailAfter).ending("a")
	s.next(t, "b c")
	require.Equal(t, "a", s.next(t, "b c").RemovedVoter)
	require.Equal(t, 2, s.v.Quorum())

	five := newScene(t, "a b c d e").ending("a")
	five.next(t, "b c d e")
	five.nothing(t) // they bear a loss as they are
}

// The sole machine of a core is replaced: the newcomer gets a vote and a copy before it is let go.
func TestOnlyMemberIsReplaced(t *testing.T) {
	s := zoned(t, "r/a/a", Tolerance{}).ending("a")
	s.nothing(t)
	require.True(t, MayLeave(s.v, "a", s.health, s.policy()), "nobody is there")
	s.comes(machine("b"))
	require.False(t, MayLeave(s.v, "a", s.health, s.policy()))
	s.next(t, "a")
	s.next(t, "a b")
	require.False(t, MayLeave(s.v, "a", s.health, s.policy()))
	s.nothing(t)
	s.fill().next(t, "b")
	require.False(t, MayLeave(s.v, "a", s.health, s.policy()))
	s.next(t, "b")
	require.Equal(t, "b", ids(s.v.Voters))
}

func TestSwapDoesNotConcentrateVotesInAZone(t *testing.T) {
	s := zoned(t, "r/a/a1 r/b/b1 r/c/c1", Tolerance{Machines: 1, Zones: 1})
	s.silent("c1", policy.ReplaceAfter).next(t, "a1 b1")
	s.comes(located("r/a/a2")[0])
	s.nothing(t)
	s.comes(located("r/c/c2")[0])
	s.next(t, "a1 b1")
	require.Equal(t, "a1 b1 c2", ids(s.v.Voters))
}

// Newcomers are admitted where all of them together bear no less; the first of them may bear less.
// More voters than bear the losses would only make a zone heavier.
func TestNewcomersStandByWhereZonesAreBorne(t *testing.T) {
	s := zoned(t, "r/a/a1 r/b/b1 r/c/c1", Tolerance{Machines: 1, Zones: 1})
	s.comes(located("r/a/a2")[0])
	s.comes(located("r/b/b2")[0])
	s.nothing(t)
	s.ending("b1").next(t, "a1 c1")
	s.next(t, "a1 c1")
	require.Equal(t, "a1 b2 c1", ids(s.v.Voters))
}

func TestAdmissionLooksAtAllNewcomers(t *testing.T) {
	s := zoned(t, "r/a/a1 r/b/b1 r/c/c1", Tolerance{Machines: 2, Zones: 1})
	s.comes(located("r/a/a2")[0])
	s.nothing(t)
	s.comes(located("r/b/b2")[0])
	s.next(t, "a1 b1 c1")
	s.next(t, "a1 b1 c1")
	require.Len(t, s.v.Voters, 5)
	require.True(t, s.v.Shortfall(*s.tolerance).None())
}
