package zonefailover

import (
	"fmt"
	"time"
)

// Track is the state of a zone for one group of agents.
type Track struct {
	Share        float64       `json:"Share"`  // fraction of its weight that they use
	EjectionTime time.Duration `json:"Hold"`   // duration of the last ejection, doubled with each further one
	Ejections    int           `json:"Leaves"` // number of ejections
}

// Zone is the state of one zone in a Table.
type Zone struct {
	Name string `json:"Name"`
	// Remote is for the agents of other sites, Local for those of its own.
	Remote Track `json:"Out"`
	Local  Track `json:"In"`
}

// Table is the complete decision. Of two tables the one with the higher Number is newer. Its JSON keys
// are part of the consensus log and of stored state.
type Table struct {
	Version       int            `json:"Version"`
	Number        uint64         `json:"Number"`
	Zones         []Zone         `json:"Zones"` // ordered by name; a zone that is not listed is fully used by all
	TrafficShares []TrafficShare `json:"Parts"` // ordered by site and zone; for a site that is not listed nothing is decided
}

// Validate returns an error that names the first invalid field of a table of another process.
func (t *Table) Validate() error {
	if t.Version != Version || len(t.Zones) > MaxZones {
		return fmt.Errorf("table: version %d with %d zones", t.Version, len(t.Zones))
	}
	if len(t.TrafficShares) > maxTrafficShareZones*maxTrafficShareZones {
		return fmt.Errorf("table: parts: %d", len(t.TrafficShares))
	}
	for i, p := range t.TrafficShares {
		if p.Site == "" || len(p.Site) > maxName || p.Zone == "" || len(p.Zone) > maxName || !(p.Share >= 0) || p.Share > 1+1e-9 {
			return fmt.Errorf("table: parts[%d]: %+v", i, p)
		}
	}
	for i, z := range t.Zones {
		valid := func(k Track) bool { return k.Share >= 0 && k.Share <= 1 && k.EjectionTime >= 0 && k.Ejections >= 0 }
		if z.Name == "" || len(z.Name) > maxName || !valid(z.Remote) || !valid(z.Local) {
			return fmt.Errorf("table: zones[%d]: %+v", i, z)
		}
	}
	return nil
}

// Share returns the fraction of a zone's weight that the agents of a site use.
func (t *Table) Share(site, zone string) float64 {
	for _, z := range t.Zones {
		if z.Name == zone && site == zone {
			return z.Local.Share
		} else if z.Name == zone {
			return z.Remote.Share
		}
	}
	return 1
}
