package snapshot

import (
	"context"
	"encoding/json"
	"math"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/policy"
)

func newPolicySnapshot(servers, keys int) *policy.Snapshot {
	m := &policy.Snapshot{Demand: 3.5, PeakCapacity: 10, AdmittedShare: 0.9, BaselineLatency: 0.1, RecentLatency: 0.2, Responses: 77, ExpectedLatencyMs: []float64{20, 40}}
	for i := range servers {
		m.Servers = append(m.Servers, policy.ServerSnapshot{Server: policy.Addr{10, 0, byte(i >> 8), byte(i), 1, 2}, StartedMs: float64(i),
			State: policy.State(i % 4), InStateMs: 5, TimedOut: i%2 == 0, Ejections: i % 3, FailureRate: 0.25, Latency: 0.1, MeanLatencyMs: 12, LatencySamples: 4, ConcurrencyLimit: 2})
	}
	for i := range keys {
		m.Keys = append(m.Keys, policy.KeyCount{Key: uint64(i) * 0x9e3779b97f4a7c15, Count: 1 / float64(i+1)})
	}
	return m
}

func newState(m *policy.Snapshot) *State {
	return &State{Policy: m, Discovery: "127.0.0.1:9", Version: 7,
		Targets: map[string]json.RawMessage{"s-1": json.RawMessage(`{"id":"s-1"}`), "s-2": json.RawMessage(`{"id":"s-2","state":"draining"}`)}}
}

func TestStateIsRestoredWithItsAge(t *testing.T) {
	for _, c := range []struct{ servers, keys int }{{0, 0}, {3, 1}, {200, 1000}} {
		m := newPolicySnapshot(c.servers, c.keys)
		tt, err := Encode(newState(m))
		if err != nil {
			t.Fatal(err)
		}
		back, problems := Decode(&Generation{Tables: tt, Age: 2 * time.Second, AgeKnown: true})
		got := back.Policy
		if got.AgeMs != 2000 || len(problems) > 0 {
			t.Fatalf("%v ms old, %v", got.AgeMs, problems)
		}
		for i := range got.Servers {
			if got.Servers[i].InStateMs -= 2000; got.Servers[i].InStateMs != 5 {
				t.Fatalf("in its state for %v ms and its age", got.Servers[i].InStateMs)
			}
		}
		if want := newState(m); back.Discovery != want.Discovery || back.Version != 7 || !reflect.DeepEqual(back.Targets, want.Targets) {
			t.Errorf("the list: %+v", back)
		}
		if got.AgeMs = 0; !reflect.DeepEqual(got, m) {
			t.Errorf("%d servers and %d keys: %+v, want %+v", c.servers, c.keys, got, m)
		}
	}
}

func TestInvalidRecordsAreReported(t *testing.T) {
	tt, err := Encode(newState(newPolicySnapshot(3, 600)))
	if err != nil {
		t.Fatal(err)
	}
	keys := sortedKeys(tt[tableServers])
	tt[tableServers][keys[0]] = Record{versionServers + 1, tt[tableServers][keys[0]].Value}
	tt[tableServers][keys[1]] = tt[tableServers][keys[2]]
	tt[tableKeys]["000001"] = Record{versionKeys, []byte("short")}
	tt[tableLoad]["now"] = Record{versionLoad, []byte("{")}
	delete(tt[tableList], "=s-1")
	st, problems := Decode(&Generation{Tables: tt})
	m := st.Policy
	if len(problems) != 5 || st.Targets != nil || len(m.Servers) != 1 || len(m.Keys) != 600-keysPerRecord || m.Demand != 0 {
		t.Errorf("%v, %d servers, %d keys, demand %v", problems, len(m.Servers), len(m.Keys), m.Demand)
	}
}

// The keeper saves the newest of what it is handed, the last at its end, and blocks nobody.
func TestWriterSavesTheNewestState(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s, _, _ := openStore(t, dir, clockAt(0))
	ctx, cancel := context.WithCancel(context.Background())
	k := NewWriter(ctx, s)
	for i := range 500 {
		m := newPolicySnapshot(2, 2)
		m.Responses = float64(i)
		k.Save(newState(m))
	}
	cancel()
	<-k.Closed()
	s, g, _ := openStore(t, dir, clockAt(0))
	defer closeStore(t, s)
	back, _ := Decode(g)
	m := back.Policy
	if m.Responses != 499 {
		t.Errorf("saved is number %v of 500", m.Responses)
	}
	st := k.Stats()
	if saved, skipped := st.Saved.Load(), st.Skipped.Load(); saved < 1 || saved+skipped != 500 || st.Bytes.Load() < 100 {
		t.Errorf("%d saved, %d skipped, %d bytes", saved, skipped, st.Bytes.Load())
	}
}

func BenchmarkSave(b *testing.B) {
	s, _, _, err := Open(b.TempDir(), Now)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	m := newState(newPolicySnapshot(200, 10_000))
	for b.Loop() {
		t, err := Encode(m)
		if err == nil {
			err = s.Save(t)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	s, _, _, err := Open(dir, Now)
	if err != nil {
		b.Fatal(err)
	}
	t, err := Encode(newState(newPolicySnapshot(200, 10_000)))
	if err == nil {
		err = s.Save(t)
	}
	if err != nil || s.Close() != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		s, g, _, err := Open(dir, Now)
		if err != nil {
			b.Fatal(err)
		}
		Decode(g)
		s.Close()
	}
}

// What an agent knows of its site comes back older by the generation's age; a file from before
// there was such a table, and one whose record makes no sense, bring none, and the rest stays.
func TestSiteIsRestored(t *testing.T) {
	st := newState(newPolicySnapshot(1, 1))
	st.Site = &Site{Isolated: true, Entries: []stalerouting.Entry{{ID: "s", Incarnation: 4, State: stalerouting.Draining, Age: time.Minute}, {ID: "u", Age: math.MaxInt64}}}
	tt, err := Encode(st)
	if err != nil {
		t.Fatal(err)
	}
	back, problems := Decode(&Generation{Tables: tt, Age: 2 * time.Second, AgeKnown: true})
	want := []stalerouting.Entry{{ID: "s", Incarnation: 4, State: stalerouting.Draining, Age: 62 * time.Second}, {ID: "u", Age: stalerouting.UnknownAge + 2*time.Second}}
	if len(problems) > 0 || back.Site == nil || !back.Site.Isolated || !slices.Equal(back.Site.Entries, want) {
		t.Errorf("%+v, %v", back.Site, problems)
	}
	if back, _ := Decode(&Generation{Tables: tt, Age: unknownAge}); back.Site.Entries[0].Age != stalerouting.UnknownAge+time.Minute {
		t.Errorf("undated: %+v", back.Site)
	}
	delete(tt, tableSite)
	if back, problems := Decode(&Generation{Tables: tt}); back.Site != nil || len(problems) > 0 || len(back.Targets) != 2 {
		t.Errorf("%+v, %v", back, problems)
	}
	for _, bad := range []Record{{versionSite + 1, []byte("{}")}, {versionSite, []byte("{")}} {
		tt[tableSite] = map[string]Record{"now": bad}
		if back, problems := Decode(&Generation{Tables: tt}); back.Site != nil || len(problems) != 1 || !strings.Contains(problems[0].Where, tableSite) || len(back.Targets) != 2 {
			t.Errorf("%+v, %v", back, problems)
		}
	}
}
