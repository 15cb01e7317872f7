package experiment

import (
	"context"
	"strings"
	"testing"

	"chalkdoor.example/chalkdoor/internal/testbed/report"
)

// votingFleet is an experiment with three agents of one site that vote, and with leases short enough for a test.
const votingFleet = `
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

// parseVotingFleet parses the text of an experiment with the name "together".
func parseVotingFleet(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse("together.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// runVotingFleet runs an experiment and checks its report with requireSound.
func runVotingFleet(t *testing.T, text string) *report.Report {
	t.Helper()
	r, err := Run(context.Background(), parseVotingFleet(t, text), Options{Seed: 1, Bin: agentBinary, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	requireSound(t, r)
	return r
}

// Agents that run as real processes vote over emulated links. All of them eject a server that fails all requests,
// and the invariants of the votes are kept.
func TestAgentsEjectTogether(t *testing.T) {
	r := runVotingFleet(t, votingFleet+`
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

// A site that is partitioned into three parts has no majority and ejects nothing.
func TestASplitSiteEjectsNothing(t *testing.T) {
	r := runVotingFleet(t, votingFleet+`
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

// A site detects the loss of its uplink. All its agents are killed during the loss; they restart from their state
// on disk, still know of the loss, and return to normal when the uplink is back. Agents of the other site never
// consider their uplink lost, and no rule is broken.
func TestASiteLosesItsUplink(t *testing.T) {
	text := strings.Replace(votingFleet, `agents = 3
servers = 4
zones = ["a"]
layer = true`, `agents = 6
servers = 8
zones = ["a", "b"]
state = true
layer = true`, 1)
	r := runVotingFleet(t, strings.Replace(text, `for = "9s"`, `for = "11s"`, 1)+`
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
		t.Errorf("loss detected after %v ms, return after %v ms", f["dark_ms"], f["light_ms"])
	}
	if f["dark agents"] != 6 { // three agents, with two processes each
		t.Errorf("%v agent processes detected the loss, want 6", f["dark agents"])
	}
}

// councilFleet is an experiment with three sites, which have one agent and three servers each, and a council of all
// three agents.
var councilFleet = strings.NewReplacer("servers = 4", "servers = 9", `zones = ["a"]`, `zones = ["a", "b", "c"]`, "layer = true", "layer = true\ncouncil = true",
	`for = "9s"`, `for = "10s"`).Replace(votingFleet)

// When the servers of a zone fail all requests, the council decides that the zone gets no share, and the decision
// reaches all agents of a site. Agents and votes go on meanwhile.
func TestAZoneIsLeftInCommon(t *testing.T) {
	r := runVotingFleet(t, councilFleet+`
[[fault]]
kind = "error-servers"
at = "2s"
for = "8s"
zone = "b"
share = 1.0
`)
	if f := r.Plays[0].Figures; f["decisions"] < 1 || f["left_ms"] <= 0 {
		t.Errorf("%v decisions, known to all agents of a site after %v ms", f["decisions"], f["left_ms"])
	}
}

// While two of three voters are paused, nothing is decided. The council decides again after they resume.
func TestACouncilWithoutAMajority(t *testing.T) {
	r := runVotingFleet(t, councilFleet+`
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
	// Zones' shares may have been decided before the pause.
	if left := r.Plays[0].Figures["left_ms"]; left > 0 && left < 4500 {
		t.Errorf("the zone was left after %v ms, while the majority was paused", left)
	}
}

// With the shares that a council decides, traffic stays in its zone if there is capacity. Without a council half of
// it crosses zones.
func TestTrafficStaysNear(t *testing.T) {
	r := runVotingFleet(t, strings.Replace(councilFleet, `for = "10s"`, `for = "13s"`, 1)+`
[[claim]]
figure = "cross_zone"
from = "10s"
max = 0.2
`)
	if c := r.Claims[0]; !c.Kept {
		t.Errorf("%v of the attempts cross zones", c.Value)
	}
}
