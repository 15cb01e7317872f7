package opsconfig

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func TestExampleIsTheDefault(t *testing.T) {
	var text strings.Builder
	if err := Example(&text); err != nil {
		t.Fatal(err)
	}
	f, err := Parse("example", text.String())
	if err != nil || !reflect.DeepEqual(f, Default()) {
		t.Errorf("the example parses as %+v, %v, want %+v", f, err, Default())
	}
	for _, key := range Keys() {
		if _, name, _ := strings.Cut(key, "."); !strings.Contains(text.String(), "\n"+name+" = ") {
			t.Errorf("the example lacks %s", key)
		}
	}
}

// fleetSection is a valid section of a fleet.
const fleetSection = "[fleet]\nname = \"k\"\nbind = \"127.0.0.1:1\"\nseeds = [\"127.0.0.1:2\"]\n"

func TestErrorsNameFileKeyAndWhatWasExpected(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[log]\nlevle = \"info\"", `f.toml: log.levle: unknown key, did you mean log.level?`},
		{"[zoo]\nx = 1", "f.toml: zoo.x: unknown key"},
		{"[log]\nlevel = \"loud\"", `f.toml: log.level: "loud" is not one of debug, info, warn, error`},
		{"[log]\n\nlevel = 3", "f.toml:3: log.level: "},
		{"[metrics]\naddress = \"here\"", `f.toml: metrics.address: "here" is not host:port`},
		{"[agent]\nlisten = \"127.0.0.1:0\"", `f.toml: agent.listen: "127.0.0.1:0" is not host:port`},
		{"[agent]\ndiscovery = \"127.0.0.1:70000\"", `f.toml: agent.discovery: "127.0.0.1:70000" is not host:port`},
		{"[state]\nevery = \"1ms\"", "f.toml: state.every: must be 100ms to 1h, is 1ms"},
		{"[state]\nevery = \"soon\"", "f.toml"},
		{"[fleet]\nname = \"k\"\nbind = \"here\"\nseeds = [\"127.0.0.1:1\"]",
			`f.toml: fleet.bind: "here" is not address:port`},
		{"[fleet]\nname = \"k\"\nseeds = [\"127.0.0.1:1\"]", "f.toml: fleet.bind: required"},
		{"[fleet]\nname = \"k\"\nbind = \"127.0.0.1:1\"", "f.toml: fleet.seeds: required"},
		{"[vote]\nelectorate = [\"a\"]", "f.toml: vote.electorate: requires fleet.name"},
		{fleetSection + "[vote]\nelectorate = [\"a\", \"a\"]",
			`f.toml: vote.electorate: "a" is not a valid name, or is listed twice`},
		{fleetSection + "[agent]\nname = \"b\"\n[vote]\nelectorate = [\"a\"]",
			`f.toml: vote.electorate: "b", this agent, is not in it`},
		{fleetSection + "[vote]\nelectorate = [\"a\"]\n[council]\nvoters = [\"a=127.0.0.1:1\", \"b=127.0.0.1:2\"]",
			"f.toml: council.voters: must be three or five, are 2"},
		{fleetSection + "[vote]\nelectorate = [\"a\"]\n[council]\nvoters = [\"a\"]",
			"f.toml: council.voters[0]: \"a\" is not NAME=ADDRESS:PORT"},
		{"[site]\nquiet = \"1s\"", "f.toml: site.quiet: must be three beats (1.5s) to 10m, is 1s"},
		{fleetSection + "[vote]\nelectorate = [\"a\"]\ncap = 0.7",
			"f.toml: vote.cap: must be above 0 and at most 0.5, is 0.7"},
		{fleetSection + "[vote]\nelectorate = [\"a\"]\nlease = \"10m\"",
			"f.toml: vote.lease: must be 100ms to longest"},
		{"[log\n", "f.toml:2: "},
		{"[log]\nlevel = \"info\"\nlevel = \"warn\"", "f.toml:3: log.level: "},
	} {
		_, err := Parse("f.toml", c.text)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%q: %v, want %s", c.text, err, c.want)
		}
	}
}

func TestAllErrorsAreReportedTogether(t *testing.T) {
	_, err := Parse("f", "[log]\nformat = \"xml\"\nlevel = \"loud\"\n[metrics]\nadress = \"127.0.0.1:1\"")
	if err == nil || strings.Count(err.Error(), "\n") != 2 {
		t.Errorf("%v, want three errors, one a line", err)
	}
}

func TestLoadIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "big.toml")
	if err := os.WriteFile(path, []byte(strings.Repeat("#", maxFile+1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "larger") {
		t.Errorf("%v, want an error about the size", err)
	}
	if _, err := Load(path + "x"); err == nil {
		t.Error("loaded a file that does not exist")
	}
}

func TestNeedRestart(t *testing.T) {
	old, new := Default(), Default()
	new.Log.Level, new.Agent.Listen, new.Metrics.Address = "debug", "127.0.0.1:9", "127.0.0.1:8"
	if got, want := NeedRestart(&old, &new), []string{
		"agent.listen", "metrics.address",
	}; !reflect.DeepEqual(got, want) {
		t.Errorf("keys that need a restart: %v, want %v", got, want)
	}
}

func TestEnvironmentTakesPrecedence(t *testing.T) {
	f := Default()
	f.Agent.Name, f.Agent.Config = "from-file", "c.json"
	get := f.Getenv(func(name string) string { return map[string]string{"PROXY_NAME": "from-env"}[name] })
	if get("PROXY_NAME") != "from-env" || get("PROXY_CONFIG") != "c.json" || get("HOME") != "" {
		t.Errorf("PROXY_NAME is %q, PROXY_CONFIG %q, HOME %q", get("PROXY_NAME"), get("PROXY_CONFIG"), get("HOME"))
	}
}

func FuzzParse(f *testing.F) {
	f.Add("[log]\nlevel = \"warn\"")
	f.Add("[agent]\nx.y = {a = 1}")
	f.Fuzz(func(t *testing.T, text string) {
		if file, err := Parse("f", text); err == nil && len(file.validate()) > 0 {
			t.Errorf("%q was parsed, but is invalid", text)
		}
	})
}
