package rollout

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// Report is what an agent tells the holder of the duty while a rollout is under way: once a second,
// and at once when it obeys a newer record or has nothing left at a server that is emptied.
type Report struct {
	Source string         `msgpack:"s"` // the agent's life
	Seq    uint64         `msgpack:"q"` // counts the life's reports: one that is sent again counts once
	Region string         `msgpack:"r"`
	Number uint64         `msgpack:"n"` // of the rollout
	Obeys  uint64         `msgpack:"v"` // the version of the record that all its sends follow from now on
	Held   map[string]int `msgpack:"h"` // its requests under way at servers on their way out, by id
	Sends  Sends          `msgpack:"g"`
	Seen   Seen           `msgpack:"e"`
}

// Check refuses what no agent can have sent.
func (r *Report) Check() error {
	if r.Source == "" || len(r.Source) > maxName || len(r.Region) > maxName || len(r.Held) > maxMoving || len(r.Seen.Cells) > maxCells || len(r.Seen.Own) > maxMoving {
		return apierror.New(apierror.Invalid, "report", "run the same version on all machines", "a report of %.40q is out of bounds", r.Source)
	}
	return nil
}

// Agent is what the holder knows of one agent.
type Agent struct {
	Source string
	Obeys  uint64
	Held   map[string]int
}

// maxAgents bounds the agents that are known.
const maxAgents = 4096

// Watch is the holder's fold of what agents report, for one rollout: a new holder, and a new
// rollout, begin with nothing. It is not safe for concurrent use.
type Watch struct {
	Number uint64
	Groups *Groups
	Judge  *Judge

	spec   *Spec
	agents map[string]*reported
	own    map[string]*Counts
}

type reported struct {
	Agent
	seq uint64
}

// NewWatch returns what is known of a rollout before anything was reported.
func NewWatch(rec *Record) *Watch {
	spec := rec.Spec
	return &Watch{Number: rec.Number, Groups: NewGroups(), Judge: NewJudge(), spec: &spec, agents: map[string]*reported{}, own: map[string]*Counts{}}
}

// Report takes what an agent tells. One of another rollout tells what the agent obeys, and no more.
func (w *Watch) Report(r *Report) error {
	if err := r.Check(); err != nil {
		return err
	}
	a := w.agents[r.Source]
	if a == nil {
		if len(w.agents) >= maxAgents {
			return apierror.New(apierror.TooLarge, "report", "ask the developers for more agents", "%d agents are known", len(w.agents))
		}
		a = &reported{Agent: Agent{Source: r.Source}}
		w.agents[r.Source] = a
	}
	if r.Seq <= a.seq {
		return nil
	}
	a.seq, a.Obeys, a.Held = r.Seq, max(r.Obeys, a.Obeys), r.Held
	if r.Number != w.Number {
		return nil
	}
	w.Groups.Add(w.spec, r.Region, &r.Sends)
	w.Judge.Add(r.Seen.Cells)
	for id, c := range r.Seen.Own {
		if c == nil || !c.sane() {
			continue
		}
		if w.own[id] == nil {
			if len(w.own) >= 4*maxMoving {
				continue
			}
			w.own[id] = &Counts{}
		}
		w.own[id].merge(c)
	}
	return nil
}

// keepOwn forgets what servers did that are not on their way in any more.
func (w *Watch) keepOwn(rec *Record) {
	for id := range w.own {
		if rec.entering(id) == nil {
			delete(w.own, id)
		}
	}
}

// Tick lets time pass.
func (w *Watch) Tick(now time.Duration) {
	w.Groups.Tick(now)
	w.Judge.Tick(now)
}

// Agents is what the members told, those included that told nothing yet; whoever is no member any
// more is forgotten.
func (w *Watch) Agents(members []string) []Agent {
	is := make(map[string]bool, len(members))
	out := make([]Agent, 0, len(members))
	for _, source := range members {
		is[source] = true
		if a := w.agents[source]; a != nil {
			out = append(out, a.Agent)
		} else {
			out = append(out, Agent{Source: source})
		}
	}
	for source := range w.agents {
		if !is[source] {
			delete(w.agents, source)
		}
	}
	return out
}
