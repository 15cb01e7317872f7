package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// maxInstances bounds the instances of a table.
const maxInstances = 8192

// ErrFull is returned for calls of a server that is not in the table when the table is full.
var ErrFull = errors.New("the list of servers is full: call another agent, and look for servers that come again under new ids")

// Table folds the heartbeats that come here and the reports of all sources into the list of ready
// servers. It is not safe for concurrent use. Times are on a monotonic clock and above zero.
type Table struct {
	ownSource         string
	heartbeatInterval time.Duration
	entries           map[string]*entry         // by ID
	local             map[string]*localInstance // by ID; each is in entries, too, until the next tick
	list              *List
	listVersion       uint64
	listStale         bool
	lastTick          time.Duration
}

// entry is all that is reported of an instance.
type entry struct {
	reports    map[string]report // by source
	current    *Instance         // the report that holds; nil: none
	owner      string            // its source
	endedSince time.Duration     // since when current is not ready; 0: it is
}

// report is what one source reports of an instance.
type report struct {
	*Instance
	expiresAt time.Duration // when it is dropped unless it is renewed; 0: it does not expire
}

// localInstance is an instance whose heartbeats come here: this agent is its home.
type localInstance struct {
	latest        *Instance // by its latest call
	lastHeartbeat time.Duration
	published     *Instance // as the own source reports it
}

// NewTable returns an empty table for the agent whose own source has a given name, for servers that
// send a heartbeat each interval.
func NewTable(ownSource string, heartbeatInterval time.Duration) *Table {
	return &Table{
		ownSource:         ownSource,
		heartbeatInterval: heartbeatInterval,
		entries:           map[string]*entry{},
		local:             map[string]*localInstance{},
		list:              &List{},
	}
}

// List returns the ready servers, with a new Version if they have changed since the last call.
func (t *Table) List() *List {
	if !t.listStale {
		return t.list
	}
	t.listStale = false
	t.listVersion++
	list := &List{Version: t.listVersion, ByService: map[string][]*Instance{}, ByID: map[string]*Instance{}}
	for id, e := range t.entries {
		if e.current != nil && e.current.State == Ready {
			list.ByID[id] = e.current
			list.ByService[e.current.Service] = append(list.ByService[e.current.Service], e.current)
		}
	}
	for _, instances := range list.ByService {
		slices.SortFunc(instances, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	t.list = list
	return list
}

// ReportedBy reports whether the report of a source on an instance counts.
func (t *Table) ReportedBy(source, id string) bool {
	e := t.entries[id]
	if e == nil {
		return false
	}
	_, reported := e.reports[source]
	return reported
}

// LocalCount is the number of servers whose heartbeats come here.
func (t *Table) LocalCount() int { return len(t.local) }

// View is what is known of one instance, as operators see it.
type View struct {
	*Instance
	Owner          string        `json:"owner"`      // the source whose report holds
	Local          bool          `json:"beats-here"` // its heartbeats come here
	SinceHeartbeat time.Duration `json:"age"`        // since its last heartbeat, if they do
}

// Views returns all that is known, by ID.
func (t *Table) Views(now time.Duration) []View {
	views := make([]View, 0, len(t.entries))
	for id, e := range t.entries {
		if e.current == nil {
			continue
		}
		view := View{Instance: e.current, Owner: e.owner}
		if local := t.local[id]; local != nil {
			view.Local, view.SinceHeartbeat = true, now-local.lastHeartbeat
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.ID, b.ID) })
	return views
}
