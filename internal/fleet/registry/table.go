package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// expiryHeartbeats is how many beats a server may miss before its home takes it for lost.
	expiryHeartbeats = 3.5
	// orphanHeartbeats is for how many beats a server is kept whose home has gone: it calls the next agent.
	orphanHeartbeats = 4
	// restoredHeartbeats is for how many a server is kept that is known from disk only.
	restoredHeartbeats = 3
	// tombstoneRetention is how long it is remembered that an instance drained or left, against late calls.
	tombstoneRetention = 90 * time.Second
	// maxInstances bounds what is known of instances.
	maxInstances = 8192
	// freezeThreshold is the pause between two ticks after which the process was frozen: what it did not hear
	// in that time tells nothing.
	freezeThreshold = time.Second
)

// ErrFull answers a call of a server that the table does not know and has no room for.
var ErrFull = errors.New("the list of servers is full: call another agent, and look for servers that come again under new ids")

// report is what one source tells of an instance.
type report struct {
	*Instance
	expiresAt time.Duration // when it goes by itself; 0: it doesn't
}

// localInstance is an instance whose beats come here.
type localInstance struct {
	latest        *Instance // as it beat last
	lastHeartbeat time.Duration
	published     *Instance // as the own source tells it
}

// entry is all that is told of an instance.
type entry struct {
	reports    map[string]report
	current    *Instance     // what holds
	owner      string        // the source that tells it
	endedSince time.Duration // since when it is in a state that is not Ready; 0: it is Ready
}

// Table folds beats, leaves and the feed into the list. It is not safe for concurrent use. Times
// are on the steady clock and above zero.
type Table struct {
	ownSource         string
	heartbeatInterval time.Duration
	entries           map[string]*entry
	local             map[string]*localInstance
	list              *List
	listVersion       uint64
	listStale         bool
	lastTick          time.Duration
}

// NewTable returns an empty table for the agent whose own source is self.
func NewTable(self string, beat time.Duration) *Table {
	return &Table{ownSource: self, heartbeatInterval: beat, entries: map[string]*entry{}, local: map[string]*localInstance{}, list: &List{}}
}

// Heartbeat takes a server's call and returns what the own source has to tell of it: nil if nothing
// new, or if the call is late or the instance is known to end. The call of an unknown server to a
// full table is refused by ErrFull: what it says would be lost.
func (t *Table) Heartbeat(now time.Duration, in *Instance) (*Instance, error) {
	k := t.entries[in.ID]
	if k == nil && len(t.entries) >= maxInstances {
		return nil, ErrFull
	}
	if k != nil && k.current != nil {
		if k.current.State == Deregistered || k.current.State == Draining && in.State == Ready {
			return nil, nil
		}
		if in.State == Ready && isLate(in, k.current) {
			return nil, nil
		}
	}
	h := t.local[in.ID]
	if h == nil {
		h = &localInstance{}
		t.local[in.ID] = h
	}
	if h.latest != nil && in.Seq <= h.latest.Seq && in.State <= h.latest.State {
		if in.Seq == h.latest.Seq {
			h.lastHeartbeat = now // the same again; a late one proves nothing
		}
		return nil, nil
	}
	h.latest, h.lastHeartbeat = in, now
	if h.published != nil && samePublished(h.published, in) && k != nil && k.owner == t.ownSource {
		return nil, nil
	}
	h.published = in
	t.Report(now, t.ownSource, in)
	return in, nil
}

// isLate tells whether a beat is from before what is known: also a repeated last beat of a server that
// was lost since. A server that gives no numbers is never late.
func isLate(in, known *Instance) bool {
	return in.Seq < known.Seq || known.State == Expired && in.Seq == known.Seq && in.Seq > 0
}

// Deregister takes a server's word that it ends, as Beat does.
func (t *Table) Deregister(now time.Duration, id string) (*Instance, error) {
	k := t.entries[id]
	if k == nil && len(t.entries) >= maxInstances {
		return nil, ErrFull
	}
	in := &Instance{ID: id, State: Deregistered}
	if k != nil && k.current != nil {
		if k.current.State == Deregistered {
			return nil, nil
		}
		gone := *k.current
		gone.State = Deregistered
		in = &gone
	}
	if h := t.local[id]; h != nil && h.latest != nil {
		in.Seq = max(in.Seq, h.latest.Seq)
	}
	in.Seq++
	delete(t.local, id)
	t.Report(now, t.ownSource, in)
	return in, nil
}

// samePublished tells whether what matters to others is alike. A cold start passes by itself.
func samePublished(a, b *Instance) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.State == b.State &&
		a.Slots == b.Slots && a.Revision == b.Revision && slices.Equal(a.Models, b.Models)
}

// Report takes what a source tells of an instance. False: the table is full and does not know it.
func (t *Table) Report(now time.Duration, source string, in *Instance) bool {
	k := t.entries[in.ID]
	if k == nil {
		if len(t.entries) >= maxInstances {
			return false
		}
		k = &entry{reports: map[string]report{}}
		t.entries[in.ID] = k
	}
	k.reports[source] = report{Instance: in}
	t.resolve(now, k)
	return true
}

// Withdraw takes back what a source told of an instance.
func (t *Table) Withdraw(now time.Duration, source, id string) {
	if k := t.entries[id]; k != nil {
		delete(k.reports, source)
		t.resolve(now, k)
	}
}

