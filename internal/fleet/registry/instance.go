// Package registry tracks the servers of the model services: what each reports about itself, which agent
// it calls, and the resulting list of ready servers, by which all agents route requests.
//
// A server sends its heartbeats to one agent, its home. The home publishes a report when the server
// changes or expires. Every agent merges the reports of all agents into its own table: a drain or an end
// is final, otherwise the report from the newest call takes precedence. A source is one incarnation of an
// agent as the origin of reports; an agent's own source holds what it publishes itself.
//
// The package does no I/O and reads no clock: its callers pass in calls and times.
package registry

import (
	"strconv"
	"time"
)

// State is the state of a server. Its values are part of the replicated encoding.
type State uint8

// The states of a server, from the least to the most final. A heartbeat turns Expired into Ready again.
// Draining and Deregistered are final: calls that arrive late do not undo them.
const (
	// Ready servers may be sent requests.
	Ready State = iota
	// Expired servers have missed their heartbeats.
	Expired
	// Draining servers complete their requests and accept no new ones.
	Draining
	// Deregistered servers have ended.
	Deregistered
)

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Expired:
		return "expired"
	case Draining:
		return "draining"
	case Deregistered:
		return "deregistered"
	default:
		return "state(" + strconv.Itoa(int(s)) + ")"
	}
}

// Instance is one incarnation of a server as a call described it. It is immutable once it is in a table.
type Instance struct {
	ID       string        `msgpack:"i" json:"id"`
	Service  string        `msgpack:"s" json:"service"`
	Addr     string        `msgpack:"a" json:"addr"`
	Zone     string        `msgpack:"z" json:"zone"`
	Revision string        `msgpack:"r,omitempty" json:"revision,omitempty"`
	Slots    int           `msgpack:"n" json:"slots"` // requests that it can serve at the same time
	State    State         `msgpack:"t" json:"state"`
	Seq      uint64        `msgpack:"q" json:"seq"`                      // number of the call; zero if it has none
	WarmUp   time.Duration `msgpack:"c,omitempty" json:"cold,omitempty"` // remaining warm-up time when the call arrived
	Models   []Model       `msgpack:"m,omitempty" json:"models,omitempty"`
}

// Model is one model that a server has loaded, with the revision of its weights.
type Model struct {
	Name     string `msgpack:"n" json:"name"`
	Revision int    `msgpack:"r" json:"revision"`
}

// List contains the ready servers at one time. It is immutable.
type List struct {
	Version   uint64                 // increases with each change
	ByService map[string][]*Instance // each sorted by ID
	ByID      map[string]*Instance
}

const (
	maxTextBytes = 1024 // for each text of an instance
	maxModels    = 256
	maxSlots     = 1 << 20
	maxWarmUp    = 24 * time.Hour
)

// Valid returns whether an instance is within the limits for instances that an agent is sent.
func (instance *Instance) Valid() bool {
	for _, model := range instance.Models {
		if len(model.Name) > maxTextBytes {
			return false
		}
	}
	longest := max(len(instance.ID), len(instance.Service), len(instance.Addr), len(instance.Zone), len(instance.Revision))
	return instance.ID != "" && longest <= maxTextBytes &&
		instance.State <= Deregistered &&
		instance.Slots >= 0 && instance.Slots <= maxSlots &&
		instance.WarmUp >= 0 && instance.WarmUp <= maxWarmUp &&
		len(instance.Models) <= maxModels
}
