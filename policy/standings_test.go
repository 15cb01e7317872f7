package policy

import "testing"

// stand tells the rig what the site decided, until a time from now.
func (r *rig) stand(forMs float64, list ...Standing) []Action {
	for i := range list {
		list[i].UntilMs = r.now + forMs
	}
	return r.do(Event{Kind: EvStandings, Standings: list})
}

// An ejected server gets nothing, not even as the last resort, until its time is over or the
// site says otherwise.
func TestEjectedServerIsNoLastResort(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	r.stand(500, Standing{Server: addr(0)})
	id, actions := r.ask(0, 1)
	if find(actions, ActSend) != nil {
		t.Fatal("sent to an ejected server")
	}
	answered := false
	for range 30 {
		if a := find(r.tick(10), ActRefuse); a != nil && a.Request == id {
			answered = true
		}
	}
	if !answered {
		t.Error("not refused in time")
	}
	r.now += 500
	if _, to := r.sent(0, 2); to != addr(0) {
		t.Error("not sent to again after the ejection's time")
	}
}

// A returning server gets its part, and the keys that come back to it by a step stay with it
// at the next.
func TestPartOfAShare(t *testing.T) {
	r := newRig(t, testSettings(), 5)
	var mine [4]map[uint64]bool
	for step, part := range []float64{0, 0.1, 0.3, 1} {
		mine[step] = map[uint64]bool{}
		r.stand(1e6, Standing{Server: addr(2), Part: part})
		for key := range uint64(4000) {
			r.now++
			id, to := r.sent(1, mix(key+1))
			if to == addr(2) {
				mine[step][key] = true
			}
			r.outcome(id, 0, to, OK, 20)
		}
	}
	// By its odds against the others at its whole share.
	whole := float64(len(mine[3])) / float64(4000-len(mine[3]))
	for step, part := range []float64{0, 0.1, 0.3} {
		if got, want := float64(len(mine[step]))/4000, part*whole/(1+part*whole); got < 0.75*want || got > 1.25*want {
			t.Errorf("at a part of %v it got %.3f of the keys, want %.3f", part, got, want)
		}
	}
	// Popular keys are split at random while little is known of them: few move for that.
	lost := 0
	for key := range mine[2] {
		if !mine[3][key] {
			lost++
		}
	}
	if lost > len(mine[2])/3 {
		t.Errorf("%d of %d keys that had come back moved away again", lost, len(mine[2]))
	}
}

// A server that is to be tried gets one request that may be repeated, ejected or not.
func TestTrial(t *testing.T) {
	for _, part := range []float64{0, 1} {
		r := newRig(t, testSettings(), 6)
		r.stand(1e6, Standing{Server: addr(3), Part: part, Try: true})
		for key := range uint64(50) { // of a class that must not run twice
			if id, to := r.sent(1, mix(key)); part == 0 && to == addr(3) {
				t.Fatal("a request that must not run twice was sent on trial")
			} else {
				r.outcome(id, 0, to, OK, 20)
			}
		}
		id, to := r.sent(0, 9)
		if to != addr(3) {
			t.Errorf("part %v: no trial", part)
		}
		r.outcome(id, 0, to, Error, 20)
		if part > 0 {
			continue
		}
		for key := range uint64(50) {
			id, to := r.sent(0, mix(key))
			if to == addr(3) {
				t.Fatal("a second trial that nobody asked for")
			}
			r.outcome(id, 0, to, OK, 20)
		}
	}
}

// What is ejected is no capacity: where the rest has no room for all, some is refused.
func TestEjectedServersAreNoCapacity(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	before := r.b.capacity()
	r.stand(1e6, Standing{Server: addr(0)}, Standing{Server: addr(1), Part: 0.3})
	if got, want := r.b.capacity(), before*2.3/4; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("a capacity of %v, want %v", got, want)
	}
}

// What is out of reach takes its part of the demand with it: a site that is cut off with a
// third of the servers lets in as much of what comes as before, where a fleet that has lost the
// others lets in less; and what came before holds again when they are back.
func TestWhatIsOutOfReachTakesItsDemand(t *testing.T) {
	admitted := func(within float64) (cut, back float64) {
		r := newRig(t, testSettings(), 6)
		r.b.demand = 0.6 * r.b.capacity()
		var out []Standing
		for i := range 2 * len(r.b.servers) / 3 {
			out = append(out, Standing{Server: r.b.servers[i].id})
		}
		for i := range out {
			out[i].UntilMs = r.now + 1e6
		}
		r.do(Event{Kind: EvStandings, Standings: out, Within: within})
		cut = r.b.admission()
		r.do(Event{Kind: EvStandings, Within: 1})
		return cut, r.b.admission()
	}
	if cut, back := admitted(1.0 / 3); cut < 0.99 || back < 0.99 {
		t.Errorf("a site by itself lets in %v, and %v when the others are back", cut, back)
	}
	if cut, back := admitted(1); cut > 0.7 || back < 0.99 {
		t.Errorf("a fleet of a third lets in %v, and %v when the others are back", cut, back)
	}
}

