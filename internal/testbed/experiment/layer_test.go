package experiment

import (
	"context"
	"strings"
	"testing"

	"chalkdoor.example/chalkdoor/internal/testbed/report"
)

// together is three agents of one site that vote, with leases short enough for a test.
const together = `
name = "together"
[fleet]
agents = 3
servers = 4
zones = ["a"]
layer = true
[fleet.vote]
cap = 0.5
lease = "1s"
longest = "2s"
age = "2s"
trial = "200ms"
[load]
use = 0.25
for = "9s"
warmup = "500ms"
keys = 20
`

func file(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse("together.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func playedTogether(t *testing.T, text string) *report.Report {
	t.Helper()
	r, err := Run(context.Background(), file(t, text), Options{Seed: 1, Bin: bin, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	sound(t, r)
	return r
}

// A server that fails all it gets is ejected by all agents of its site, by real processes that
// talk over links; the invariants of the votes are kept.
func TestAgentsEjectTogether(t *testing.T) {
	r := playedTogether(t, together+`
[[fault]]
kind = "error-servers"
at = "3s"
for = "6s"
part = 0.25
share = 1.0
`)
	if got := r.Plays[0].Figures["ejections"]; got < 3 {
		t.Errorf("%v ejections, want one at each of three agents", got)
	}
}

// A site that is cut in three parts has no majority and ejects nothing.
func TestASplitSiteEjectsNothing(t *testing.T) {
	r := playedTogether(t, together+`
[[fault]]
kind = "split-site"
at = "100ms"
for = "20s"
zone = "a"
steps = 3
[[fault]]
kind = "error-servers"
at = "3s"
for = "6s"
part = 0.25
share = 1.0
`)
	if got := r.Plays[0].Figures["ejections"]; got != 0 {
		t.Errorf("%v ejections without a majority", got)
	}
}

// A site that loses its uplink finds out, and all its agents are killed meanwhile: they start
// again by what is on their disks, know it at once, and come back when it does. The sites that
// have their uplink never count it as lost, and no rule is broken.
func TestASiteLosesItsUplink(t *testing.T) {
	text := strings.Replace(together, `agents = 3
servers = 4
zones = ["a"]
layer = true`, `agents = 6
servers = 8
zones = ["a", "b"]
state = true
layer = true`, 1)
	r := playedTogether(t, strings.Replace(text, `for = "9s"`, `for = "11s"`, 1)+`
[[fault]]
kind = "uplink"
at = "1500ms"
for = "7s"
zone = "a"
[[fault]]
kind = "drain-servers"
at = "4s"
for = "5s"
zone = "a"
part = 0.25
[[fault]]
kind = "kill-agents"
at = "5s"
for = "1s"
zone = "a"
part = 1.0
`)
	f := r.Plays[0].Figures
	if f["dark_ms"] <= 0 || f["light_ms"] <= 0 {
		t.Errorf("known after %v ms, over after %v ms", f["dark_ms"], f["light_ms"])
	}
	if f["dark agents"] != 6 { // three, in two lives each
		t.Errorf("%v lives of agents knew it, want 6", f["dark agents"])
	}
}

// together3 is three sites with an agent and three servers each, and a council of all three.
var together3 = strings.NewReplacer("servers = 4", "servers = 9", `zones = ["a"]`, `zones = ["a", "b", "c"]`, "layer = true", "layer = true\ncouncil = true",
	`for = "9s"`, `for = "10s"`).Replace(together)

// A zone whose servers fail all they get is left by a decision of the council, which reaches
// every agent, while agents and votes go on.
func TestAZoneIsLeftInCommon(t *testing.T) {
	r := playedTogether(t, together3+`
[[fault]]
kind = "error-servers"
at = "2s"
for = "8s"
zone = "b"
share = 1.0
`)
	if f := r.Plays[0].Figures; f["decisions"] < 1 || f["left_ms"] <= 0 {
		t.Errorf("%v decisions, all agents knew after %v ms", f["decisions"], f["left_ms"])
	}
}

// Two of three voters stand still: nothing is decided meanwhile, and what they decide when they
// wake is one log's.
func TestACouncilWithoutAMajority(t *testing.T) {
	r := playedTogether(t, together3+`
[[fault]]
kind = "pause-voters"
at = "2s"
for = "5s"
part = 0.67
[[fault]]
kind = "error-servers"
at = "3s"
for = "4s"
zone = "b"
share = 1.0
`)
	// Parts may have been decided before.
	if left := r.Plays[0].Figures["left_ms"]; left > 0 && left < 4500 {
		t.Errorf("the zone was left after %v ms, while the majority stood still", left)
	}
}

// With a council's parts traffic stays at home where there is room for it; alone half of it
// crosses zones.
func TestTrafficStaysNear(t *testing.T) {
	r := playedTogether(t, strings.Replace(together3, `for = "10s"`, `for = "13s"`, 1)+`
[[claim]]
figure = "cross_zone"
from = "10s"
max = 0.2
`)
	if c := r.Claims[0]; !c.Kept {
		t.Errorf("%v of the attempts cross zones", c.Value)
	}
}
