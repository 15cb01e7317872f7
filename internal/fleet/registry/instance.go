// Package registry holds the servers of the model services: what they have reported of themselves, to
// which agent, and the list of ready servers that follows, by which all agents route.
//
// A server sends heartbeats to one agent, its home. The home publishes what changes, and when the
// heartbeats stop. Every agent folds what all agents publish into its own table: the end of a server
// is final, and of all else the newest call holds.
//
// The package does no I/O and reads no clock: calls and times go in, lists come out.
package registry

import (
	"strconv"
	"time"
)

// State is the state of a server. Its values are part of the replicated form.
type State uint8

// The states of a server, by increasing finality. A heartbeat turns Expired into Ready again; Draining
// and Deregistered are final, whatever late calls still arrive.
const (
	// Ready servers may be sent requests.
	Ready State = iota
	// Expired servers have missed their heartbeats.
	Expired
	// Draining servers complete what they have, and take nothing new.
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

// Instance is one incarnation of a server as it registered. It is immutable once it is in a table.
type Instance struct {
	ID       string        `msgpack:"i" json:"id"`
	Service  string        `msgpack:"s" json:"service"`
	Addr     string        `msgpack:"a" json:"addr"`
	Zone     string        `msgpack:"z" json:"zone"`
	Revision string        `msgpack:"r,omitempty" json:"revision,omitempty"`
	Slots    int           `msgpack:"n" json:"slots"` // requests that it serves at once
	State    State         `msgpack:"t" json:"state"`
	Seq      uint64        `msgpack:"q" json:"seq"`                      // the server's own count of calls; 0: it gives none
	WarmUp   time.Duration `msgpack:"c,omitempty" json:"cold,omitempty"` // remaining warm-up time when this arrived
	Models   []Model       `msgpack:"m,omitempty" json:"models,omitempty"`
}

// Model is one model that a server has loaded, with the revision of its weights.
type Model struct {
	Name     string `msgpack:"n" json:"name"`
	Revision int    `msgpack:"r" json:"revision"`
}

// List is the ready servers at one moment. It is immutable.
type List struct {
	Version   uint64                 // rises with each change
	ByService map[string][]*Instance // each by ID
	ByID      map[string]*Instance
}

const (
	maxTextBytes = 1024 // of each text
	maxModels    = 256
	maxSlots     = 1 << 20
	maxWarmUp    = 24 * time.Hour
)

// Valid reports whether an instance is within the bounds that every agent requires of what it is sent.
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
