package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// maxInstances is the maximum number of instances in a table.
const maxInstances = 8192

// ErrFull is returned for a call of a server that is not in the table while the table is full.
var ErrFull = errors.New("the list of servers is full: call another agent, and look for servers that come again under new ids")

// Table derives the list of ready servers from the heartbeats that this agent receives and from the
// reports of all sources. It is not safe for concurrent use. Times are on a monotonic clock and above zero.
type Table struct {
	ownSource         string // the source under which this agent publishes
	heartbeatInterval time.Duration
	entries           map[string]*entry         // by instance ID
	local             map[string]*localInstance // instances whose home is this agent, by ID; all are in entries, too
	list              *List                     // as it was last built
	listVersion       uint64                    // version of list
	listStale         bool                      // the table has changed since list was built
	lastTick          time.Duration             // time of the last tick; zero before the first
}

// entry holds all reports on one instance.
type entry struct {
	reports        map[string]report // by source
	current        *Instance         // the report that takes precedence; nil if there is none
	owner          string            // the source of current
	tombstoneSince time.Duration     // when current entered its state; zero if that is Ready or current is nil
}

// report is the report of one source on an instance.
type report struct {
	*Instance
	expiresAt time.Duration // when it is dropped unless it is renewed; zero if it does not expire
}

// localInstance is an instance that sends its heartbeats to this agent, its home.
type localInstance struct {
	latest        *Instance     // from its latest call
	lastHeartbeat time.Duration // time of its last heartbeat
	published     *Instance     // as the own source last reported it; nil if it has not
}

// NewTable returns an empty table for the agent that publishes under ownSource. Its servers send a
// heartbeat every heartbeatInterval.
func NewTable(ownSource string, heartbeatInterval time.Duration) *Table {
	return &Table{
		ownSource:         ownSource,
		heartbeatInterval: heartbeatInterval,
		entries:           map[string]*entry{},
		local:             map[string]*localInstance{},
		list:              &List{},
	}
}

// List returns the ready servers, with a higher Version if they have changed since the last call.
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

// ReportedBy returns whether the table has a report of a source on an instance.
func (t *Table) ReportedBy(source, id string) bool {
	e := t.entries[id]
	if e == nil {
		return false
	}
	_, reported := e.reports[source]
	return reported
}

// LocalCount returns the number of servers that send their heartbeats to this agent.
func (t *Table) LocalCount() int { return len(t.local) }

// View describes one instance to operators.
type View struct {
	*Instance
	Owner          string        `json:"owner"`      // the source whose report takes precedence
	Local          bool          `json:"beats-here"` // it sends its heartbeats to this agent
	SinceHeartbeat time.Duration `json:"age"`        // time since its last heartbeat; zero if Local is false
}

// Views returns a view of each known instance, sorted by ID.
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