// Restore takes an instance that an earlier life of this agent knew: it is listed until its next
// beats are due. False: more is known of it.
func (t *Table) Restore(now time.Duration, in *Instance) bool {
	if t.entries[in.ID] != nil || len(t.entries) >= maxInstances {
		return false
	}
	k := &entry{reports: map[string]report{t.ownSource: {in, now + restoredHeartbeats*t.heartbeatInterval}}}
	t.entries[in.ID] = k
	t.resolve(now, k)
	return true
}

// resolve finds what holds of an instance: an end is final, else the newest call.
func (t *Table) resolve(now time.Duration, k *entry) {
	var best *Instance
	owner := ""
	for source, r := range k.reports {
		better := best == nil
		if !better {
			a, b := r.Instance, best
			ends := func(i *Instance) State { return max(i.State, Expired) } // Ready and Lost go by Seq
			better = cmp.Or(cmp.Compare(ends(a), ends(b)), cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.State, b.State),
				cmp.Compare(source, owner)) > 0
		}
		if better {
			best, owner = r.Instance, source
		}
	}
	if k.current != nil && k.current.State >= Draining && (best == nil || best.State < k.current.State) {
		return // final, whoever told it
	}
	switch {
	case best == nil || best.State == Ready:
		k.endedSince = 0
	case k.current == nil || k.current.State != best.State:
		k.endedSince = now
	}
	if k.current != best {
		t.listStale = true
	}
	k.current, k.owner = best, owner
}

// SourceEnded takes that a source has ended: its servers call another agent soon, or are dropped.
func (t *Table) SourceEnded(now time.Duration, source string) {
	for _, k := range t.entries {
		if r, ok := k.reports[source]; ok && r.expiresAt == 0 {
			r.expiresAt = now + orphanHeartbeats*t.heartbeatInterval
			k.reports[source] = r
		}
	}
}

// RenameOwnSource takes that the own source has a new name.
func (t *Table) RenameOwnSource(now time.Duration, self string) {
	old := t.ownSource
	t.ownSource = self
	for _, k := range t.entries {
		if r, ok := k.reports[old]; ok {
			delete(k.reports, old)
			k.reports[self] = r
			t.resolve(now, k)
		}
	}
}

// Tick looks for silence and returns what the own source has to tell, and the ids of which it has
// to tell nothing any more.
func (t *Table) Tick(now time.Duration) (tell []*Instance, untell []string) {
	slept := time.Duration(0)
	if t.lastTick > 0 && now-t.lastTick > freezeThreshold {
		slept = now - t.lastTick
	}
	t.lastTick = now
	for id, h := range t.local {
		switch k := t.entries[id]; {
		case k == nil || k.current == nil:
			delete(t.local, id)
		case slept > 0:
			h.lastHeartbeat = now
		case k.owner != t.ownSource && k.current.Seq > h.latest.Seq:
			delete(t.local, id) // it calls another agent
		case now-h.lastHeartbeat > time.Duration(expiryHeartbeats*float64(t.heartbeatInterval)):
			delete(t.local, id)
			if k.current.State < Draining {
				lost := *h.latest
				lost.State = Expired
				t.Report(now, t.ownSource, &lost)
				tell = append(tell, &lost)
			}
		}
	}
	for id, k := range t.entries {
		// What was told of a server that calls another agent now would outlive both.
		if r, own := k.reports[t.ownSource]; own && r.expiresAt == 0 && t.local[id] == nil && r.State < Draining &&
			(r.State == Ready || k.owner != t.ownSource) {
			r.expiresAt = now + orphanHeartbeats*t.heartbeatInterval
			k.reports[t.ownSource] = r
		}
		for source, r := range k.reports {
			switch {
			case r.expiresAt == 0:
			case slept > 0:
				r.expiresAt += slept
				k.reports[source] = r
			case now >= r.expiresAt:
				delete(k.reports, source)
				if source == t.ownSource {
					untell = append(untell, id)
				}
				t.resolve(now, k)
			}
		}
		if old := k.endedSince > 0 && now-k.endedSince > tombstoneRetention; old || k.current == nil && len(k.reports) == 0 {
			if _, own := k.reports[t.ownSource]; own {
				untell = append(untell, id)
			}
			if old && len(k.reports) > 1 {
				delete(k.reports, t.ownSource)
				continue // others still tell it
			}
			delete(t.entries, id)
			delete(t.local, id)
			t.listStale = true
		}
	}
	slices.Sort(untell)
	untell = slices.Compact(untell)
	return tell, untell
}

// List is the servers that may be sent requests, with a new Version when it changed.
func (t *Table) List() *List {
	if !t.listStale {
		return t.list
	}
	t.listStale = false
	t.listVersion++
	l := &List{Version: t.listVersion, ByService: map[string][]*Instance{}, ByID: map[string]*Instance{}}
	for id, k := range t.entries {
		if k.current != nil && k.current.State == Ready {
			l.ByID[id] = k.current
			l.ByService[k.current.Service] = append(l.ByService[k.current.Service], k.current)
		}
	}
	for _, s := range l.ByService {
		slices.SortFunc(s, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	t.list = l
	return l
}

// LocalCount is how many servers beat here.
func (t *Table) LocalCount() int { return len(t.local) }

// View is what is known of one instance, for operators.
type View struct {
	*Instance
	Owner string        `json:"owner"`
	Here  bool          `json:"beats-here"`
	Age   time.Duration `json:"age"` // since its last beat here
}

// Views lists all that is known, by id.
func (t *Table) Views(now time.Duration) []View {
	out := make([]View, 0, len(t.entries))
	for id, k := range t.entries {
		if k.current == nil {
			continue
		}
		v := View{Instance: k.current, Owner: k.owner}
		if h := t.local[id]; h != nil {
			v.Here, v.Age = true, now-h.lastHeartbeat
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
