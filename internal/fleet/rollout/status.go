package rollout

import (
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// Status is what an operator is told of a rollout. What only the holder of the duty knows is empty
// where Holds is false.
type Status struct {
	Number  uint64     `json:"number"`
	Phase   Phase      `json:"phase"`
	Paused  bool       `json:"paused"`
	Why     string     `json:"why,omitempty"`
	Service string     `json:"service,omitempty"`
	Model   string     `json:"model,omitempty"`
	From    int        `json:"from"`
	To      int        `json:"to"`
	Holder  string     `json:"holder,omitempty"`
	Term    uint64     `json:"term"`
	Version uint64     `json:"version"`
	Old     int        `json:"old"` // servers that hold the old revision
	New     int        `json:"new"`
	Moved   int        `json:"moved"`
	Out     []Leaving  `json:"out"`
	In      []Entering `json:"in"`
	Replace []string   `json:"replace"` // servers that the platform is to drain and replace, by id

	Holds   bool          `json:"holds"`
	Left    time.Duration `json:"left"` // -1: not known
	Waits   []string      `json:"waits,omitempty"`
	Worst   *Short        `json:"worst-group,omitempty"`
	Groups  [8]int        `json:"groups"` // hash groups by their replicas, the last for that many and more
	Verdict Verdict       `json:"verdict"`
	Past    []Summary     `json:"past,omitempty"`
}

// Status is what any agent can tell of the record and its own list of servers.
func (r *Record) Status(servers []Server) Status {
	s := Status{Number: r.Number, Phase: r.Phase, Paused: r.Paused, Why: r.Why, Service: r.Spec.Service, Model: r.Spec.Model, From: r.Spec.From, To: r.Spec.To,
		Holder: r.Holder, Term: r.Term, Version: r.Version, Moved: r.Moved, Out: r.Out, In: r.In, Left: -1, Past: r.Past}
	for _, l := range r.Out {
		if l.Step == Replacing {
			s.Replace = append(s.Replace, l.ID)
		}
	}
	for i := range servers {
		switch v := &servers[i]; {
		case v.State > registry.Expired:
		case v.Revision == r.Spec.To:
			s.New++
		case v.Revision == r.Spec.From:
			s.Old++
		}
	}
	return s
}

// Status adds what the holder knows, as of its last Step.
func (m *Machine) Status(now time.Duration, rec *Record, f *Facts) Status {
	s := rec.Status(f.Servers)
	s.Holds, s.Waits, s.Verdict = true, slices.Clone(m.waits), m.verdict
	if m.worst.Group != "" {
		worst := m.worst
		s.Worst = &worst
	}
	if f.Watch != nil {
		s.Groups = f.Watch.Groups.Counts()
	}
	left := s.Old
	if rec.Phase == Back {
		left = s.New
	}
	switch moved := rec.Moved - m.moved; {
	case !rec.Active():
		s.Left = 0
	case moved > 0 && !rec.Paused && m.number == rec.Number:
		s.Left = (now - m.began) / time.Duration(moved) * time.Duration(left+len(rec.In))
	}
	return s
}

// String is a line for people.
func (s *Status) String() string {
	if s.Number == 0 {
		return "there was no rollout yet"
	}
	line := fmt.Sprintf("rollout %d of %s, model %s from %d to %d: %s, %d servers new, %d old", s.Number, s.Service, s.Model, s.From, s.To, s.Phase, s.New, s.Old)
	if s.Paused {
		line += ", paused"
	}
	if s.Why != "" {
		line += " (" + s.Why + ")"
	}
	if s.Left > 0 {
		line += fmt.Sprintf(", about %v left", s.Left.Round(time.Second))
	}
	return line
}
