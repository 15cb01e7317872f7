package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// silentBeats is how many beats a server may miss before its home takes it for lost.
	silentBeats = 3.5
	// orphanBeats is for how many beats a server is kept whose home has gone: it calls the next agent.
	orphanBeats = 4
	// restoreBeats is for how many a server is kept that is known from disk only.
	restoreBeats = 3
	// deadFor is how long it is remembered that an instance drained or left, against late calls.
	deadFor = 90 * time.Second
	// maxInstances bounds what is known of instances.
	maxInstances = 8192
	// wake is the pause between two ticks after which the process was frozen: what it did not hear
	// in that time tells nothing.
	wake = time.Second
)

// ErrFull answers a call of a server that the table does not know and has no room for.
var ErrFull = errors.New("the list of servers is full: call another agent, and look for servers that come again under new ids")

// record is what one source tells of an instance.
type record struct {
	*Instance
	until time.Duration // when it goes by itself; 0: it doesn't
}

// home is an instance whose beats come here.
type home struct {
	last  *Instance // as it beat last
	heard time.Duration
	told  *Instance // as the own source tells it
}

// known is all that is told of an instance.
type known struct {
	by    map[string]record
	best  *Instance     // what holds
	owner string        // the source that tells it
	dead  time.Duration // since when it is in a state that is not Ready; 0: it is Ready
}

// Table folds beats, leaves and the feed into the list. It is not safe for concurrent use. Times
// are on the steady clock and above zero.
type Table struct {
	self   string
	beat   time.Duration
	all    map[string]*known
	homes  map[string]*home
	list   *List
	ver    uint64
	dirty  bool
	ticked time.Duration
}

// NewTable returns an empty table for the agent whose own source is self.
func NewTable(self string, beat time.Duration) *Table {
	return &Table{self: self, beat: beat, all: map[string]*known{}, homes: map[string]*home{}, list: &List{}}
}

// Beat takes a server's call and returns what the own source has to tell of it: nil if nothing
// new, or if the call is late or the instance is known to end. The call of an unknown server to a
// full table is refused by ErrFull: what it says would be lost.
func (t *Table) Beat(now time.Duration, in *Instance) (*Instance, error) {
	k := t.all[in.ID]
	if k == nil && len(t.all) >= maxInstances {
		return nil, ErrFull
	}
	if k != nil && k.best != nil {
		if k.best.State == Gone || k.best.State == Draining && in.State == Ready {
			return nil, nil
		}
		if in.State == Ready && late(in, k.best) {
			return nil, nil
		}
	}
	h := t.homes[in.ID]
	if h == nil {
		h = &home{}
		t.homes[in.ID] = h
	}
	if h.last != nil && in.Seq <= h.last.Seq && in.State <= h.last.State {
		if in.Seq == h.last.Seq {
			h.heard = now // the same again; a late one proves nothing
		}
		return nil, nil
	}
	h.last, h.heard = in, now
	if h.told != nil && same(h.told, in) && k != nil && k.owner == t.self {
		return nil, nil
	}
	h.told = in
	t.Tell(now, t.self, in)
	return in, nil
}

// late tells whether a beat is from before what is known: also a repeated last beat of a server that
// was lost since. A server that gives no numbers is never late.
func late(in, known *Instance) bool {
	return in.Seq < known.Seq || known.State == Lost && in.Seq == known.Seq && in.Seq > 0
}

// Leave takes a server's word that it ends, as Beat does.
func (t *Table) Leave(now time.Duration, id string) (*Instance, error) {
	k := t.all[id]
	if k == nil && len(t.all) >= maxInstances {
		return nil, ErrFull
	}
	in := &Instance{ID: id, State: Gone}
	if k != nil && k.best != nil {
		if k.best.State == Gone {
			return nil, nil
		}
		gone := *k.best
		gone.State = Gone
		in = &gone
	}
	if h := t.homes[id]; h != nil && h.last != nil {
		in.Seq = max(in.Seq, h.last.Seq)
	}
	in.Seq++
	delete(t.homes, id)
	t.Tell(now, t.self, in)
	return in, nil
}

// same tells whether what matters to others is alike. A cold start passes by itself.
func same(a, b *Instance) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.State == b.State &&
		a.Slots == b.Slots && a.Revision == b.Revision && slices.Equal(a.Models, b.Models)
}

// Tell takes what a source tells of an instance. False: the table is full and does not know it.
func (t *Table) Tell(now time.Duration, source string, in *Instance) bool {
	k := t.all[in.ID]
	if k == nil {
		if len(t.all) >= maxInstances {
			return false
		}
		k = &known{by: map[string]record{}}
		t.all[in.ID] = k
	}
	k.by[source] = record{Instance: in}
	t.settle(now, k)
	return true
}

// Untell takes back what a source told of an instance.
func (t *Table) Untell(now time.Duration, source, id string) {
	if k := t.all[id]; k != nil {
		delete(k.by, source)
		t.settle(now, k)
	}
}

