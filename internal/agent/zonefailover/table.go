package zonefailover

import (
	"fmt"
	"time"
)

// Track is the state of a zone for one group of agents.
type Track struct {
	Share        float64       `json:"Share"`  // fraction of the zone's weight that these agents use; 0 if ejected
	EjectionTime time.Duration `json:"Hold"`   // duration of the last ejection; 0 before the first one
	Ejections    int           `json:"Leaves"` // number of ejections
}

// Zone is the state of one zone in a Table.
type Zone struct {
	Name string `json:"Name"`
	// Remote applies to the agents of other sites, Local to those of the zone's own site.
	Remote Track `json:"Out"`
	Local  Track `json:"In"`
}

// Table is a complete decision on all zones. Of two tables the one with the higher Number is newer. The JSON keys
// are part of the consensus log and of stored state.
type Table struct {
	Version       int            `json:"Version"`
	Number        uint64         `json:"Number"`
	Zones         []Zone         `json:"Zones"` // ordered by name; a zone that is not listed is fully used
	TrafficShares []TrafficShare `json:"Parts"` // ordered by site and zone; a site that is not listed has none
}

// Validate returns an error that names the first invalid field of a table from another process.
func (t *Table) Validate() error {
	if t.Version != Version || len(t.Zones) > MaxZones {
		return fmt.Errorf("table: version %d with %d zones", t.Version, len(t.Zones))
	}
	if len(t.TrafficShares) > maxTrafficShareZones*maxTrafficShareZones {
		return fmt.Errorf("table: parts: %d", len(t.TrafficShares))
	}
	for i, s := range t.TrafficShares {
		if s.Site == "" || len(s.Site) > maxNameLength || s.Zone == "" || len(s.Zone) > maxNameLength ||
			!(s.Share >= 0) || s.Share > 1+1e-9 {
			return fmt.Errorf("table: parts[%d]: %+v", i, s)
		}
	}
	for i, z := range t.Zones {
		valid := func(track Track) bool {
			return track.Share >= 0 && track.Share <= 1 && track.EjectionTime >= 0 && track.Ejections >= 0
		}
		if z.Name == "" || len(z.Name) > maxNameLength || !valid(z.Remote) || !valid(z.Local) {
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
