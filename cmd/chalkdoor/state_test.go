package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// life is one start of an agent with a folder for its state.
type life struct {
	t   *testing.T
	cmd *exec.Cmd
	log *bufio.Reader
}

func start(t *testing.T, ops string) *life {
	t.Helper()
	cmd := exec.Command(os.Args[0], "agent", "--ops", ops)
	cmd.Env = append(os.Environ(), "CHALKDOOR_AS_PROGRAM=1", "PROXY_CONFIG=", "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=")
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	return &life{t, cmd, bufio.NewReader(stderr)}
}

// next is the next line of the log with the message.
func (l *life) next(msg string) string {
	l.t.Helper()
	for {
		line, err := l.log.ReadString('\n')
		if err != nil {
			l.t.Fatalf("no line %q: %v", msg, err)
		}
		if strings.Contains(line, fmt.Sprintf("msg=%q", msg)) {
			return line
		}
	}
}

func (l *life) end(s syscall.Signal) error {
	l.t.Helper()
	if err := l.cmd.Process.Signal(s); err != nil {
		l.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, l.log); err != nil {
		l.t.Fatal(err)
	}
	return l.cmd.Wait()
}

// An agent comes back with what it knew when it ended, and with what it had saved when it was
// killed; it starts whatever it finds in its folder, and says what it does not believe.
func TestStateOverLives(t *testing.T) {
	dir := t.TempDir()
	config, opsFile, folder := filepath.Join(dir, "config.json"), filepath.Join(dir, "ops.toml"), filepath.Join(dir, "state")
	for path, text := range map[string]string{
		config: `{"name":"n7","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},
"known":{"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:2","zone":"east","kind":"big","state":"up","weight":1}]},"settings":` + settings + `}`,
		opsFile: "[agent]\nconfig = \"" + config + "\"\n[state]\ndir = \"" + folder + "\"\nevery = \"100ms\"\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	l := start(t, opsFile)
	l.next("no state to recall")
	if err := l.end(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	l = start(t, opsFile)
	if line := l.next("state recalled"); !strings.Contains(line, "servers=1") || !strings.Contains(line, "boot=2") {
		t.Errorf("second life: %s", line)
	}
	// Another agent cannot have the folder, and serves without.
	other := start(t, opsFile)
	if line := other.next("state not used, nothing is kept"); !strings.Contains(line, "used by another process") {
		t.Errorf("another agent: %s", line)
	}
	if err := other.end(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	if err := l.end(syscall.SIGKILL); err == nil {
		t.Error("a killed agent ended well")
	}
	var out strings.Builder
	if status := command([]string{"state", "verify", folder}, &out, &out); status != 0 || !strings.Contains(out.String(), "1 servers") {
		t.Errorf("verify: %d, %s", status, out.String())
	}
	l = start(t, opsFile)
	l.next("state recalled")
	if err := l.end(syscall.SIGKILL); err == nil {
		t.Error("a killed agent ended well")
	}
	if err := os.WriteFile(filepath.Join(folder, "state.db"), []byte(strings.Repeat("noise", 9999)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, sub := range []string{"verify", "show", "export"} {
		if status := command([]string{"state", sub, folder}, io.Discard, io.Discard); status != 1 {
			t.Errorf("%s of noise: status %d", sub, status)
		}
	}
	l = start(t, opsFile)
	l.next("state not believed")
	l.next("no state to recall")
	if err := l.end(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ sub, want string }{{"verify", "1 servers"}, {"show", "unknown"}, {"export", `"StartedMs"`}, {"repair", "is kept"}} {
		out.Reset()
		if status := command([]string{"state", c.sub, folder}, &out, &out); status != 0 || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: %d, %s", c.sub, status, out.String())
		}
	}
}