// Restore takes an instance that an earlier life of this agent knew: it is listed until its next
// beats are due. False: more is known of it.
func (t *Table) Restore(now time.Duration, in *Instance) bool {
	if t.all[in.ID] != nil || len(t.all) >= maxInstances {
		return false
	}
	k := &known{by: map[string]record{t.self: {in, now + restoreBeats*t.beat}}}
	t.all[in.ID] = k
	t.settle(now, k)
	return true
}

// settle finds what holds of an instance: an end is final, else the newest call.
func (t *Table) settle(now time.Duration, k *known) {
	var best *Instance
	owner := ""
	for source, r := range k.by {
		better := best == nil
		if !better {
			a, b := r.Instance, best
			ends := func(i *Instance) State { return max(i.State, Lost) } // Ready and Lost go by Seq
			better = cmp.Or(cmp.Compare(ends(a), ends(b)), cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.State, b.State),
				cmp.Compare(source, owner)) > 0
		}
		if better {
			best, owner = r.Instance, source
		}
	}
	if k.best != nil && k.best.State >= Draining && (best == nil || best.State < k.best.State) {
		return // final, whoever told it
	}
	switch {
	case best == nil || best.State == Ready:
		k.dead = 0
	case k.best == nil || k.best.State != best.State:
		k.dead = now
	}
	if k.best != best {
		t.dirty = true
	}
	k.best, k.owner = best, owner
}

// Ended takes that a source has ended: its servers call another agent soon, or are dropped.
func (t *Table) Ended(now time.Duration, source string) {
	for _, k := range t.all {
		if r, ok := k.by[source]; ok && r.until == 0 {
			r.until = now + orphanBeats*t.beat
			k.by[source] = r
		}
	}
}

// Renamed takes that the own source has a new name.
func (t *Table) Renamed(now time.Duration, self string) {
	old := t.self
	t.self = self
	for _, k := range t.all {
		if r, ok := k.by[old]; ok {
			delete(k.by, old)
			k.by[self] = r
			t.settle(now, k)
		}
	}
}

// Tick looks for silence and returns what the own source has to tell, and the ids of which it has
// to tell nothing any more.
func (t *Table) Tick(now time.Duration) (tell []*Instance, untell []string) {
	slept := time.Duration(0)
	if t.ticked > 0 && now-t.ticked > wake {
		slept = now - t.ticked
	}
	t.ticked = now
	for id, h := range t.homes {
		switch k := t.all[id]; {
		case k == nil || k.best == nil:
			delete(t.homes, id)
		case slept > 0:
			h.heard = now
		case k.owner != t.self && k.best.Seq > h.last.Seq:
			delete(t.homes, id) // it calls another agent
		case now-h.heard > time.Duration(silentBeats*float64(t.beat)):
			delete(t.homes, id)
			if k.best.State < Draining {
				lost := *h.last
				lost.State = Lost
				t.Tell(now, t.self, &lost)
				tell = append(tell, &lost)
			}
		}
	}
	for id, k := range t.all {
		// What was told of a server that calls another agent now would outlive both.
		if r, own := k.by[t.self]; own && r.until == 0 && t.homes[id] == nil && r.State < Draining &&
			(r.State == Ready || k.owner != t.self) {
			r.until = now + orphanBeats*t.beat
			k.by[t.self] = r
		}
		for source, r := range k.by {
			switch {
			case r.until == 0:
			case slept > 0:
				r.until += slept
				k.by[source] = r
			case now >= r.until:
				delete(k.by, source)
				if source == t.self {
					untell = append(untell, id)
				}
				t.settle(now, k)
			}
		}
		if old := k.dead > 0 && now-k.dead > deadFor; old || k.best == nil && len(k.by) == 0 {
			if _, own := k.by[t.self]; own {
				untell = append(untell, id)
			}
			if old && len(k.by) > 1 {
				delete(k.by, t.self)
				continue // others still tell it
			}
			delete(t.all, id)
			delete(t.homes, id)
			t.dirty = true
		}
	}
	slices.Sort(untell)
	untell = slices.Compact(untell)
	return tell, untell
}

// List is the servers that may be sent requests, with a new Version when it changed.
func (t *Table) List() *List {
	if !t.dirty {
		return t.list
	}
	t.dirty = false
	t.ver++
	l := &List{Version: t.ver, ByService: map[string][]*Instance{}, ByID: map[string]*Instance{}}
	for id, k := range t.all {
		if k.best != nil && k.best.State == Ready {
			l.ByID[id] = k.best
			l.ByService[k.best.Service] = append(l.ByService[k.best.Service], k.best)
		}
	}
	for _, s := range l.ByService {
		slices.SortFunc(s, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	t.list = l
	return l
}

// Homes is how many servers beat here.
func (t *Table) Homes() int { return len(t.homes) }

// View is what is known of one instance, for operators.
type View struct {
	*Instance
	Owner string        `json:"owner"`
	Here  bool          `json:"beats-here"`
	Age   time.Duration `json:"age"` // since its last beat here
}

// Views lists all that is known, by id.
func (t *Table) Views(now time.Duration) []View {
	out := make([]View, 0, len(t.all))
	for id, k := range t.all {
		if k.best == nil {
			continue
		}
		v := View{Instance: k.best, Owner: k.owner}
		if h := t.homes[id]; h != nil {
			v.Here, v.Age = true, now-h.heard
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
