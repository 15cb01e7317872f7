package snapshot

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/policy"
)

// The tables of a state, and the versions of their encodings.
const (
	tableServers, versionServers = "servers", 1
	tableKeys, versionKeys       = "keys", 1
	tableLoad, versionLoad       = "load", 1
	tableList, versionList       = "list", 1
	// tableSite was added later. A file without it is read like that of an agent without a fleet.
	tableSite, versionSite = "site", 1
)

// State is everything that an agent stores: the snapshot of its policy, the server list that discovery
// reported, and the state of its site.
type State struct {
	Policy    *policy.Snapshot
	Discovery string                     // address of the discovery that reported the list
	Version   uint64                     // version of the list
	Targets   map[string]json.RawMessage // entries of the list by id, in the encoding of discovery
	Site      *Site                      // nil for an agent without a fleet
}

// Site is what an agent knows about its site from its peers.
type Site struct {
	Isolated bool                 `json:"Dark"`    // true if the site had lost its uplink
	Entries  []stalerouting.Entry `json:"Entries"` // with their ages at the time of the save
}

// listHeader is the record that describes a stored server list. Targets is the number of its entries.
type listHeader struct {
	Discovery string `json:"Discovery"`
	Version   uint64 `json:"Version"`
	Targets   int    `json:"Targets"`
}

const (
	// keysPerRecord is the largest number of keys in a record. A damaged record loses no more than these.
	keysPerRecord = 256
	// keySize is the size of a key with its count in a record, in bytes.
	keySize = 16
	// maxServers is the largest number of servers that are stored.
	maxServers = 10_000
)

// listHeaderKey is the key of the list's header. The keys of the list's entries start with "=".
const listHeaderKey = "."

// loadRecord is what the policy knows about all servers together. Its JSON keys are part of the stored
// format.
type loadRecord struct {
	Demand            float64   `json:"Demand"`
	PeakCapacity      float64   `json:"Peak"`
	AdmittedShare     float64   `json:"Admitted"`
	BaselineLatency   float64   `json:"CalmLat"`
	RecentLatency     float64   `json:"FleetLat"`
	Responses         float64   `json:"Answers"`
	ExpectedLatencyMs []float64 `json:"Expect"`
}

// Encode encodes a state.
func Encode(s *State) (Tables, error) {
	m := s.Policy
	t := Tables{tableServers: {}, tableKeys: {}, tableLoad: {}, tableList: {}}
	if n := len(s.Targets); n > 0 && n <= maxServers {
		text, err := json.Marshal(listHeader{s.Discovery, s.Version, n})
		if err != nil {
			return nil, fmt.Errorf("snapshot: list: %w", err)
		}
		t[tableList][listHeaderKey] = Record{versionList, text}
		for id, target := range s.Targets {
			t[tableList]["="+id] = Record{versionList, target}
		}
	}
	if s.Site != nil {
		text, err := json.Marshal(s.Site)
		if err != nil {
			return nil, fmt.Errorf("snapshot: site: %w", err)
		}
		t[tableSite] = map[string]Record{"now": {versionSite, text}}
	}
	for i := range m.Servers[:min(len(m.Servers), maxServers)] {
		text, err := json.Marshal(&m.Servers[i])
		if err != nil {
			return nil, fmt.Errorf("snapshot: server %v: %w", m.Servers[i].Server, err)
		}
		t[tableServers][fmt.Sprintf("%x", m.Servers[i].Server)] = Record{versionServers, text}
	}
	for i := 0; i < len(m.Keys); i += keysPerRecord {
		var raw []byte
		for _, k := range m.Keys[i:min(i+keysPerRecord, len(m.Keys))] {
			raw = binary.BigEndian.AppendUint64(raw, k.Key)
			raw = binary.BigEndian.AppendUint64(raw, math.Float64bits(k.Count))
		}
		t[tableKeys][fmt.Sprintf("%06d", i/keysPerRecord)] = Record{versionKeys, raw}
	}
	text, err := json.Marshal(loadRecord{
		m.Demand, m.PeakCapacity, m.AdmittedShare, m.BaselineLatency, m.RecentLatency, m.Responses, m.ExpectedLatencyMs,
	})
	if err != nil {
		return nil, fmt.Errorf("snapshot: load: %w", err)
	}
	t[tableLoad]["now"] = Record{versionLoad, text}
	return t, nil
}

