package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
)

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	sound := `{"name":"n7","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":` + settings + `}`
	for _, c := range []struct {
		args   string
		status int
		want   string // part of the standard output or error
	}{
		{"--help", 0, "Usage: chalkdoor <command>"},
		{"check --help", 0, "Usage: chalkdoor check <file>"},
		{"version", 0, "chalkdoor "},
		{"example", 0, "[metrics]"},
		{"completion", 0, "chalkdoor"},
		{"nonsense", 2, "Try chalkdoor --help"},
		{"check", 2, "<file>"},
		{"agent --opps x", 2, "unknown flag --opps"},
		{"check " + write("good.toml", "[log]\nlevel = \"debug\""), 0, "a sound operations file"},
		{"check " + write("bad.toml", "[log]\nlevle = \"debug\""), 1,
			"log.levle: unknown key, did you mean log.level?"},
		{"check " + write("good.json", sound), 0, "a sound configuration of agent n7"},
		{"check " + write("bad.json", strings.Replace(sound, "single_shot", "twice", 1)), 1, "classes[0].effect"},
		{"check " + filepath.Join(dir, "none.toml"), 1, "no such file"},
	} {
		var out strings.Builder
		if status := command(strings.Fields(c.args), &out, &out); status != c.status ||
			!strings.Contains(out.String(), c.want) {
			t.Errorf("%s: status %d and %q, want %d and %q", c.args, status, out.String(), c.status, c.want)
		}
	}
}

// An agent with an operations file uses its log format and serves metrics. At SIGHUP it applies changes that
// need no restart; an invalid file changes nothing.
func TestAgentWithAnOperationsFile(t *testing.T) {
	dir := t.TempDir()
	config, opsFile := filepath.Join(dir, "config.json"), filepath.Join(dir, "ops.toml")
	write := func(path, text string) {
		t.Helper()
		// The file is replaced atomically, as the program may be reading it.
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(config, `{"name":"n7","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":`+settings+`}`)
	ops := "[agent]\nconfig = \"" + config + "\"\n[metrics]\naddress = \"127.0.0.1:0\"\n[log]\nformat = \"json\"\n"
	write(opsFile, ops)
	process := startAgent(t, opsFile)
	cmd, log := process.cmd, process.log
	// next returns the next line with the message. It skips others, such as those of failed discovery calls.
	next := func(msg string) (line map[string]any) {
		t.Helper()
		for {
			text, err := log.ReadString('\n')
			if err != nil {
				t.Fatalf("no line %q: %v", msg, err)
			}
			line = map[string]any{}
			if json.Unmarshal([]byte(text), &line) == nil && line["msg"] == msg {
				return line
			}
			if regexp.MustCompile(`msg="?` + msg).MatchString(text) {
				return map[string]any{"text": text}
			}
		}
	}
	addr, _ := next("serving metrics")["addr"].(string)
	resp, err := http.Get("http://" + addr + "/-/metrics")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || !strings.Contains(string(body), `chalkdoor_requests_open{agent="n7"} 0`) {
		t.Errorf("metrics: %v, %s", err, body)
	}
	reload := func(text string) {
		t.Helper()
		write(opsFile, text)
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	reload(ops + "colour = \"red\"\n")
	if line := next("operations file not used, the previous one stays in force"); !strings.Contains(
		line["err"].(string), "log.colour: unknown key") {
		t.Errorf("%v does not name the key", line)
	}
	reload(strings.Replace(ops, "127.0.0.1:0", "127.0.0.1:1", 1))
	if line := next("changed in the operations file, but used only after a restart"); line["keys"] !=
		"metrics.address" {
		t.Errorf("%v does not name the key", line)
	}
	if line := next("operations file reloaded"); line["format"] != "json" {
		t.Errorf("log line %v, want JSON", line)
	}
	reload(strings.Replace(ops, `"json"`, `"text"`, 1))
	if line := next("operations file reloaded"); line["text"] == nil {
		t.Errorf("log line %v, want text", line)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, log); err != nil {
		t.Error(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended after SIGTERM with %v", err)
	}
}
