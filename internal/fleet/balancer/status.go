package balancer

import (
	"cmp"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// statusPromptTokens is the length of the prompt that a status gives an estimate for.
const statusPromptTokens = 1000

// ServerStatus is what the agent knows of one server, for operators; nothing decides by it.
type ServerStatus struct {
	ID                 string        `json:"ID"`
	Service            string        `json:"Service"`
	Zone               string        `json:"Zone"`
	State              string        `json:"State"`
	TimeInState        time.Duration `json:"InState"`
	TimedOut           bool          `json:"Silent"`   // it was marked unhealthy for a time-out
	Ejections          int           `json:"Strikes"`  // recent ones in a row
	InFlight           int           `json:"InFlight"` // attempts of this agent
	AwaitingFirstToken int           `json:"Unread"`   // of them
	Full               bool          `json:"Full"`     // it rejected a request a moment ago
	SlowStart          bool          `json:"Cold"`
	FirstTokenEstimate time.Duration `json:"Estimate"` // for a short prompt
	Load               Load          `json:"Load"`
	LoadAge            time.Duration `json:"LoadAge"` // of Load; negative: none was reported
}

// Snapshot lists what is known of the servers, by service and ID.
func (p *Picker) Snapshot(now time.Duration) []ServerStatus {
	statuses := make([]ServerStatus, 0, len(p.servers))
	for _, svc := range p.services {
		for _, s := range svc.servers {
			statuses = append(statuses, s.status(now))
		}
	}
	slices.SortFunc(statuses, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return statuses
}

func (s *server) status(now time.Duration) ServerStatus {
	status := ServerStatus{
		ID:                 s.instance.ID,
		Service:            s.service.name,
		Zone:               s.instance.Zone,
		State:              policy.StateNames[s.State()],
		TimeInState:        now - duration(s.Since()),
		TimedOut:           s.TimedOut(),
		Ejections:          s.Ejections(),
		InFlight:           s.inFlight,
		AwaitingFirstToken: s.inference.OwnPrefills(),
		Full:               now < s.fullUntil,
		SlowStart:          now < s.slowStartUntil,
		LoadAge:            -1,
	}
	status.FirstTokenEstimate, _ = s.inference.EstimateFirstToken(now, nil, statusPromptTokens, 0)
	if load, age, ok := s.inference.Load(now); ok {
		status.Load, status.LoadAge = load, age
	}
	return status
}