// Where zones are parted a server gets by its pull, whoever's zone it is in, and what is lost of
// a zone that traffic was kept in is no more of the capacity than its weight.
func TestPulls(t *testing.T) {
	r := newRig(t, testSettings(), 4) // zones 0 and 1 in turn; the own is 0
	out := make([]Standing, 4)
	stand := func(part, home, away float64) {
		for i := range out {
			out[i] = Standing{Server: addr(i), Part: 1, Pull: home, UntilMs: r.now + 1e6}
			if i%2 == 1 {
				out[i].Pull = away
			} else {
				out[i].Part = part
			}
		}
		r.do(Event{Kind: EvStandings, Standings: out, Within: 1, Parted: true})
	}
	for _, c := range []struct{ home, away float64 }{{1.6, 0.4}, {0.5, 1.5}} {
		stand(1, c.home, c.away)
		n := 0
		for key := range uint64(4000) {
			r.now++
			id, to := r.sent(1, mix(key+1))
			if to == addr(0) || to == addr(2) {
				n++
			}
			r.outcome(id, 0, to, OK, 20)
		}
		if got, want := float64(n)/4000, c.home/(c.home+c.away); got < want-0.05 || got > want+0.05 {
			t.Errorf("pulls of %v and %v: %.3f at home, want %.3f", c.home, c.away, got, want)
		}
	}
	whole := r.b.capacity()
	stand(0, 1.6, 0.4)
	if got := r.b.capacity(); got != whole/2 {
		t.Errorf("a capacity of %v without the own zone, %v with it", got, whole)
	}
}

// A cold server's credit is earned by what it is to get: one that is out, or hardly pulled, saves
// none up that all agents would spend in the moment in which they are told otherwise.
func TestNoCreditIsSavedForWhatIsOut(t *testing.T) {
	set := testSettings()
	set.Clients.MarksRetry = true
	r := newRig(t, set, 4)
	entries := make([]Entry, 4)
	for i := range entries {
		entries[i] = Entry{Server: addr(i), Health: Ready, Weight: 1}
		if i > 0 {
			entries[i].SinceMs = r.now // cold
		}
	}
	r.list(ListFull, entries...)
	cold := func(i int) *server { return r.b.byAddr[addr(i)] }
	for i := 1; i < 4; i++ {
		cold(i).credit = 0
	}
	r.do(Event{Kind: EvStandings, Within: 1, Parted: true, Standings: []Standing{{Server: addr(0), Part: 1, Pull: 1, UntilMs: r.now + 1e6},
		{Server: addr(1), Part: 1, Pull: 1, UntilMs: r.now + 1e6}, {Server: addr(2), Part: 0, Pull: 1, UntilMs: r.now + 1e6},
		{Server: addr(3), Part: 1, Pull: 0.01, UntilMs: r.now + 1e6}}})
	for range 3 {
		r.now++
		r.b.earn()
	}
	if cold(1).credit <= 0 || cold(2).credit != 0 || cold(3).credit > 0.011*cold(1).credit {
		t.Errorf("credits %v, %v and %v of one that is in, one that is out and one hardly pulled", cold(1).credit, cold(2).credit, cold(3).credit)
	}
}

// A silent server that is out of the site's reach is not probed: that would keep from being
// validated what the site has.
func TestWhatIsOutOfReachIsNotProbed(t *testing.T) {
	for _, within := range []float64{1, 0.5} {
		set := testSettings()
		set.Limits.Probing = true
		r := newRig(t, set, 4)
		s := r.b.byAddr[addr(1)]
		s.state, s.silent, s.since = UnhealthyPending, true, r.now
		r.b.epoch++
		r.do(Event{Kind: EvStandings, Within: within, Standings: []Standing{{Server: addr(1), UntilMs: r.now + 1e6}}})
		r.b.out, r.b.mayProbe = nil, probeCap
		r.b.revalidate()
		if probed := find(r.b.out, ActProbe) != nil; probed != (within == 1) {
			t.Errorf("within %v: probed %v", within, probed)
		}
	}
}
