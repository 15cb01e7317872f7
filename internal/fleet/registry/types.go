// Package registry owns the servers of the model services: what they said of themselves, by which
// agent, and what follows for the list that all agents route by. It is pure: calls and times go
// in, a list comes out.
package registry

import "time"

// State is what a server's list entry says of it.
type State uint8

// The states of an instance. Lost is one whose beats stopped: a later beat brings it back. What
// drains or is gone never comes back: a late call finds it so.
const (
	Ready State = iota
	Expired
	Draining
	Deregistered
)

// Instance is one incarnation of a server, as it registered. It is immutable once listed.
type Instance struct {
	ID       string        `msgpack:"i" json:"id"`
	Service  string        `msgpack:"s" json:"service"`
	Addr     string        `msgpack:"a" json:"addr"`
	Zone     string        `msgpack:"z" json:"zone"`
	Revision string        `msgpack:"r,omitempty" json:"revision,omitempty"`
	Slots    int           `msgpack:"n" json:"slots"`
	State    State         `msgpack:"t" json:"state"`
	Seq      uint64        `msgpack:"q" json:"seq"`                      // the server's own count of calls
	Cold     time.Duration `msgpack:"c,omitempty" json:"cold,omitempty"` // how much longer it stays slow, when it was taken
	Models   []Model       `msgpack:"m,omitempty" json:"models,omitempty"`
}

// Model is one model that a server holds, with the revision of its weights.
type Model struct {
	Name     string `msgpack:"n" json:"name"`
	Revision int    `msgpack:"r" json:"revision"`
}

// List is the servers at one moment, immutable. Only ready ones are in it.
type List struct {
	Version   uint64
	ByService map[string][]*Instance // ordered by ID
	ByID      map[string]*Instance   // of those
}

const (
	maxTextBytes = 1024 // bytes of each text
	maxModels    = 256
	maxSlots     = 1 << 20
	maxWarmUp    = 24 * time.Hour
)

// Valid tells whether an instance is within the bounds that all agents hold what they hear of
// instances to.
func (in *Instance) Valid() bool {
	for _, m := range in.Models {
		if len(m.Name) > maxTextBytes {
			return false
		}
	}
	return in.ID != "" && max(len(in.ID), len(in.Service), len(in.Addr), len(in.Zone), len(in.Revision)) <= maxTextBytes &&
		in.State <= Deregistered && in.Slots >= 0 && in.Slots <= maxSlots && in.Cold >= 0 && in.Cold <= maxWarmUp && len(in.Models) <= maxModels
}
