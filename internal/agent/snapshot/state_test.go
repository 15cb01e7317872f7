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
	snapshot := &policy.Snapshot{
		Demand: 3.5, PeakCapacity: 10, AdmittedShare: 0.9, BaselineLatency: 0.1, RecentLatency: 0.2, Responses: 77,
		ExpectedLatencyMs: []float64{20, 40},
	}
	for i := range servers {
		snapshot.Servers = append(snapshot.Servers, policy.ServerSnapshot{
			Server: policy.Addr{10, 0, byte(i >> 8), byte(i), 1, 2}, StartedMs: float64(i),
			State: policy.State(i % 4), InStateMs: 5, TimedOut: i%2 == 0, Ejections: i % 3, FailureRate: 0.25,
			Latency: 0.1, MeanLatencyMs: 12, LatencySamples: 4, ConcurrencyLimit: 2})
	}
	for i := range keys {
		snapshot.Keys = append(snapshot.Keys,
			policy.KeyCount{Key: uint64(i) * 0x9e3779b97f4a7c15, Count: 1 / float64(i+1)})
	}
	return snapshot
}

func newState(snapshot *policy.Snapshot) *State {
	return &State{Policy: snapshot, Discovery: "127.0.0.1:9", Version: 7,
		Targets: map[string]json.RawMessage{
			"s-1": json.RawMessage(`{"id":"s-1"}`), "s-2": json.RawMessage(`{"id":"s-2","state":"draining"}`)}}
}

func TestStateIsRestoredWithItsAge(t *testing.T) {
	for _, c := range []struct{ servers, keys int }{{0, 0}, {3, 1}, {200, 1000}} {
		snapshot := newPolicySnapshot(c.servers, c.keys)
		tables, err := Encode(newState(snapshot))
		if err != nil {
			t.Fatal(err)
		}
		back, problems := Decode(&Generation{Tables: tables, Age: 2 * time.Second, AgeKnown: true})
		got := back.Policy
		if got.AgeMs != 2000 || len(problems) > 0 {
			t.Fatalf("restored age is %v ms, want 2000 ms; problems: %v", got.AgeMs, problems)
		}
		for i := range got.Servers {
			if got.Servers[i].InStateMs -= 2000; got.Servers[i].InStateMs != 5 {
				t.Fatalf("restored time in state is %v ms longer than the age, want 5 ms", got.Servers[i].InStateMs)
			}
		}
		if want := newState(snapshot); back.Discovery != want.Discovery || back.Version != 7 ||
			!reflect.DeepEqual(back.Targets, want.Targets) {
			t.Errorf("restored list: %+v", back)
		}
		if got.AgeMs = 0; !reflect.DeepEqual(got, snapshot) {
			t.Errorf("%d servers and %d keys: %+v, want %+v", c.servers, c.keys, got, snapshot)
		}
	}
}

func TestInvalidRecordsAreReported(t *testing.T) {
	tables, err := Encode(newState(newPolicySnapshot(3, 600)))
	if err != nil {
		t.Fatal(err)
	}
	keys := sortedKeys(tables[tableServers])
	tables[tableServers][keys[0]] = Record{versionServers + 1, tables[tableServers][keys[0]].Value}
	tables[tableServers][keys[1]] = tables[tableServers][keys[2]]
	tables[tableKeys]["000001"] = Record{versionKeys, []byte("short")}
	tables[tableLoad]["now"] = Record{versionLoad, []byte("{")}
	delete(tables[tableList], "=s-1")
	state, problems := Decode(&Generation{Tables: tables})
	snapshot := state.Policy
	if len(problems) != 5 || state.Targets != nil || len(snapshot.Servers) != 1 ||
		len(snapshot.Keys) != 600-keysPerRecord || snapshot.Demand != 0 {
		t.Errorf("problems %v, %d servers, %d keys, demand %v",
			problems, len(snapshot.Servers), len(snapshot.Keys), snapshot.Demand)
	}
}

// The Writer skips states that are replaced while they are pending, and saves the last one before it ends.
func TestWriterSavesTheNewestState(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s, _, _ := openStore(t, dir, clockAt(0))
	ctx, cancel := context.WithCancel(context.Background())
	writer := NewWriter(ctx, s)
	for i := range 500 {
		snapshot := newPolicySnapshot(2, 2)
		snapshot.Responses = float64(i)
		writer.Save(newState(snapshot))
	}
	cancel()
	<-writer.Closed()
	s, g, _ := openStore(t, dir, clockAt(0))
	defer closeStore(t, s)
	back, _ := Decode(g)
	snapshot := back.Policy
	if snapshot.Responses != 499 {
		t.Errorf("the saved state is number %v, want 499", snapshot.Responses)
	}
	stats := writer.Stats()
	if saved, skipped := stats.Saved.Load(), stats.Skipped.Load(); saved < 1 || saved+skipped != 500 ||
		stats.Bytes.Load() < 100 {
		t.Errorf("%d saved, %d skipped, %d bytes", saved, skipped, stats.Bytes.Load())
	}
}

func BenchmarkSave(b *testing.B) {
	s, _, _, err := Open(b.TempDir(), Now)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	state := newState(newPolicySnapshot(200, 10_000))
	for b.Loop() {
		t, err := Encode(state)
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

// The entries of a site are restored with the generation's age added to theirs. No site is restored from a
// file without the table, or with an invalid record in it; the other tables are restored nevertheless.
func TestSiteIsRestored(t *testing.T) {
	state := newState(newPolicySnapshot(1, 1))
	state.Site = &Site{Isolated: true, Entries: []stalerouting.Entry{
		{ID: "s", Incarnation: 4, State: stalerouting.Draining, Age: time.Minute}, {ID: "u", Age: math.MaxInt64}}}
	tables, err := Encode(state)
	if err != nil {
		t.Fatal(err)
	}
	back, problems := Decode(&Generation{Tables: tables, Age: 2 * time.Second, AgeKnown: true})
	want := []stalerouting.Entry{
		{ID: "s", Incarnation: 4, State: stalerouting.Draining, Age: 62 * time.Second},
		{ID: "u", Age: stalerouting.UnknownAge + 2*time.Second}}
	if len(problems) > 0 || back.Site == nil || !back.Site.Isolated || !slices.Equal(back.Site.Entries, want) {
		t.Errorf("%+v, %v", back.Site, problems)
	}
	if back, _ := Decode(&Generation{Tables: tables, Age: unknownAge}); back.Site.Entries[0].Age !=
		stalerouting.UnknownAge+time.Minute {
		t.Errorf("from a generation of unknown age: %+v", back.Site)
	}
	delete(tables, tableSite)
	if back, problems := Decode(&Generation{Tables: tables}); back.Site != nil || len(problems) > 0 ||
		len(back.Targets) != 2 {
		t.Errorf("%+v, %v", back, problems)
	}
	for _, bad := range []Record{{versionSite + 1, []byte("{}")}, {versionSite, []byte("{")}} {
		tables[tableSite] = map[string]Record{"now": bad}
		if back, problems := Decode(&Generation{Tables: tables}); back.Site != nil || len(problems) != 1 ||
			!strings.Contains(problems[0].Where, tableSite) || len(back.Targets) != 2 {
			t.Errorf("%+v, %v", back, problems)
		}
	}
}