// Decode decodes the state of a generation. It drops invalid records and reports them, and it adds the
// generation's age to durations since an event. A list with a missing entry is dropped, as its missing
// servers would count as removed.
func Decode(g *Generation) (*State, []Problem) {
	d := &decoder{generation: g, state: &State{
		Policy: &policy.Snapshot{AgeMs: float64(g.Age) / float64(time.Millisecond)},
	}}
	d.decodeServers()
	d.decodeKeys()
	d.decodeLoad()
	d.decodeSite()
	d.decodeList()
	return d.state, d.problems
}

// decoder decodes the tables of a generation one by one.
type decoder struct {
	generation *Generation
	state      *State
	problems   []Problem
}

// reject reports that a record is dropped.
func (d *decoder) reject(table, key, format string, args ...any) {
	d.problems = append(d.problems, Problem{fmt.Sprintf("%s %q", table, key), fmt.Sprintf(format, args...)})
}

func (d *decoder) decodeServers() {
	records := d.generation.Tables[tableServers]
	for _, key := range sortedKeys(records) {
		record := records[key]
		var server policy.ServerSnapshot
		if record.Version != versionServers {
			d.reject(tableServers, key, "version %d", record.Version)
		} else if err := json.Unmarshal(record.Value, &server); err != nil {
			d.reject(tableServers, key, "%v", err)
		} else if key != fmt.Sprintf("%x", server.Server) {
			d.reject(tableServers, key, "belongs to another server")
		} else {
			server.InStateMs += d.state.Policy.AgeMs
			d.state.Policy.Servers = append(d.state.Policy.Servers, server)
		}
	}
}

func (d *decoder) decodeKeys() {
	records := d.generation.Tables[tableKeys]
	for _, key := range sortedKeys(records) {
		record := records[key]
		if record.Version != versionKeys || len(record.Value)%keySize != 0 ||
			len(record.Value) > keySize*keysPerRecord {
			d.reject(tableKeys, key, "version %d, %d bytes", record.Version, len(record.Value))
			continue
		}
		for raw := record.Value; len(raw) > 0; raw = raw[keySize:] {
			count := math.Float64frombits(binary.BigEndian.Uint64(raw[keySize/2:]))
			d.state.Policy.Keys = append(d.state.Policy.Keys,
				policy.KeyCount{Key: binary.BigEndian.Uint64(raw), Count: count})
		}
	}
}

func (d *decoder) decodeLoad() {
	record, ok := d.generation.Tables[tableLoad]["now"]
	if !ok {
		return
	}
	var load loadRecord
	if err := json.Unmarshal(record.Value, &load); err != nil || record.Version != versionLoad {
		d.reject(tableLoad, "now", "version %d, %v", record.Version, err)
		return
	}
	p := d.state.Policy
	p.Demand, p.PeakCapacity, p.AdmittedShare = load.Demand, load.PeakCapacity, load.AdmittedShare
	p.BaselineLatency, p.RecentLatency = load.BaselineLatency, load.RecentLatency
	p.Responses, p.ExpectedLatencyMs = load.Responses, load.ExpectedLatencyMs
}

func (d *decoder) decodeSite() {
	record, ok := d.generation.Tables[tableSite]["now"]
	if !ok {
		return
	}
	var site Site
	err := json.Unmarshal(record.Value, &site)
	if err != nil || record.Version != versionSite || len(site.Entries) > stalerouting.MaxEntries {
		d.reject(tableSite, "now", "version %d, %d entries, %v", record.Version, len(site.Entries), err)
		return
	}
	age := min(d.generation.Age, stalerouting.UnknownAge)
	for i := range site.Entries {
		site.Entries[i].Age = min(site.Entries[i].Age, stalerouting.UnknownAge) + age
	}
	d.state.Site = &site
}

func (d *decoder) decodeList() {
	records := d.generation.Tables[tableList]
	record, ok := records[listHeaderKey]
	if !ok {
		if len(records) > 0 {
			d.reject(tableList, listHeaderKey, "missing")
		}
		return
	}
	var header listHeader
	err := json.Unmarshal(record.Value, &header)
	if err != nil || record.Version != versionList || header.Targets != len(records)-1 {
		d.reject(tableList, listHeaderKey, "version %d, %d of %d entries, %v",
			record.Version, len(records)-1, header.Targets, err)
		return
	}
	d.state.Discovery, d.state.Version = header.Discovery, header.Version
	d.state.Targets = map[string]json.RawMessage{}
	for key, entry := range records {
		if id, ok := strings.CutPrefix(key, "="); ok {
			d.state.Targets[id] = entry.Value
		}
	}
}
