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

// bin is the agent's program, built once for all tests of processes.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "chalkdoor")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	bin = filepath.Join(dir, "chalkdoor")
	if text, err := exec.Command("go", "build", "-o", bin, "chalkdoor.example/chalkdoor/cmd/chalkdoor").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the agent: %v\n%s", err, text)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

const small = `
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

func parse(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse("small.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func played(t *testing.T, text string) *report.Report {
	t.Helper()
	r, err := Run(context.Background(), parse(t, text), Options{Seed: 1, Bin: bin, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// sound fails the test if a rule was broken or an agent crashed. That an answer is late by
// some time is a matter of the machine that the test runs on, and not judged here.
func sound(t *testing.T, r *report.Report) {
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
				t.Errorf("%s: %d of %d asked have an outcome", p.Name, sum, s.Asked)
			}
		}
		if asked < 30 || served < asked/3 {
			t.Errorf("%s: %d of %d served", p.Name, served, asked)
		}
	}
}

func TestAgentsAndABaselineServe(t *testing.T) {
	r := played(t, small+"[[claim]]\nfigure = \"served\"\nmin = 2.0\n[[claim]]\nfigure = \"served\"\nmax = 3.0\nof = \"random\"\n")
	sound(t, r)
	if len(r.Plays) != 2 || len(r.Claims) != 2 || r.Claims[0].Kept || !r.Claims[1].Kept || r.Ceiling < 10 {
		t.Errorf("%d plays, claims %+v, ceiling %.0f", len(r.Plays), r.Claims, r.Ceiling)
	}
	if r.Failed() == "" {
		t.Error("passed with a claim that cannot hold")
	}
	if a, b := r.Plays[0].Seconds, r.Plays[1].Seconds; len(a) != 2 || a[0].Asked != b[0].Asked || a[1].Asked != b[1].Asked {
		t.Errorf("the agents and the baseline were not asked the same: %+v, %+v", a, b)
	}
}

// Whatever is done to the processes and their network, the rules are kept.
func TestRulesAreKeptUnderFaults(t *testing.T) {
	sound(t, played(t, small+`
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
	// As soon as the load has begun.
	stop := func(string, float64) { cancel() }
	_, err := Run(ctx, parse(t, small), Options{Seed: 1, Bin: bin, Dir: dir, Progress: stop})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("%v, want that it was interrupted", err)
	}
	// The processes are known by the configuration that they were started with.
	envs, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range envs {
		if text, _ := os.ReadFile(e); strings.Contains(string(text), "PROXY_CONFIG="+dir) { // or it has ended
			t.Errorf("%s still runs", e)
		}
	}
}

func TestSameSeedSameLoadAndFaults(t *testing.T) {
	f := parse(t, small)
	worlds := map[uint64]string{}
	for _, seed := range []uint64{1, 1, 2} {
		w, err := build(context.Background(), f.Fleet, false, settings(), nil, seed, bin, t.TempDir(), false)
		if err != nil {
			t.Fatal(err)
		}
		text := ""
		for _, s := range w.servers {
			text += fmt.Sprintf("%s %.6f;", s.ID(), s.Truth().Capacity)
		}
		for range 5 {
			text += fmt.Sprint(w.some(4, 0.5))
		}
		w.close()
		if was, ok := worlds[seed]; ok && was != text {
			t.Errorf("seed %d: %s and %s", seed, was, text)
		}
		worlds[seed] = text
	}
	if worlds[1] == worlds[2] {
		t.Error("two seeds make one world")
	}
}

func TestWhatIsWrongWithAFileIsToldByKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{strings.Replace(small, "agents = 3", "agents = 0", 1), "small.toml: fleet.agents: must be 1 to 200, is 0"},
		{strings.Replace(small, "use = 0.15", "use = nan", 1), "small.toml: load.use: must be above 0"},
		{strings.Replace(small, "keys", "keyz", 1), "small.toml: load.keyz: unknown key"},
		{strings.Replace(small, `"random"`, `"luck"`, 1), `small.toml: baselines[0]: "luck" is none of random`},
		{small + "[[fault]]\nkind = \"flood\"", `small.toml: fault[0].kind: "flood" is none of busy-discovery`},
		{small + "[[fault]]\nkind = \"cut-zone\"\nzone = \"z\"", `small.toml: fault[0].zone: "z" is none of the fleet's`},
		{small + "[[claim]]\nfigure = \"serve\"\nmin = 1", `small.toml: claim[0].figure: unknown figure "serve", did you mean "served"?`},
		{small + "[[claim]]\nfigure = \"served\"", `small.toml: claim[0].min: neither min nor max is given`},
		{small + "[[claim]]\nfigure = \"served\"\nmin = 1\nof = \"clairvoyant\"", `small.toml: claim[0].of: "clairvoyant" is none of the baselines`},
		{strings.Replace(small, `"2s"`, `"-2s"`, 1), "small.toml: "},
		{strings.Replace(small, `"small"`, `"big"`, 1), `small.toml: name: "big" is not the file's`},
	} {
		if _, err := Parse("small.toml", c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %s", err, c.want)
		}
	}
}

func TestFiguresOverAPart(t *testing.T) {
	cfg := loadOf(ptr(settings()), Fleet{Agents: 1, Servers: 1}, Load{Use: 1, For: Duration(4 * time.Second)}, 1)
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
		t.Error("a figure of whole plays was given for a part")
	}
}
