package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/report"
)

// agentBinary is the path of the agent's binary, which is built once for all tests.
var agentBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "chalkdoor")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	agentBinary = filepath.Join(dir, "chalkdoor")
	if text, err := exec.Command("go", "build", "-o", agentBinary, "chalkdoor.example/chalkdoor/cmd/chalkdoor").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the agent: %v\n%s", err, text)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

// smallFleet is an experiment of two seconds without faults, with a baseline.
const smallFleet = `
name = "small"
baselines = ["random"]
[fleet]
agents = 3
servers = 4
zones = ["a", "b"]
[load]
use = 0.15
for = "2s"
warmup = "500ms"
keys = 20
`

func parseSmall(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse("small.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func runSmall(t *testing.T, text string) *report.Report {
	t.Helper()
	r, err := Run(context.Background(), parseSmall(t, text), Options{Seed: 1, Bin: agentBinary, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// requireSound fails the test if a rule was broken, an agent crashed or too few requests were served. Answers after
// their deadline don't count, since they depend on the machine that the test runs on.
func requireSound(t *testing.T, r *report.Report) {
	t.Helper()
	for _, v := range r.Violations {
		if !strings.Contains(v, "after the deadline") {
			t.Error(v)
		}
	}
	for _, c := range r.Crashes {
		t.Error("crash:", c)
	}
	for _, p := range r.Plays {
		asked, served := 0, 0
		for _, s := range p.Seconds {
			asked += s.Asked
			served += s.Served + s.Late
			if sum := s.Served + s.Late + s.Refused + s.Failed + s.Gone; sum != s.Asked {
				t.Errorf("%s: %d of %d requests have an outcome", p.Name, sum, s.Asked)
			}
		}
		if asked < 30 || served < asked/3 {
			t.Errorf("%s: %d of %d requests served", p.Name, served, asked)
		}
	}
}

func TestAgentsAndABaselineServe(t *testing.T) {
	r := runSmall(t, smallFleet+"[[claim]]\nfigure = \"served\"\nmin = 2.0\n[[claim]]\nfigure = \"served\"\nmax = 3.0\nof = \"random\"\n")
	requireSound(t, r)
	if len(r.Plays) != 2 || len(r.Claims) != 2 || r.Claims[0].Kept || !r.Claims[1].Kept || r.Ceiling < 10 {
		t.Errorf("%d plays, claims %+v, ceiling %.0f", len(r.Plays), r.Claims, r.Ceiling)
	}
	if r.Failed() == "" {
		t.Error("passed despite a claim that cannot hold")
	}
	if a, b := r.Plays[0].Seconds, r.Plays[1].Seconds; len(a) != 2 || a[0].Asked != b[0].Asked || a[1].Asked != b[1].Asked {
		t.Errorf("the agents and the baseline got different requests: %+v, %+v", a, b)
	}
}

// The rules are kept under faults of the processes and of their network.
func TestRulesAreKeptUnderFaults(t *testing.T) {
	requireSound(t, runSmall(t, smallFleet+`
[[fault]]
kind = "kill-agents"
at = "500ms"
part = 0.7
[[fault]]
kind = "pause-agents"
at = "1s"
for = "300ms"
part = 0.3
[[fault]]
kind = "cut-zone"
at = "600ms"
for = "400ms"
zone = "b"
[[fault]]
kind = "replace-servers"
at = "700ms"
for = "500ms"
part = 0.5
steps = 2
[[fault]]
kind = "lose-answers"
at = "1200ms"
for = "300ms"
part = 0.5
share = 0.2
`))
}

// A run that is interrupted leaves no process behind.
func TestInterruptedRunEndsItsProcesses(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	dir := t.TempDir()
	// Canceled as soon as the load has started.
	stop := func(string, float64) { cancel() }
	_, err := Run(ctx, parseSmall(t, smallFleet), Options{Seed: 1, Bin: agentBinary, Dir: dir, Progress: stop})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("%v, want context.Canceled", err)
	}
	// The processes are identified by the configuration in their environment.
	envs, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range envs {
		// The file can't be read if the process has ended.
		if text, _ := os.ReadFile(e); strings.Contains(string(text), "PROXY_CONFIG="+dir) {
			t.Errorf("%s still runs", e)
		}
	}
}

func TestSameSeedSameLoadAndFaults(t *testing.T) {
	f := parseSmall(t, smallFleet)
	worlds := map[uint64]string{}
	for _, seed := range []uint64{1, 1, 2} {
		w, err := build(context.Background(), f.Fleet, false, settings(), nil, seed, agentBinary, t.TempDir(), false)
		if err != nil {
			t.Fatal(err)
		}
		text := ""
		for _, s := range w.servers {
			text += fmt.Sprintf("%s %.6f;", s.ID(), s.Truth().Capacity)
		}
		for range 5 {
			text += fmt.Sprint(w.sample(4, 0.5))
		}
		w.close()
		if earlier, ok := worlds[seed]; ok && earlier != text {
			t.Errorf("seed %d: %s and %s", seed, earlier, text)
		}
		worlds[seed] = text
	}
	if worlds[1] == worlds[2] {
		t.Error("two seeds make the same world")
	}
}

func TestErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{strings.Replace(smallFleet, "agents = 3", "agents = 0", 1), "small.toml: fleet.agents: must be 1 to 200, is 0"},
		{strings.Replace(smallFleet, "use = 0.15", "use = nan", 1), "small.toml: load.use: must be above 0"},
		{strings.Replace(smallFleet, "keys", "keyz", 1), "small.toml: load.keyz: unknown key"},
		{strings.Replace(smallFleet, `"random"`, `"luck"`, 1), `small.toml: baselines[0]: "luck" is none of random`},
		{smallFleet + "[[fault]]\nkind = \"flood\"", `small.toml: fault[0].kind: "flood" is none of busy-discovery`},
		{smallFleet + "[[fault]]\nkind = \"cut-zone\"\nzone = \"z\"", `small.toml: fault[0].zone: "z" is none of the fleet's`},
		{smallFleet + "[[claim]]\nfigure = \"serve\"\nmin = 1", `small.toml: claim[0].figure: unknown figure "serve", did you mean "served"?`},
		{smallFleet + "[[claim]]\nfigure = \"served\"", `small.toml: claim[0].min: neither min nor max is given`},
		{smallFleet + "[[claim]]\nfigure = \"served\"\nmin = 1\nof = \"clairvoyant\"", `small.toml: claim[0].of: "clairvoyant" is none of the baselines`},
		{strings.Replace(smallFleet, `"2s"`, `"-2s"`, 1), "small.toml: "},
		{strings.Replace(smallFleet, `"small"`, `"big"`, 1), `small.toml: name: "big" is not the file's`},
	} {
		if _, err := Parse("small.toml", c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %s", err, c.want)
		}
	}
}

func TestFiguresOverAnInterval(t *testing.T) {
	cfg := loadConfig(ptr(settings()), Fleet{Agents: 1, Servers: 1}, Load{Utilization: 1, Duration: Duration(4 * time.Second)}, 1)
	t0 := tallyOf(cfg, 4)
	for name, want := range map[string]float64{"served": 0.5, "refused": 0.25, "failed": 0.25, "served_worth": 0.5, "worst_second": 0, "worst_zone": 0.5, "p50_ms": 10, "attempts": 0.75} {
		got, ok := t0.figure(name, 0, 4*time.Second)
		if !ok || got < want*0.999 || got > want*1.001 {
			t.Errorf("%s: %v, %v, want %v", name, got, ok, want)
		}
	}
	if got, _ := t0.figure("served", 0, 2*time.Second); got != 1 {
		t.Errorf("served in the first half: %v", got)
	}
	if got, _ := t0.figure("worst_zone", 2*time.Second, 4*time.Second); got != 0 {
		t.Errorf("served to the worst zone in the second half: %v", got)
	}
	if _, ok := t0.figure("probes", 0, time.Second); ok {
		t.Error("a figure of whole plays was returned for an interval")
	}
}
