package snapshot

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
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
	// tableSite was added later: a file without it is of an agent without a fleet.
	tableSite, versionSite = "site", 1
)

// State is all that an agent stores: the snapshot of its policy, and the server list as discovery
// reported it, each entry in the encoding of discovery.
type State struct {
	Policy    *policy.Snapshot
	Discovery string
	Version   uint64
	Targets   map[string]json.RawMessage // by id
	Site      *Site                      // nil for an agent without a fleet
}

// Site is what an agent knows of its site from its peers, with ages as of the save.
type Site struct {
	Isolated bool                 `json:"Dark"` // the site had lost its uplink
	Entries  []stalerouting.Entry `json:"Entries"`
}

// listHeader is the record that the version of a list refers to.
type listHeader struct {
	Discovery string `json:"Discovery"`
	Version   uint64 `json:"Version"`
	Targets   int    `json:"Targets"`
}

const (
	// keysPerRecord is the number of keys in one record, which bounds the loss by a damaged one.
	keysPerRecord = 256
	// maxServers bounds the number of servers that are stored.
	maxServers = 10_000
)

// listHeaderKey is the key of the list's header. Those of its entries start with "=".
const listHeaderKey = "."

// loadRecord is what the policy knows about all servers together. Its JSON keys are part of stored state.
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
	text, err := json.Marshal(loadRecord{m.Demand, m.PeakCapacity, m.AdmittedShare, m.BaselineLatency, m.RecentLatency, m.Responses, m.ExpectedLatencyMs})
	if err != nil {
		return nil, fmt.Errorf("snapshot: load: %w", err)
	}
	t[tableLoad]["now"] = Record{versionLoad, text}
	return t, nil
}

// Decode decodes the state of a generation. Invalid records are dropped and reported. Durations since an
// event are extended by the generation's age. A list with a missing entry is dropped: its missing servers
// would count as removed.
func Decode(g *Generation) (st *State, problems []Problem) {
	st = &State{}
	m := &policy.Snapshot{AgeMs: float64(g.Age) / float64(time.Millisecond)}
	drop := func(table, key string, why any) {
		problems = append(problems, Problem{fmt.Sprintf("%s %q", table, key), fmt.Sprint(why)})
	}
	for _, key := range sortedKeys(g.Tables[tableServers]) {
		r := g.Tables[tableServers][key]
		var s policy.ServerSnapshot
		if r.Version != versionServers {
			drop(tableServers, key, "version "+strconv.Itoa(int(r.Version)))
		} else if err := json.Unmarshal(r.Value, &s); err != nil {
			drop(tableServers, key, err)
		} else if key != fmt.Sprintf("%x", s.Server) {
			drop(tableServers, key, "of another server")
		} else {
			s.InStateMs += m.AgeMs
			m.Servers = append(m.Servers, s)
		}
	}
	for _, key := range sortedKeys(g.Tables[tableKeys]) {
		r := g.Tables[tableKeys][key]
		if r.Version != versionKeys || len(r.Value)%16 != 0 || len(r.Value) > 16*keysPerRecord {
			drop(tableKeys, key, fmt.Sprintf("version %d, %d bytes", r.Version, len(r.Value)))
			continue
		}
		for raw := r.Value; len(raw) > 0; raw = raw[16:] {
			m.Keys = append(m.Keys, policy.KeyCount{Key: binary.BigEndian.Uint64(raw), Count: math.Float64frombits(binary.BigEndian.Uint64(raw[8:]))})
		}
	}
	if r, ok := g.Tables[tableLoad]["now"]; ok {
		var l loadRecord
		if err := json.Unmarshal(r.Value, &l); err != nil || r.Version != versionLoad {
			drop(tableLoad, "now", fmt.Sprintf("version %d, %v", r.Version, err))
		} else {
			m.Demand, m.PeakCapacity, m.AdmittedShare, m.BaselineLatency, m.RecentLatency, m.Responses, m.ExpectedLatencyMs = l.Demand, l.PeakCapacity, l.AdmittedShare, l.BaselineLatency, l.RecentLatency, l.Responses, l.ExpectedLatencyMs
		}
	}
	st.Policy = m
	if r, ok := g.Tables[tableSite]["now"]; ok {
		var s Site
		if err := json.Unmarshal(r.Value, &s); err != nil || r.Version != versionSite || len(s.Entries) > stalerouting.MaxEntries {
			drop(tableSite, "now", fmt.Sprintf("version %d, %d entries, %v", r.Version, len(s.Entries), err))
		} else {
			for i := range s.Entries {
				s.Entries[i].Age = min(s.Entries[i].Age, stalerouting.UnknownAge) + min(g.Age, stalerouting.UnknownAge)
			}
			st.Site = &s
		}
	}
	r, ok := g.Tables[tableList][listHeaderKey]
	if !ok {
		if len(g.Tables[tableList]) > 0 {
			drop(tableList, listHeaderKey, "missing")
		}
		return st, problems
	}
	var h listHeader
	if err := json.Unmarshal(r.Value, &h); err != nil || r.Version != versionList || h.Targets != len(g.Tables[tableList])-1 {
		drop(tableList, listHeaderKey, fmt.Sprintf("version %d, %d of %d entries, %v", r.Version, len(g.Tables[tableList])-1, h.Targets, err))
		return st, problems
	}
	st.Discovery, st.Version, st.Targets = h.Discovery, h.Version, map[string]json.RawMessage{}
	for key, r := range g.Tables[tableList] {
		if id, ok := strings.CutPrefix(key, "="); ok {
			st.Targets[id] = r.Value
		}
	}
	return st, problems
}
