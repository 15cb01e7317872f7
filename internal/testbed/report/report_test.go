package report

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

func sampleReport(served float64) *Report {
	return &Report{Version: Version, Name: "steady", About: "Nothing goes wrong.", Seed: 3, Quick: true, Agents: 2, Servers: 3, Zones: []string{"a"},
		Rate: 100, Plays: []Play{{Name: "agents", Seconds: []Second{{Asked: 10, Served: 9, Failed: 1, P50: 20, P99: 90, Attempts: 10, CrossZone: 4}, {}},
			Figures: map[string]float64{"served": served, "p99_ms": 90.5}}, {Name: "random", Figures: map[string]float64{"served": 0.5}}},
		Faults: []Span{{"cut-zone", time.Second, 2 * time.Second}}, Claims: []Claim{{"served, at least 0.8", served, 0.8, served >= 0.8}}, Ceiling: 5000}
}

func TestWriteAndRead(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "steady")
	r := sampleReport(0.9)
	if err := r.Write(dir); err != nil {
		t.Fatal(err)
	}
	got, err := Read(dir)
	if err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("%+v, %v, want %+v", got, err, r)
	}
	md, err := os.ReadFile(filepath.Join(dir, "report.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"# steady", "in short form with seed 3", "| served, at least 0.8 | 0.9000 | yes |", "| served | 0.9000 | 0.5000 |", "- cut-zone from 1s to 2s", "(outcomes.svg)"} {
		if !strings.Contains(string(md), want) {
			t.Errorf("no %q in\n%s", want, md)
		}
	}
	for _, plot := range []string{"outcomes.svg", "latency.svg", "crossing.svg"} {
		if text, err := os.ReadFile(filepath.Join(dir, plot)); err != nil || !bytes.Contains(text, []byte("</svg>")) {
			t.Errorf("%s: %v, %d bytes", plot, err, len(text))
		}
	}
}

func TestReadChecksTheVersion(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.json")
	for text, want := range map[string]string{`{"version":99}`: "version 99", `{"version":`: "unexpected EOF"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

func TestFailedReturnsTheFirstCause(t *testing.T) {
	for want, change := range map[string]func(*Report){
		"": func(*Report) {}, "served, at least 0.8": func(r *Report) { r.Claims[0].Kept = false },
		"a rule was broken, rule 2: ran twice": func(r *Report) { r.Violations = []string{"rule 2: ran twice\n  then"}; r.Claims[0].Kept = false },
		"an agent crashed, n1: signal":         func(r *Report) { r.Crashes = []string{"n1: signal"} },
		"void, late":                           func(r *Report) { r.Void = "late"; r.Crashes = []string{"n1"} },
	} {
		r := sampleReport(0.9)
		change(r)
		if got := r.Failed(); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

func TestCompareSeparatesNoiseFromDifferences(t *testing.T) {
	var out strings.Builder
	a := []*Report{sampleReport(0.80), sampleReport(0.81), sampleReport(0.79)}
	if err := Compare(&out, a, []*Report{sampleReport(0.90), sampleReport(0.91), sampleReport(0.89)}); err != nil {
		t.Fatal(err)
	}
	if text := out.String(); !strings.Contains(text, "differs") || strings.Count(text, "differs") != 1 {
		t.Errorf("%s", text)
	}
	out.Reset()
	if err := Compare(&out, a, []*Report{sampleReport(0.805), sampleReport(0.795)}); err != nil || strings.Contains(out.String(), "differs") {
		t.Errorf("%s, %v", out.String(), err)
	}
	other := sampleReport(0.8)
	other.Name = "herd"
	if err := Compare(&out, a, []*Report{other}); err == nil {
		t.Error("reports of different experiments were compared")
	}
}
